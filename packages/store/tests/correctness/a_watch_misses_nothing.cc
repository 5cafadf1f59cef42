#include <catch2/catch.hpp>

#include <map>

#include "stand_ins/client_fleet.h"

namespace flamingoshunt::store {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kShortHistory = 20;  // changes
constexpr int kSteps = 400;

// A watcher that copies what its events say, beside a store that random writes
// change.
struct mirror {
  explicit mirror(std::uint64_t seed)
      : fleet(1, client_options{}, seed), random(seed) {
    fleet.platform = stand_ins::platform_stand_in(kShortHistory);
    fleet.on_event = [this](int, const watch_event& event) {
      if (event.kind == watch_event_kind::kPut)
        copy[event.changed.key.name] = event.changed;
      else if (event.kind == watch_event_kind::kDelete)
        copy.erase(event.changed.key.name);
      else
        bookmark = event.changed.version;
    };
    fleet.Watch(0, watch_id(1), "entry");
  }

  void WriteSomething() {
    call write;
    write.key = {"entry", std::to_string(base::RandomIndex(random, 8))};
    const reply now = fleet.platform.store.Apply(write);  // A kGet.
    write.value = std::to_string(random());
    write.op = operation::kCreate;
    if (now.current) {
      write.expected = now.current->version;
      const bool drop = base::RandomIndex(random, 3) == 0;
      write.op = drop ? operation::kDelete : operation::kUpdate;
    }
    fleet.platform.store.Apply(write);
  }

  void BreakSomething() {
    auto& faults = fleet.platform.faults;
    faults = {};
    switch (base::RandomIndex(random, 8)) {
      case 0:
        faults.refuse = true;
        break;
      case 1:
        faults.silent = true;
        break;
      case 2:
        faults.stale_watch = true;
        break;
      case 3:
        faults.latency = faults.watch_latency = milliseconds(1500);
        break;
      case 4:
        fleet.platform.store.DropHistory();
        break;
      default:
        break;
    }
  }

  std::map<std::string, object> Truth() {
    call list;
    list.op = operation::kList;
    list.key.kind = "entry";
    std::map<std::string, object> truth;
    for (const object& item : fleet.platform.store.Apply(list).listed)
      truth[item.key.name] = item;
    return truth;
  }

  stand_ins::client_fleet fleet;
  base::random_engine random;
  std::map<std::string, object> copy;
  base::revision bookmark;
};

}  // namespace

TEST_CASE("A watcher's copy equals the store after any run of faults") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    mirror watcher(seed);
    for (int step = 0; step < kSteps; ++step) {
      watcher.WriteSomething();
      if (base::RandomIndex(watcher.random, 10) == 0)
        watcher.BreakSomething();
      watcher.fleet.RunFor(
          milliseconds(base::RandomIndex(watcher.random, 1000)));
    }
    watcher.fleet.platform.faults = {};
    watcher.fleet.RunFor(seconds(20));
    CHECK(watcher.copy == watcher.Truth());
    CHECK(watcher.bookmark == watcher.fleet.platform.store.revision());
  }
}

TEST_CASE("A platform that comes back behind shows nothing older") {
  mirror watcher(1);
  watcher.WriteSomething();
  watcher.fleet.RunFor(seconds(1));
  const auto backup = watcher.fleet.platform.store;
  const auto current_copy = [&] { return watcher.copy; };
  for (int i = 0; i < 5; ++i)
    watcher.WriteSomething();
  watcher.fleet.RunFor(seconds(1));
  const auto current = watcher.fleet.platform.store;
  const auto seen = current_copy();

  // A replica of the store that lags, for less than the grace.
  watcher.fleet.platform.store = backup;
  watcher.fleet.RunFor(seconds(20));
  CHECK(watcher.copy == seen);
  watcher.fleet.platform.store = current;
  watcher.fleet.RunFor(seconds(5));
  CHECK(watcher.copy == watcher.Truth());
  CHECK_FALSE(watcher.fleet.node(0).behind());

  // Restored from the backup for good.
  watcher.fleet.platform.store = backup;
  watcher.fleet.RunFor(kBehindGrace + seconds(10));
  CHECK(watcher.copy == watcher.Truth());
}

}  // namespace flamingoshunt::store
