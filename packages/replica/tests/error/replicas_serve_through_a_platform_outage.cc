#include <catch2/catch.hpp>

#include "replica/tests/fleet_builder.h"

namespace flamingoshunt::replica::harness {

TEST_CASE("Complete replicas keep serving during a platform outage") {
  small_fleet fleet;
  REQUIRE(fleet.AllServe());
  fleet.simulation.store().down = true;
  fleet.simulation.Run(std::chrono::minutes(1));
  fleet.simulation.Kill(fleet.Member("rack-a", 0, 1));
  fleet.simulation.Kill(fleet.Member("rack-c", 1, 0));
  fleet.simulation.KillNode("n1");
  fleet.simulation.AddNode("n4");
  fleet.simulation.Run(std::chrono::minutes(59));
  CHECK(fleet.simulation.ServingReplicas("llm") == small_fleet::kReplicas - 2);
  const auto calls = [&] {
    std::uint64_t sum = 0;
    for (const auto& [id, node] : fleet.simulation.nodes())
      sum += node.calls;
    return sum;
  };
  const std::uint64_t before = calls();
  fleet.simulation.store().down = false;
  fleet.simulation.Run(seconds(10));
  CHECK(calls() - before < 40);
  CHECK(fleet.AllServe(std::chrono::minutes(3)));
}

}  // namespace flamingoshunt::replica::harness
