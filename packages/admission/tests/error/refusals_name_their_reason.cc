#include <catch2/catch.hpp>

#include "packages/admission/tests/cluster.h"

namespace flamingoshunt::admission {

namespace {

refusal RefusalOf(simulated_cluster& one, const slot_request& request) {
  const auto all = one.Handle(0, request);
  REQUIRE(EffectsOf<grant>(all).empty());
  const auto refused = EffectsOf<refusal>(all);
  REQUIRE(refused.size() == 1);
  return refused[0];
}

}  // namespace

TEST_CASE("Each state of a node that refuses requests gives its own reason") {
  struct step {
    input given;
    refusal_reason expected;
  };
  catalogue_in_force unconfirmed = InForce(MakeCatalogue());
  unconfirmed.confirmed = false;
  const auto gone = Serving(0, 2, replica::serving_state::kGone);
  const auto draining = Serving(0, 2, replica::serving_state::kDraining);
  const std::vector<step> steps{
      {gone, refusal_reason::kNoReplica},
      {draining, refusal_reason::kNoReplica},
      {unconfirmed, refusal_reason::kConfigurationUnconfirmed},
      {InForce(catalogue::snapshot()), refusal_reason::kUnknownEntry},
      {shutdown_started{}, refusal_reason::kStopping},
  };
  for (const auto& each : steps) {
    simulated_cluster one(1);
    one.Handle(0, Serving(0, 2));
    one.Handle(0, each.given);
    CHECK(RefusalOf(one, MakeRequest("any")).reason == each.expected);
  }
}

TEST_CASE("A request is never sent to a replica where it already failed") {
  simulated_cluster one(1);
  one.Handle(0, Serving(0, 2));
  slot_request again = MakeRequest("again");
  again.attempt = 2;
  again.shape.excluded = {base::replica_id("r0")};
  CHECK(RefusalOf(one, again).reason == refusal_reason::kNoReplica);
  one.Handle(0, Serving(1, 2));
  const auto granted = EffectsOf<grant>(one.Handle(0, again));
  REQUIRE(granted.size() == 1);
  CHECK(granted[0].place.replica == base::replica_id("r1"));
}

TEST_CASE("A queued request whose deadline passes is refused, not granted") {
  simulated_cluster one(1);
  one.Handle(0, Serving(0, 1));
  const slot_request runs = MakeRequest("runs");
  const auto granted = EffectsOf<grant>(one.Handle(0, runs));
  slot_request waits = MakeRequest("waits");
  waits.deadline = one.now() + 2s;
  CHECK(one.Handle(0, waits).empty());
  CHECK(one.At(0).NextTimer() == waits.deadline);
  const auto seen = one.Advance(3s);
  REQUIRE(seen.size() == 1);
  CHECK(std::get<refusal>(seen[0].second).reason == refusal_reason::kDeadline);
  CHECK(one.Handle(0, MakeRelease(granted[0], runs)).empty());
}

TEST_CASE("Settings out of range are refused with their value") {
  controller_builder builder;
  CHECK_THROWS_WITH(builder.Build(), "node: \"\": must not be empty");
  builder.Self(LocationOf(0)).ShortReserve(2);
  CHECK_THROWS_WITH(builder.Build(), "short_reserve: 2: must be from 0 to 0.9");
}

}  // namespace flamingoshunt::admission
