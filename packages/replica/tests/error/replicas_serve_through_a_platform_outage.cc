#include <catch2/catch.hpp>

#include "replica/tests/fleet_builder.h"

namespace flamingoshunt::replica::harness {

TEST_CASE("Complete replicas keep serving during a platform outage") {
  small_fleet fleet_simulation;
  REQUIRE(fleet_simulation.AllServe());
  fleet_simulation.simulation.store().down = true;
  fleet_simulation.simulation.Run(std::chrono::minutes(1));
  fleet_simulation.simulation.Kill(fleet_simulation.Member("rack-a", 0, 1));
  fleet_simulation.simulation.Kill(fleet_simulation.Member("rack-c", 1, 0));
  fleet_simulation.simulation.KillNode("n1");
  fleet_simulation.simulation.AddNode("n4");
  fleet_simulation.simulation.Run(std::chrono::minutes(59));
  CHECK(fleet_simulation.simulation.ServingReplicas("llm") ==
        small_fleet::kReplicas - 2);
  const auto calls = [&] {
    std::uint64_t sum = 0;
    for (const auto& [id, node] : fleet_simulation.simulation.nodes())
      sum += node.calls;
    return sum;
  };
  const std::uint64_t before = calls();
  fleet_simulation.simulation.store().down = false;
  fleet_simulation.simulation.Run(seconds(10));
  CHECK(calls() - before < 40);
  CHECK(fleet_simulation.AllServe(std::chrono::minutes(3)));
}

}  // namespace flamingoshunt::replica::harness
