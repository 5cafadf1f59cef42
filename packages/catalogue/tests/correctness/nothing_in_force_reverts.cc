#include <catch2/catch.hpp>

#include "catalogue/tests/keeper_fleet.h"

namespace flamingoshunt::catalogue {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNodes = 13;

std::string SomeName(keeper_fleet& fleet) {
  return "entry-" + std::to_string(base::RandomIndex(fleet.random, 4));
}

void EditOrRace(keeper_fleet& fleet) {
  const std::string name = SomeName(fleet);
  store::call read;
  read.key = {"entry", name};
  const auto found = fleet.clients.platform.store.Apply(read);
  const bool first = fleet.Write(found, name);
  const bool second =
      fleet.Write(found, name, base::RandomIndex(fleet.random, 2) == 0);
  CHECK(first);
  CHECK_FALSE(second);
}

void BreakOrMend(keeper_fleet& fleet, std::set<int>& part) {
  auto& faults = fleet.clients.platform.faults;
  switch (base::RandomIndex(fleet.random, 8)) {
    case 0:
      faults = {};
      faults.refuse = true;
      break;
    case 1:
      faults = {};
      faults.latency = faults.watch_latency = milliseconds(1200);
      break;
    case 2:
      faults = {};
      faults.stale_watch = true;
      break;
    case 3:
      fleet.clients.platform.store.DropHistory();
      break;
    case 4:
      fleet.Restart(static_cast<int>(base::RandomIndex(fleet.random, kNodes)));
      break;
    case 5:
      fleet.CutOff(part, false);
      part = {static_cast<int>(base::RandomIndex(fleet.random, kNodes)),
              static_cast<int>(base::RandomIndex(fleet.random, kNodes))};
      fleet.CutOff(part, true);
      break;
    default:
      faults = {};
      fleet.CutOff(part, false);
      part.clear();
  }
}

}  // namespace

TEST_CASE(
    "Through any run of faults versions rise and no stale node confirms") {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    INFO("seed " << seed);
    keeper_fleet fleet(kNodes, seed);
    fleet.RunFor(seconds(3));
    std::set<int> part;
    for (int step = 0; step < 60; ++step) {
      const bool down = fleet.clients.platform.faults.refuse;
      if (!down && base::RandomIndex(fleet.random, 3) == 0)
        EditOrRace(fleet);
      else if (!down)
        fleet.Edit(SomeName(fleet), base::RandomIndex(fleet.random, 4) == 0);
      if (base::RandomIndex(fleet.random, 3) == 0)
        BreakOrMend(fleet, part);
      fleet.RunFor(milliseconds(base::RandomIndex(fleet.random, 3000)));
    }
    fleet.clients.platform.faults = {};
    fleet.CutOff(part, false);
    fleet.RunFor(seconds(15));
    INFO(fleet.Faults());
    CHECK(fleet.faults.empty());
    for (int node = 1; node < kNodes; ++node)
      CHECK(fleet.node(node).digest() == fleet.node(0).digest());
  }
}

TEST_CASE("An old peer and a late event bring nothing back") {
  keeper_options options;
  options.self = base::node_id("self");
  version_keeper keeper(options);
  const base::time_point now{};
  const store::object_key key{"entry", "a"};
  const auto put = [&](const stored_item& item, std::uint64_t revision) {
    store::watch_event event;
    event.kind = store::watch_event_kind::kPut;
    event.changed = {key, base::revision(revision), EncodeStored(item)};
    keeper.Handle(event, now);
  };
  const auto old = Stored(keeper_fleet::Entry("a", 5), 5, "w5");
  put(old, 10);
  put(Tombstone(key, 6, "w6"), 11);
  const auto digest = keeper.digest();
  put(old, 12);
  const membership::item from_peer{"catalogue", "entry/a", base::node_id("old"),
                                   1, EncodeStored(old)};
  keeper.Handle(membership::item_received{from_peer}, now);
  CHECK(keeper.digest() == digest);
  CHECK(keeper.version() == 6);
  CHECK(keeper.counters().older == 2);
}

TEST_CASE("A platform restored from an old copy gets the lost edits back") {
  keeper_fleet fleet(kNodes, 5);
  fleet.Edit("a");
  fleet.Edit("b");
  fleet.RunFor(seconds(3));
  const auto backup = fleet.clients.platform.store;
  fleet.Edit("a");
  fleet.Edit("b", true);
  fleet.Edit("c");
  fleet.RunFor(seconds(3));
  const auto digest = fleet.node(0).digest();
  fleet.clients.platform.store = backup;
  // An edit made before the platform counts as restored stands above them all.
  fleet.RunFor(seconds(1));
  REQUIRE(fleet.Edit("d"));
  fleet.RunFor(seconds(60));
  INFO(fleet.Faults());
  CHECK(fleet.faults.empty());
  CHECK(fleet.node(0).digest() != digest);  // Entry d came.
  CHECK(fleet.node(0).in_force()->entries.size() == 3);
  store::call list;
  list.op = store::operation::kList;
  list.key.kind = "entry";
  const auto stored = fleet.clients.platform.store.Apply(list).listed;
  CHECK(stored.size() == 4);  // a, the tombstone of b, c, d.
  for (int node = 0; node < kNodes; ++node)
    CHECK(fleet.node(node).Confirmed(fleet.now()));
}

}  // namespace flamingoshunt::catalogue
