#include <catch2/catch.hpp>

#include "replica/tests/fleet_builder.h"

namespace flamingoshunt::replica::harness {
namespace {

bool AllReplicasAt(const fleet_simulation& simulation,
                   const std::string& version) {
  for (const allocation& current : simulation.Stored()) {
    for (const allocated_replica& replica : current.replicas) {
      if (replica.version != version)
        return false;
    }
  }
  return true;
}

}  // namespace

TEST_CASE(
    "A new version reaches all replicas with at most one out of service") {
  const int spares = GENERATE(0, 1, 4);
  small_fleet fleet(true, spares);
  REQUIRE(fleet.AllServe());
  fleet.entry.version = "v2";
  fleet.simulation.SetCatalogue({fleet.entry});
  int least = small_fleet::kReplicas;
  REQUIRE(fleet.simulation.RunUntil(
      [&] {
        least = std::min(least, fleet.simulation.ServingReplicas("llm"));
        return AllReplicasAt(fleet.simulation, "v2") &&
               fleet.simulation.CompleteReplicas("llm") >=
                   small_fleet::kReplicas;
      },
      std::chrono::minutes(30)));
  CHECK(least >= small_fleet::kReplicas - 1);
}

TEST_CASE("A rollout that would drain an entry's last replica waits") {
  fleet_simulation simulation({});
  simulation.AddInstances("rack-a", "zone-a", 4, true);
  catalogue::entry entry = Engine("llm", 1, 4);
  simulation.SetCatalogue({entry});
  simulation.AddNode("n1");
  REQUIRE(simulation.RunUntil(
      [&] { return simulation.ServingReplicas("llm") == 1; },
      std::chrono::minutes(2)));
  entry.version = "v2";
  simulation.SetCatalogue({entry});
  simulation.Run(std::chrono::minutes(5));
  CHECK(simulation.ServingReplicas("llm") == 1);
  CHECK(simulation.node("n1").state_machine->blocked().contains(entry.name));
  simulation.AddInstances("rack-b", "zone-b", 4, true);
  for (int i = 0; i < 4; ++i)
    simulation.List(base::instance_id("rack-b/" + std::to_string(1000 + i)));
  CHECK(simulation.RunUntil([&] { return AllReplicasAt(simulation, "v2"); },
                            std::chrono::minutes(5)));
}

TEST_CASE("New adapters reach serving replicas without a drain") {
  small_fleet fleet;
  REQUIRE(fleet.AllServe());
  fleet.entry.adapters = {"lora-1"};
  fleet.simulation.SetCatalogue({fleet.entry});
  int least = small_fleet::kReplicas;
  fleet.simulation.RunUntil(
      [&] {
        least = std::min(least, fleet.simulation.ServingReplicas("llm"));
        return false;
      },
      std::chrono::minutes(1));
  CHECK(least == small_fleet::kReplicas);
  for (const allocation& current : fleet.simulation.Stored()) {
    for (const allocated_replica& replica : current.replicas)
      CHECK(replica.adapters == fleet.entry.adapters);
  }
}

}  // namespace flamingoshunt::replica::harness
