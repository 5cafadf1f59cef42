#include <catch2/catch.hpp>

#include "replica/tests/fleet_builder.h"

namespace flamingoshunt::replica::harness {

TEST_CASE("A replica with a leaving member drains, then resumes with a spare") {
  const bool drained_by_operator = GENERATE(true, false);
  small_fleet fleet_simulation;
  REQUIRE(fleet_simulation.AllServe());
  const auto before = fleet_simulation.simulation.Stored("rack-b").replicas[1];
  fleet_simulation.simulation.SetWork(before.members[0], 2);
  if (drained_by_operator)
    fleet_simulation.simulation.Drain(before.members[3], true);
  else
    fleet_simulation.simulation.Leave(before.members[3]);
  fleet_simulation.simulation.Run(std::chrono::minutes(2));
  // The members stay until work in flight ends; the successor is loaded by
  // then.
  CHECK(fleet_simulation.simulation.Stored("rack-b").replicas[1].members ==
        before.members);
  CHECK(fleet_simulation.simulation.ServingReplicas("llm") ==
        small_fleet::kReplicas - 1);
  fleet_simulation.simulation.SetWork(before.members[0], 0);
  const time_point emptied = fleet_simulation.simulation.now();
  REQUIRE(fleet_simulation.AllServe(std::chrono::minutes(2)));
  CHECK(fleet_simulation.simulation.now() - emptied < seconds(10));
  CHECK(fleet_simulation.simulation.Stored("rack-b").replicas[1].members[3] !=
        before.members[3]);
}

}  // namespace flamingoshunt::replica::harness
