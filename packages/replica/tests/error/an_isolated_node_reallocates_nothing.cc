#include <catch2/catch.hpp>

#include "replica/tests/fleet_builder.h"

namespace flamingoshunt::replica::harness {

TEST_CASE(
    "A node that receives no reports stops serving but reallocates none") {
  const std::string isolated_node = GENERATE("n1", "n2", "n3");
  small_fleet fleet;
  REQUIRE(fleet.AllServe());
  const std::vector<allocation> before = fleet.simulation.Stored();
  fleet.simulation.node(isolated_node).cut_from_all_instances = true;
  fleet.simulation.Run(std::chrono::minutes(2));
  for (const auto& [id, published] :
       fleet.simulation.node(isolated_node).serving)
    CHECK(published.state != serving_state::kServing);
  CHECK(fleet.simulation.Stored() == before);
  CHECK(fleet.simulation.ServingReplicas("llm") == small_fleet::kReplicas);
  // The other nodes still repair a real loss meanwhile.
  fleet.simulation.Kill(fleet.Member("rack-a", 0, 0));
  CHECK(fleet.simulation.RunUntil(
      [&] {
        return fleet.simulation.Stored() != before &&
               fleet.simulation.CompleteReplicas("llm") ==
                   small_fleet::kReplicas;
      },
      std::chrono::minutes(2)));
}

TEST_CASE("A node that alone cannot reach some members replaces none of them") {
  const std::string isolated_node = GENERATE("n1", "n2", "n3");
  small_fleet fleet;
  REQUIRE(fleet.AllServe());
  const std::vector<allocation> before = fleet.simulation.Stored();
  for (const char* rack : {"rack-a", "rack-b", "rack-c"})
    fleet.simulation.node(isolated_node)
        .unreachable_instances.insert(fleet.Member(rack, 0, 1));
  fleet.simulation.Run(std::chrono::minutes(1));
  CHECK(fleet.simulation.Stored() == before);
}

TEST_CASE("A single node relies on the platform's list for mass loss") {
  small_fleet fleet;
  REQUIRE(fleet.AllServe());
  fleet.simulation.KillNode("n2");
  fleet.simulation.KillNode("n3");
  fleet.simulation.Run(seconds(5));
  const std::vector<allocation> before = fleet.simulation.Stored();
  fleet.simulation.node("n1").cut_from_all_instances = true;
  fleet.simulation.Run(std::chrono::minutes(2));
  CHECK(fleet.simulation.Stored() == before);
}

}  // namespace flamingoshunt::replica::harness
