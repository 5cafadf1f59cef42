#include <catch2/catch.hpp>

#include "replica/tests/fleet_builder.h"

namespace flamingoshunt::replica::harness {

TEST_CASE("Scaling and removal of entries drain surplus replicas") {
  fleet_simulation::options configured;
  configured.replica_settings.surplus_replicas = 0;
  small_fleet fleet_simulation(true, 1, configured);
  REQUIRE(fleet_simulation.AllServe());
  fleet_simulation.entry.replicas = 4;
  fleet_simulation.simulation.SetCatalogue({fleet_simulation.entry});
  CHECK(fleet_simulation.simulation.RunUntil(
      [&] { return fleet_simulation.simulation.CompleteReplicas("llm") == 4; },
      std::chrono::minutes(2)));
  fleet_simulation.simulation.SetCatalogue({Engine("other", 2, 4)});
  CHECK(fleet_simulation.simulation.RunUntil(
      [&] {
        return fleet_simulation.simulation.ServingReplicas("llm") == 0 &&
               fleet_simulation.simulation.ServingReplicas("other") == 2;
      },
      std::chrono::minutes(5)));
}

TEST_CASE("Surplus replicas are released for an entry that lacks replicas") {
  small_fleet fleet_simulation;
  REQUIRE(fleet_simulation.AllServe());
  fleet_simulation.entry.replicas = 4;
  fleet_simulation.simulation.SetCatalogue({fleet_simulation.entry});
  fleet_simulation.simulation.Run(std::chrono::minutes(2));
  CHECK(fleet_simulation.simulation.ServingReplicas("llm") == 6);
  fleet_simulation.simulation.SetCatalogue(
      {fleet_simulation.entry, Engine("other", 2, 4)});
  int least = 6;
  CHECK(fleet_simulation.simulation.RunUntil(
      [&] {
        least =
            std::min(least, fleet_simulation.simulation.ServingReplicas("llm"));
        return fleet_simulation.simulation.ServingReplicas("other") == 2;
      },
      std::chrono::minutes(5)));
  CHECK(least == 4);
}

}  // namespace flamingoshunt::replica::harness
