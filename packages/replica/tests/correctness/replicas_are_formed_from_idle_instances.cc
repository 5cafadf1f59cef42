#include <catch2/catch.hpp>

#include "replica/tests/fleet_builder.h"

namespace flamingoshunt::replica::harness {

TEST_CASE("Replicas form from idle instances, spread over failure domains") {
  const bool checks_fencing = GENERATE(true, false);
  small_fleet fleet(checks_fencing);
  REQUIRE(fleet.AllServe());
  for (const char* name : {"rack-a", "rack-b", "rack-c"})
    CHECK(fleet.simulation.Stored(name).replicas.size() == 2);
  CHECK(fleet.simulation.completed_loads() == small_fleet::kReplicas * 4);
}

}  // namespace flamingoshunt::replica::harness
