#include <catch2/catch.hpp>

#include "packages/admission/tests/cluster.h"

namespace flamingoshunt::admission {

TEST_CASE("Requests are granted up to the free slots and the rest wait") {
  simulated_cluster cluster(1);
  cluster.Handle(0, Serving(0, 2));
  const slot_request first = MakeRequest("first");
  const auto grants = EffectsOf<grant>(cluster.Handle(0, first));
  REQUIRE(grants.size() == 1);
  CHECK(grants[0].place.replica == base::replica_id("r0"));
  CHECK(EffectsOf<grant>(cluster.Handle(0, MakeRequest("second"))).size() == 1);
  CHECK(cluster.Handle(0, MakeRequest("third")).empty());
  CHECK(cluster.At(0).QueuedRequests() == 1);

  const auto next =
      EffectsOf<grant>(cluster.Handle(0, MakeRelease(grants[0], first)));
  REQUIRE(next.size() == 1);
  CHECK(next[0].request == base::request_id("third"));
  CHECK(cluster.At(0).QueuedRequests() == 0);
}

TEST_CASE("A withdrawn request leaves the queue or frees its slot at once") {
  simulated_cluster cluster(1);
  cluster.Handle(0, Serving(0, 1));
  cluster.Handle(0, MakeRequest("runs"));
  cluster.Handle(0, MakeRequest("leaves"));
  cluster.Handle(0, MakeRequest("stays"));
  cluster.Handle(0, withdrawal{base::request_id("leaves")});
  CHECK(cluster.At(0).QueuedRequests() == 1);

  // The grant of "runs" crosses its withdrawal.
  const auto next =
      EffectsOf<grant>(cluster.Handle(0, withdrawal{base::request_id("runs")}));
  REQUIRE(next.size() == 1);
  CHECK(next[0].request == base::request_id("stays"));
}

}  // namespace flamingoshunt::admission
