#include <catch2/catch.hpp>

#include "packages/admission/tests/cluster.h"

namespace flamingoshunt::admission {

namespace {

refusal RefusalOf(simulated_cluster& cluster, const slot_request& request) {
  const auto received = cluster.Handle(0, request);
  REQUIRE(EffectsOf<grant>(received).empty());
  const auto refusals = EffectsOf<refusal>(received);
  REQUIRE(refusals.size() == 1);
  return refusals[0];
}

}  // namespace

TEST_CASE("Each state of a node that refuses requests gives its own reason") {
  struct test_step {
    input message;
    refusal_reason expected;
  };
  catalogue_in_force unconfirmed = InForce(MakeCatalogue());
  unconfirmed.confirmed = false;
  const auto gone = Serving(0, 2, replica::serving_state::kGone);
  const auto draining = Serving(0, 2, replica::serving_state::kDraining);
  const std::vector<test_step> test_steps{
      {gone, refusal_reason::kNoReplica},
      {draining, refusal_reason::kNoReplica},
      {unconfirmed, refusal_reason::kConfigurationUnconfirmed},
      {InForce(catalogue::snapshot()), refusal_reason::kUnknownEntry},
      {shutdown_started{}, refusal_reason::kStopping},
  };
  for (const auto& current : test_steps) {
    simulated_cluster cluster(1);
    cluster.Handle(0, Serving(0, 2));
    cluster.Handle(0, current.message);
    CHECK(RefusalOf(cluster, MakeRequest("any")).reason == current.expected);
  }
}

TEST_CASE("A request is never sent to a replica where it already failed") {
  simulated_cluster cluster(1);
  cluster.Handle(0, Serving(0, 2));
  slot_request retry = MakeRequest("again");
  retry.attempt = 2;
  retry.shape.excluded = {base::replica_id("r0")};
  CHECK(RefusalOf(cluster, retry).reason == refusal_reason::kNoReplica);
  cluster.Handle(0, Serving(1, 2));
  const auto grants = EffectsOf<grant>(cluster.Handle(0, retry));
  REQUIRE(grants.size() == 1);
  CHECK(grants[0].place.replica == base::replica_id("r1"));
}

TEST_CASE("A queued request whose deadline passes is refused, not granted") {
  simulated_cluster cluster(1);
  cluster.Handle(0, Serving(0, 1));
  const slot_request running_request = MakeRequest("runs");
  const auto grants = EffectsOf<grant>(cluster.Handle(0, running_request));
  slot_request queued = MakeRequest("waits");
  queued.deadline = cluster.now() + 2s;
  CHECK(cluster.Handle(0, queued).empty());
  CHECK(cluster.At(0).NextTimer() == queued.deadline);
  const auto observed = cluster.Advance(3s);
  REQUIRE(observed.size() == 1);
  CHECK(std::get<refusal>(observed[0].second).reason ==
        refusal_reason::kDeadline);
  CHECK(cluster.Handle(0, MakeRelease(grants[0], running_request)).empty());
}

TEST_CASE("Settings out of range are refused with their value") {
  controller_builder builder;
  CHECK_THROWS_WITH(builder.Build(), "node: \"\": must not be empty");
  builder.Self(LocationOf(0)).ShortReserve(2);
  CHECK_THROWS_WITH(builder.Build(), "short_reserve: 2: must be from 0 to 0.9");
}

}  // namespace flamingoshunt::admission
