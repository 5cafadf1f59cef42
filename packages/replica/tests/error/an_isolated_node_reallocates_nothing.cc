#include <catch2/catch.hpp>

#include "replica/tests/fleet_builder.h"

namespace flamingoshunt::replica::harness {

TEST_CASE(
    "A node that receives no reports stops serving but reallocates none") {
  const std::string isolated_node = GENERATE("n1", "n2", "n3");
  small_fleet fleet_simulation;
  REQUIRE(fleet_simulation.AllServe());
  const std::vector<allocation> before = fleet_simulation.simulation.Stored();
  fleet_simulation.simulation.node(isolated_node).cut_from_all_instances = true;
  fleet_simulation.simulation.Run(std::chrono::minutes(2));
  for (const auto& [id, published] :
       fleet_simulation.simulation.node(isolated_node).serving)
    CHECK(published.state != serving_state::kServing);
  CHECK(fleet_simulation.simulation.Stored() == before);
  CHECK(fleet_simulation.simulation.ServingReplicas("llm") ==
        small_fleet::kReplicas);
  // The other nodes still repair a real loss meanwhile.
  fleet_simulation.simulation.Kill(fleet_simulation.Member("rack-a", 0, 0));
  CHECK(fleet_simulation.simulation.RunUntil(
      [&] {
        return fleet_simulation.simulation.Stored() != before &&
               fleet_simulation.simulation.CompleteReplicas("llm") ==
                   small_fleet::kReplicas;
      },
      std::chrono::minutes(2)));
}

TEST_CASE("A node that alone cannot reach some members replaces none of them") {
  const std::string isolated_node = GENERATE("n1", "n2", "n3");
  small_fleet fleet_simulation;
  REQUIRE(fleet_simulation.AllServe());
  const std::vector<allocation> before = fleet_simulation.simulation.Stored();
  for (const char* rack : {"rack-a", "rack-b", "rack-c"})
    fleet_simulation.simulation.node(isolated_node)
        .unreachable_instances.insert(fleet_simulation.Member(rack, 0, 1));
  fleet_simulation.simulation.Run(std::chrono::minutes(1));
  CHECK(fleet_simulation.simulation.Stored() == before);
}

TEST_CASE("A single node relies on the platform's list for mass loss") {
  small_fleet fleet_simulation;
  REQUIRE(fleet_simulation.AllServe());
  fleet_simulation.simulation.KillNode("n2");
  fleet_simulation.simulation.KillNode("n3");
  fleet_simulation.simulation.Run(seconds(5));
  const std::vector<allocation> before = fleet_simulation.simulation.Stored();
  fleet_simulation.simulation.node("n1").cut_from_all_instances = true;
  fleet_simulation.simulation.Run(std::chrono::minutes(2));
  CHECK(fleet_simulation.simulation.Stored() == before);
}

}  // namespace flamingoshunt::replica::harness
