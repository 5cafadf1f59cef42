#include <catch2/catch.hpp>

#include "delivery/claim_record.h"
#include "delivery/claim_sweeper.h"
#include "delivery/tests/fakes/fake_store.h"

namespace flamingoshunt::delivery {
namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

struct sweeping_world {
  sweeping_world() : sweeper({}, ids) {
    for (int i = 0; i < 600; ++i)
      Put("claim-" + std::to_string(i), hours(i < 500 ? 1 : 48));
    sweeper.SetLeading(true, now);
  }

  void Put(const std::string& key, base::duration term) {
    caller::request request;
    request.idempotency_key = key;
    claim_record record{"token", "call", claim_state::kDone, {}, {}, {}};
    record.expires = base::wall_time(term);
    store::call call;
    call.op = store::operation::kCreate;
    call.key = ClaimKey(request);
    call.value = WriteClaim(record);
    store.Call(call, store_fault::kNone);
  }

  // Runs until @p end with every seventh call failing.
  void RunUntil(base::duration end) {
    const base::wall_time day(hours(24));
    while (sweeper.NextTimer() &&
           *sweeper.NextTimer() < base::time_point(end)) {
      now = std::max(now, *sweeper.NextTimer());
      for (const store::call& call : sweeper.Tick(now)) {
        writes += call.op == store::operation::kDelete;
        const bool fails = ++calls % 7 == 0;
        sweeper.Handle(store.Call(call, fails ? store_fault::kLostBefore
                                              : store_fault::kNone),
                       day);
      }
    }
  }

  base::time_point now;
  id_source ids{"node"};
  fake_store store;
  claim_sweeper sweeper;
  int writes = 0;
  int calls = 0;
};

}  // namespace

TEST_CASE("Expired claims go in the end, though every seventh call fails") {
  sweeping_world world;
  world.RunUntil(hours(10));
  CHECK(world.store.objects().size() == 100);
  CHECK(world.sweeper.counters().deleted == 500);
}

TEST_CASE("The sweep keeps to its rate and stops with the leadership") {
  sweeping_world world;
  world.RunUntil(minutes(10));
  CHECK(world.writes <= 600 * 10);
  CHECK(world.writes > 0);
  world.sweeper.SetLeading(false, world.now);
  CHECK_FALSE(world.sweeper.NextTimer());
  CHECK(world.sweeper.Tick(world.now + hours(1)).empty());
}

TEST_CASE("A claim that changed since it was seen is left alone") {
  sweeping_world world;
  auto calls = world.sweeper.Tick(world.now);
  REQUIRE(calls.size() == 1);
  const auto listed = world.store.Call(calls[0], store_fault::kNone);
  REQUIRE_FALSE(listed.listed.empty());
  world.sweeper.Handle(listed, base::wall_time(hours(24)));
  store::call update;
  update.op = store::operation::kUpdate;
  update.key = listed.listed[0].key;
  update.expected = listed.listed[0].version;
  update.value = listed.listed[0].value;
  world.store.Call(update, store_fault::kNone);
  for (const store::call& call : world.sweeper.Tick(world.now + seconds(1)))
    world.sweeper.Handle(world.store.Call(call, store_fault::kNone), {});
  CHECK(world.store.objects().contains(update.key));
}

}  // namespace flamingoshunt::delivery
