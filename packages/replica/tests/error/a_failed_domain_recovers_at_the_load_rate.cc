#include <catch2/catch.hpp>

#include "replica/tests/fleet_builder.h"

namespace flamingoshunt::replica::harness {

TEST_CASE("A failed domain recovers in the time that the load rate allows") {
  const int slots = GENERATE(1, 2, 8);
  fleet_simulation::options configured;
  configured.replica_settings.weight_slots = slots;
  small_fleet fleet(true, 1, configured);
  REQUIRE(fleet.AllServe(std::chrono::hours(1)));
  std::vector<base::instance_id> failed;
  for (auto& [id, instance] : fleet.simulation.instances()) {
    if (instance.info.fabric_domain.str() == "rack-b")
      failed.push_back(id);
  }
  for (const auto& id : failed)
    fleet.simulation.Kill(id);
  fleet.simulation.Run(std::chrono::minutes(5));
  CHECK(fleet.simulation.ServingReplicas("llm") == 4);
  for (const auto& id : failed)
    fleet.simulation.Restart(id);
  const time_point restarted_at = fleet.simulation.now();
  REQUIRE(fleet.AllServe(std::chrono::hours(1)));
  const int rounds = (8 + slots - 1) / slots;
  const duration least = rounds * seconds(30);
  CHECK(fleet.simulation.now() - restarted_at >= least);
  // Detecting, writing, granting and ordering add a few seconds.
  CHECK(fleet.simulation.now() - restarted_at <
        least + least / 10 + seconds(3));
}

TEST_CASE("Members that resume after a pause serve without a load") {
  small_fleet fleet;
  REQUIRE(fleet.AllServe());
  const int loads = fleet.simulation.completed_loads();
  for (auto& [id, instance] : fleet.simulation.instances()) {
    if (instance.info.fabric_domain.str() == "rack-b")
      fleet.simulation.Pause(id, std::chrono::minutes(3));
  }
  fleet.simulation.Run(std::chrono::minutes(2));
  CHECK(fleet.simulation.ServingReplicas("llm") == 4);
  REQUIRE(fleet.AllServe(seconds(70)));
  CHECK(fleet.simulation.completed_loads() == loads);
}

}  // namespace flamingoshunt::replica::harness
