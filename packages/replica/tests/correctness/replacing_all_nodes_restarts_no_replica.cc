#include <catch2/catch.hpp>

#include "replica/tests/fleet_builder.h"

namespace flamingoshunt::replica::harness {

TEST_CASE("Replacing all nodes restarts no healthy replica") {
  const bool together = GENERATE(true, false);
  const bool mid_step = GENERATE(true, false);
  small_fleet fleet_simulation;
  REQUIRE(fleet_simulation.AllServe());
  const int loads = fleet_simulation.simulation.completed_loads();
  if (mid_step)
    fleet_simulation.simulation.Kill(fleet_simulation.Member("rack-a", 0, 0));
  fleet_simulation.simulation.Run(mid_step ? seconds(5) : seconds(0));
  for (const char* name : {"1", "2", "3"}) {
    fleet_simulation.simulation.KillNode(std::string("n") + name);
    if (!together) {
      fleet_simulation.simulation.AddNode(std::string("m") + name);
      fleet_simulation.simulation.Run(seconds(5));
    }
  }
  if (together) {
    fleet_simulation.simulation.Run(seconds(10));
    for (const char* name : {"m1", "m2", "m3"})
      fleet_simulation.simulation.AddNode(name);
  }
  REQUIRE(fleet_simulation.AllServe(std::chrono::minutes(2)));
  fleet_simulation.simulation.Run(std::chrono::minutes(1));
  CHECK(fleet_simulation.simulation.completed_loads() == loads + mid_step);
}

TEST_CASE(
    "A new node that receives no reports drains no replica for a rollout") {
  small_fleet fleet_simulation;
  REQUIRE(fleet_simulation.AllServe());
  for (const char* name : {"n1", "n2", "n3"})
    fleet_simulation.simulation.KillNode(name);
  fleet_simulation.entry.version = "v2";
  fleet_simulation.simulation.SetCatalogue({fleet_simulation.entry});
  const std::vector<allocation> before = fleet_simulation.simulation.Stored();
  fleet_simulation.simulation.AddNode("m1");
  fleet_simulation.simulation.node("m1").cut_from_all_instances = true;
  fleet_simulation.simulation.Run(std::chrono::minutes(1));
  CHECK(fleet_simulation.simulation.Stored() == before);
}

}  // namespace flamingoshunt::replica::harness
