#include <catch2/catch.hpp>

#include "replica/tests/fleet_builder.h"

namespace flamingoshunt::replica::harness {

TEST_CASE(
    "Without spares, one of two incomplete replicas completes the other") {
  small_fleet fleet(true, 0);
  REQUIRE(fleet.AllServe());
  const allocation before = fleet.simulation.Stored("rack-a");
  const int loads = fleet.simulation.completed_loads();
  fleet.simulation.Kill(before.replicas[0].members[1]);
  fleet.simulation.Kill(before.replicas[1].members[3]);
  REQUIRE(fleet.simulation.RunUntil(
      [&] {
        return fleet.simulation.ServingReplicas("llm") ==
                   small_fleet::kReplicas - 1 &&
               fleet.simulation.CompleteReplicas("llm") ==
                   small_fleet::kReplicas - 1;
      },
      std::chrono::minutes(2)));
  CHECK(fleet.simulation.Stored("rack-a").replicas.size() == 1);
  // The survivor of the same rank already holds the required weights.
  CHECK(fleet.simulation.completed_loads() == loads);
}

}  // namespace flamingoshunt::replica::harness
