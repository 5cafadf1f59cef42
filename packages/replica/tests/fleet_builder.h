// Defines the small fleet that most tests of the replica subsystem start from.
#ifndef FLAMINGOSHUNT_REPLICA_TESTS_FLEET_BUILDER_H_
#define FLAMINGOSHUNT_REPLICA_TESTS_FLEET_BUILDER_H_

#include <string>

#include "replica/tests/fleet_harness.h"

namespace flamingoshunt::replica::harness {

inline catalogue::entry Engine(const std::string& name,
                               int replicas,
                               int members,
                               bool checks_fencing = true) {
  catalogue::entry entry;
  entry.name = base::entry_name(name);
  entry.owner = "dispatch";
  entry.model = name;
  entry.version = "v1";
  entry.replicas = replicas;
  entry.members_per_replica = members;
  entry.checks_fencing = checks_fencing;
  return entry;
}

/// Three fabric domains in three failure domains, each with room for two
/// replicas of four members and @p spares more; three nodes.
struct small_fleet {
  static constexpr int kReplicas = 6;
  static constexpr int kMembers = 4;

  explicit small_fleet(bool checks_fencing = true,
                       int spares = 1,
                       fleet_simulation::options configured = {})
      : simulation(std::move(configured)) {
    for (const char* name : {"a", "b", "c"})
      simulation.AddInstances(std::string("rack-") + name,
                              std::string("zone-") + name,
                              2 * kMembers + spares, checks_fencing);
    entry = Engine("llm", kReplicas, kMembers, checks_fencing);
    simulation.SetCatalogue({entry});
    for (const char* name : {"n1", "n2", "n3"})
      simulation.AddNode(name);
  }

  bool AllServe(duration limit = std::chrono::minutes(10)) {
    return simulation.RunUntil(
        [&] {
          return simulation.ServingReplicas("llm") >= kReplicas &&
                 simulation.CompleteReplicas("llm") >= kReplicas;
        },
        limit);
  }

  const base::instance_id& Member(const std::string& domain,
                                  std::size_t replica,
                                  std::size_t rank) {
    stored = simulation.Stored(domain);
    return stored.replicas.at(replica).members.at(rank);
  }

  fleet_simulation simulation;
  catalogue::entry entry;
  allocation stored;
};

}  // namespace flamingoshunt::replica::harness

#endif  // FLAMINGOSHUNT_REPLICA_TESTS_FLEET_BUILDER_H_
