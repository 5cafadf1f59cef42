#include <catch2/catch.hpp>

#include "replica/tests/fleet_builder.h"

namespace flamingoshunt::replica::harness {

TEST_CASE("Replicas form from idle instances, spread over failure domains") {
  const bool checks_fencing = GENERATE(true, false);
  small_fleet fleet_simulation(checks_fencing);
  REQUIRE(fleet_simulation.AllServe());
  for (const char* name : {"rack-a", "rack-b", "rack-c"})
    CHECK(fleet_simulation.simulation.Stored(name).replicas.size() == 2);
  CHECK(fleet_simulation.simulation.completed_loads() ==
        small_fleet::kReplicas * 4);
}

}  // namespace flamingoshunt::replica::harness
