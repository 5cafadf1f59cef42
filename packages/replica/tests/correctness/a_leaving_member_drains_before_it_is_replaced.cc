#include <catch2/catch.hpp>

#include "replica/tests/fleet_builder.h"

namespace flamingoshunt::replica::harness {

TEST_CASE("A replica with a leaving member drains, then resumes with a spare") {
  const bool drained_by_operator = GENERATE(true, false);
  small_fleet fleet;
  REQUIRE(fleet.AllServe());
  const auto before = fleet.simulation.Stored("rack-b").replicas[1];
  fleet.simulation.SetWork(before.members[0], 2);
  if (drained_by_operator)
    fleet.simulation.Drain(before.members[3], true);
  else
    fleet.simulation.Leave(before.members[3]);
  fleet.simulation.Run(std::chrono::minutes(2));
  // The members stay until work in flight ends; the successor is loaded by
  // then.
  CHECK(fleet.simulation.Stored("rack-b").replicas[1].members ==
        before.members);
  CHECK(fleet.simulation.ServingReplicas("llm") == small_fleet::kReplicas - 1);
  fleet.simulation.SetWork(before.members[0], 0);
  const time_point emptied = fleet.simulation.now();
  REQUIRE(fleet.AllServe(std::chrono::minutes(2)));
  CHECK(fleet.simulation.now() - emptied < seconds(10));
  CHECK(fleet.simulation.Stored("rack-b").replicas[1].members[3] !=
        before.members[3]);
}

}  // namespace flamingoshunt::replica::harness
