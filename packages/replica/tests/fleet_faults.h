// Defines the faults that tests of the replica subsystem inject into a small
// fleet. Target and duration are drawn from the context's random engine; each
// fault ends by itself.
#ifndef FLAMINGOSHUNT_REPLICA_TESTS_FLEET_FAULTS_H_
#define FLAMINGOSHUNT_REPLICA_TESTS_FLEET_FAULTS_H_

#include <iterator>
#include <string>

#include "replica/tests/fleet_builder.h"

namespace flamingoshunt::replica::harness {

struct fault_context {
  small_fleet& fleet;
  base::random_engine& random;

  base::instance_id RandomInstance() const {
    auto at = fleet.simulation.instances().begin();
    std::advance(
        at, base::RandomIndex(random, fleet.simulation.instances().size()));
    return at->first;
  }
  std::string RandomNode() const {
    auto at = fleet.simulation.nodes().begin();
    std::advance(at,
                 base::RandomIndex(random, fleet.simulation.nodes().size()));
    return at->first.str();
  }
  duration RandomDuration(int max_seconds) const {
    return milliseconds(
        1 + base::RandomIndex(random,
                              static_cast<std::size_t>(max_seconds) * 1000));
  }
};

inline void KillMember(const fault_context& context) {
  const auto id = context.RandomInstance();
  context.fleet.simulation.Kill(id);
  context.fleet.simulation.After(context.RandomDuration(60),
                                 [simulation = &context.fleet.simulation, id] {
                                   simulation->Restart(id);
                                 });
}

inline void PauseMember(const fault_context& context) {
  context.fleet.simulation.Pause(context.RandomInstance(),
                                 context.RandomDuration(20));
}

inline void LeaveMember(const fault_context& context) {
  const auto id = context.RandomInstance();
  fleet_simulation* simulation = &context.fleet.simulation;
  if (!simulation->instance(id).alive || simulation->instance(id).leaving_since)
    return;
  simulation->Leave(id);
  simulation->After(seconds(60), [simulation, id] {
    simulation->Kill(id);
    simulation->Unlist(id);
  });
  simulation->After(seconds(90), [simulation, id] {
    simulation->Restart(id);
    simulation->List(id);
  });
}

inline void FailDomain(const fault_context& context) {
  const auto target = context.RandomInstance();
  fleet_simulation* simulation = &context.fleet.simulation;
  const bool keeps_state = base::RandomIndex(context.random, 2) == 0;
  const duration span = context.RandomDuration(40);
  for (auto& [id, instance] : simulation->instances()) {
    if (instance.info.fabric_domain !=
        simulation->instance(target).info.fabric_domain)
      continue;
    if (keeps_state) {
      simulation->Pause(id, span);
      continue;
    }
    simulation->Kill(id);
    simulation->After(span, [simulation, id = id] { simulation->Restart(id); });
  }
}

inline void CutPlatform(const fault_context& context) {
  const base::node_id id(context.RandomNode());
  fleet_simulation* simulation = &context.fleet.simulation;
  simulation->CutPlatform(id, context.RandomDuration(40));
}

inline void CutEndpoints(const fault_context& context) {
  const base::node_id id(context.RandomNode());
  fleet_simulation* simulation = &context.fleet.simulation;
  simulation->nodes().at(id).cut_from_all_instances = true;
  simulation->After(context.RandomDuration(40), [simulation, id] {
    if (simulation->nodes().contains(id))
      simulation->nodes().at(id).cut_from_all_instances = false;
  });
}

inline void CutSomeEndpoints(const fault_context& context) {
  const base::node_id id(context.RandomNode());
  fleet_simulation* simulation = &context.fleet.simulation;
  for (int i = 0; i < 8; ++i)
    simulation->nodes().at(id).unreachable_instances.insert(
        context.RandomInstance());
  simulation->After(context.RandomDuration(40), [simulation, id] {
    if (simulation->nodes().contains(id))
      simulation->nodes().at(id).unreachable_instances.clear();
  });
}

inline void StopStore(const fault_context& context) {
  fleet_simulation* simulation = &context.fleet.simulation;
  simulation->store().down = true;
  simulation->After(context.RandomDuration(30),
                    [simulation] { simulation->store().down = false; });
}

inline void LoseAnswers(const fault_context& context) {
  context.fleet.simulation.store().lose_answers += 2;
}

inline void DelayWrites(const fault_context& context) {
  context.fleet.simulation.store().delay_writes += 2;
  context.fleet.simulation.store().write_delay = context.RandomDuration(10);
}

inline void SlowStore(const fault_context& context) {
  fleet_simulation* simulation = &context.fleet.simulation;
  simulation->store().extra_latency = milliseconds(900);
  simulation->After(context.RandomDuration(30),
                    [simulation] { simulation->store().extra_latency = {}; });
}

inline void KillNode(const fault_context& context) {
  fleet_simulation* simulation = &context.fleet.simulation;
  if (simulation->nodes().size() > 1)
    simulation->KillNode(context.RandomNode());
  simulation->After(seconds(3), [simulation] {
    // Names are never reused, as events of an earlier node may still be queued.
    auto name_number = simulation->now().time_since_epoch() / milliseconds(1);
    while (simulation->nodes().contains(
        base::node_id("x" + std::to_string(name_number))))
      ++name_number;
    simulation->AddNode("x" + std::to_string(name_number));
  });
}

inline void PauseNode(const fault_context& context) {
  const std::string name = context.RandomNode();
  if (!context.fleet.simulation.node(name).paused)
    context.fleet.simulation.PauseNode(name, context.RandomDuration(20));
}

// Every node believes that it is alone, so all nodes act as leader at once.
inline void PartitionPeers(const fault_context& context) {
  for (const auto& [id, node] : context.fleet.simulation.nodes())
    context.fleet.simulation.Inject(id, membership::peers_changed{});
}

inline void DrainMember(const fault_context& context) {
  const auto id = context.RandomInstance();
  fleet_simulation* simulation = &context.fleet.simulation;
  simulation->Drain(id, true);
  simulation->After(context.RandomDuration(60),
                    [simulation, id] { simulation->Drain(id, false); });
}

inline void RollOut(const fault_context& context) {
  context.fleet.entry.version += "+";
  context.fleet.simulation.SetCatalogue({context.fleet.entry});
}

}  // namespace flamingoshunt::replica::harness

#endif  // FLAMINGOSHUNT_REPLICA_TESTS_FLEET_FAULTS_H_
