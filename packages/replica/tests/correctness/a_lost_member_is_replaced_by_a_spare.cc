#include <catch2/catch.hpp>

#include "replica/tests/fleet_builder.h"

namespace flamingoshunt::replica::harness {

TEST_CASE("A lost member is replaced with one load, the others keep theirs") {
  const bool checks_fencing = GENERATE(true, false);
  small_fleet fleet(checks_fencing);
  REQUIRE(fleet.AllServe());
  const int loads = fleet.simulation.completed_loads();
  const auto before = fleet.simulation.Stored("rack-a").replicas[0];
  fleet.simulation.Kill(before.members[2]);
  fleet.simulation.Run(seconds(3));
  CHECK(fleet.simulation.ServingReplicas("llm") == small_fleet::kReplicas - 1);
  REQUIRE(fleet.AllServe(std::chrono::minutes(2)));
  const auto after = *fleet.simulation.Stored("rack-a").FindReplica(before.id);
  CHECK(after.members[2] != before.members[2]);
  CHECK(after.epoch > before.epoch);
  CHECK(fleet.simulation.completed_loads() == loads + 1);
}

}  // namespace flamingoshunt::replica::harness
