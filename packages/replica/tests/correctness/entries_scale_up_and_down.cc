#include <catch2/catch.hpp>

#include "replica/tests/fleet_builder.h"

namespace flamingoshunt::replica::harness {

TEST_CASE("Scaling and removal of entries drain surplus replicas") {
  fleet_simulation::options configured;
  configured.replica_settings.surplus_replicas = 0;
  small_fleet fleet(true, 1, configured);
  REQUIRE(fleet.AllServe());
  fleet.entry.replicas = 4;
  fleet.simulation.SetCatalogue({fleet.entry});
  CHECK(fleet.simulation.RunUntil(
      [&] { return fleet.simulation.CompleteReplicas("llm") == 4; },
      std::chrono::minutes(2)));
  fleet.simulation.SetCatalogue({Engine("other", 2, 4)});
  CHECK(fleet.simulation.RunUntil(
      [&] {
        return fleet.simulation.ServingReplicas("llm") == 0 &&
               fleet.simulation.ServingReplicas("other") == 2;
      },
      std::chrono::minutes(5)));
}

TEST_CASE("Surplus replicas are released for an entry that lacks replicas") {
  small_fleet fleet;
  REQUIRE(fleet.AllServe());
  fleet.entry.replicas = 4;
  fleet.simulation.SetCatalogue({fleet.entry});
  fleet.simulation.Run(std::chrono::minutes(2));
  CHECK(fleet.simulation.ServingReplicas("llm") == 6);
  fleet.simulation.SetCatalogue({fleet.entry, Engine("other", 2, 4)});
  int least = 6;
  CHECK(fleet.simulation.RunUntil(
      [&] {
        least = std::min(least, fleet.simulation.ServingReplicas("llm"));
        return fleet.simulation.ServingReplicas("other") == 2;
      },
      std::chrono::minutes(5)));
  CHECK(least == 4);
}

}  // namespace flamingoshunt::replica::harness
