#include <catch2/catch.hpp>

#include "replica/tests/fleet_builder.h"

namespace flamingoshunt::replica::harness {

TEST_CASE("A failed domain recovers in the time that the load rate allows") {
  const int slots = GENERATE(1, 2, 8);
  fleet_simulation::options configured;
  configured.replica_settings.weight_slots = slots;
  small_fleet fleet_simulation(true, 1, configured);
  REQUIRE(fleet_simulation.AllServe(std::chrono::hours(1)));
  std::vector<base::instance_id> failed;
  for (auto& [id, instance] : fleet_simulation.simulation.instances()) {
    if (instance.info.fabric_domain.str() == "rack-b")
      failed.push_back(id);
  }
  for (const auto& id : failed)
    fleet_simulation.simulation.Kill(id);
  fleet_simulation.simulation.Run(std::chrono::minutes(5));
  CHECK(fleet_simulation.simulation.ServingReplicas("llm") == 4);
  for (const auto& id : failed)
    fleet_simulation.simulation.Restart(id);
  const time_point restarted_at = fleet_simulation.simulation.now();
  REQUIRE(fleet_simulation.AllServe(std::chrono::hours(1)));
  const int rounds = (8 + slots - 1) / slots;
  const duration least = rounds * seconds(30);
  CHECK(fleet_simulation.simulation.now() - restarted_at >= least);
  // Detecting, writing, granting and ordering add a few seconds.
  CHECK(fleet_simulation.simulation.now() - restarted_at <
        least + least / 10 + seconds(3));
}

TEST_CASE("Members that resume after a pause serve without a load") {
  small_fleet fleet_simulation;
  REQUIRE(fleet_simulation.AllServe());
  const int loads = fleet_simulation.simulation.completed_loads();
  for (auto& [id, instance] : fleet_simulation.simulation.instances()) {
    if (instance.info.fabric_domain.str() == "rack-b")
      fleet_simulation.simulation.Pause(id, std::chrono::minutes(3));
  }
  fleet_simulation.simulation.Run(std::chrono::minutes(2));
  CHECK(fleet_simulation.simulation.ServingReplicas("llm") == 4);
  REQUIRE(fleet_simulation.AllServe(seconds(70)));
  CHECK(fleet_simulation.simulation.completed_loads() == loads);
}

}  // namespace flamingoshunt::replica::harness
