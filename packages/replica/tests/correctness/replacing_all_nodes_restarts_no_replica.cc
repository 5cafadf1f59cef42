#include <catch2/catch.hpp>

#include "replica/tests/fleet_builder.h"

namespace flamingoshunt::replica::harness {

TEST_CASE("Replacing all nodes restarts no healthy replica") {
  const bool together = GENERATE(true, false);
  const bool mid_step = GENERATE(true, false);
  small_fleet fleet;
  REQUIRE(fleet.AllServe());
  const int loads = fleet.simulation.completed_loads();
  if (mid_step)
    fleet.simulation.Kill(fleet.Member("rack-a", 0, 0));
  fleet.simulation.Run(mid_step ? seconds(5) : seconds(0));
  for (const char* name : {"1", "2", "3"}) {
    fleet.simulation.KillNode(std::string("n") + name);
    if (!together) {
      fleet.simulation.AddNode(std::string("m") + name);
      fleet.simulation.Run(seconds(5));
    }
  }
  if (together) {
    fleet.simulation.Run(seconds(10));
    for (const char* name : {"m1", "m2", "m3"})
      fleet.simulation.AddNode(name);
  }
  REQUIRE(fleet.AllServe(std::chrono::minutes(2)));
  fleet.simulation.Run(std::chrono::minutes(1));
  CHECK(fleet.simulation.completed_loads() == loads + mid_step);
}

TEST_CASE(
    "A new node that receives no reports drains no replica for a rollout") {
  small_fleet fleet;
  REQUIRE(fleet.AllServe());
  for (const char* name : {"n1", "n2", "n3"})
    fleet.simulation.KillNode(name);
  fleet.entry.version = "v2";
  fleet.simulation.SetCatalogue({fleet.entry});
  const std::vector<allocation> before = fleet.simulation.Stored();
  fleet.simulation.AddNode("m1");
  fleet.simulation.node("m1").cut_from_all_instances = true;
  fleet.simulation.Run(std::chrono::minutes(1));
  CHECK(fleet.simulation.Stored() == before);
}

}  // namespace flamingoshunt::replica::harness
