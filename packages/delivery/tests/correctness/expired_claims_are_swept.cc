#include <catch2/catch.hpp>

#include "delivery/claim_record.h"
#include "delivery/claim_sweeper.h"
#include "delivery/tests/fakes/fake_store.h"

namespace flamingoshunt::delivery {
namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

struct sweep_fixture {
  sweep_fixture() : sweeper({}, ids) {
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
    call.key = MakeClaimKey(request);
    call.value = EncodeClaim(record);
    store.Call(call, store_fault::kNone);
  }

  // Runs until @p end, with every seventh call failing.
  void RunUntil(base::duration end) {
    const base::wall_time one_day(hours(24));
    while (sweeper.NextTimer() &&
           *sweeper.NextTimer() < base::time_point(end)) {
      now = std::max(now, *sweeper.NextTimer());
      for (const store::call& call : sweeper.Tick(now)) {
        writes += call.op == store::operation::kDelete;
        const bool call_fails = ++calls % 7 == 0;
        sweeper.Handle(store.Call(call, call_fails ? store_fault::kLostBefore
                                                   : store_fault::kNone),
                       one_day);
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

TEST_CASE(
    "Expired claims are deleted in the end, though every 7th call fails") {
  sweep_fixture fixture;
  fixture.RunUntil(hours(10));
  CHECK(fixture.store.objects().size() == 100);
  CHECK(fixture.sweeper.counters().deleted == 500);
}

TEST_CASE("The sweep keeps its rate limit and stops when leadership is lost") {
  sweep_fixture fixture;
  fixture.RunUntil(minutes(10));
  CHECK(fixture.writes <= 600 * 10);
  CHECK(fixture.writes > 0);
  fixture.sweeper.SetLeading(false, fixture.now);
  CHECK_FALSE(fixture.sweeper.NextTimer());
  CHECK(fixture.sweeper.Tick(fixture.now + hours(1)).empty());
}

TEST_CASE("A claim that changed since it was listed is left unchanged") {
  sweep_fixture fixture;
  auto calls = fixture.sweeper.Tick(fixture.now);
  REQUIRE(calls.size() == 1);
  const auto listed = fixture.store.Call(calls[0], store_fault::kNone);
  REQUIRE_FALSE(listed.listed.empty());
  fixture.sweeper.Handle(listed, base::wall_time(hours(24)));
  store::call update;
  update.op = store::operation::kUpdate;
  update.key = listed.listed[0].key;
  update.expected = listed.listed[0].version;
  update.value = listed.listed[0].value;
  fixture.store.Call(update, store_fault::kNone);
  for (const store::call& call : fixture.sweeper.Tick(fixture.now + seconds(1)))
    fixture.sweeper.Handle(fixture.store.Call(call, store_fault::kNone), {});
  CHECK(fixture.store.objects().contains(update.key));
}

}  // namespace flamingoshunt::delivery
