// Defines the runner of the replica path: the small fleet of the replica slice
// is driven to the step, struck, and must serve whole again in the end, while
// the fleet's own checker looks on after every event.
#include <algorithm>
#include <exception>

#include "replica/tests/fleet_faults.h"
#include "tests/fault_matrix/cells.h"

namespace flamingoshunt::fault_matrix {
namespace {

using namespace replica::harness;  // NOLINT: the runner is written in its terms
using std::chrono::minutes;

constexpr duration kToStep = minutes(10);
constexpr duration kHeldOrder = milliseconds(1900);  ///< Still valid.

struct replica_world {
  explicit replica_world(const trial& run)
      : fleet(!Has(run, fault::kOldOrdersIgnoring), 1, Options(run.seed)),
        random(run.seed) {}

  static bool Has(const trial& run, fault what) {
    return std::find(run.faults.begin(), run.faults.end(), what) !=
           run.faults.end();
  }
  static fleet_simulation::options Options(std::uint64_t seed) {
    fleet_simulation::options chosen;
    chosen.seed = seed;
    chosen.load_time = seconds(10);
    return chosen;
  }

  small_fleet fleet;
  base::random_engine random;
  fault_context on{fleet, random};
};

using step_runner = bool (*)(replica_world&);

bool ReachAllocation(replica_world& at) {
  fleet_simulation& world = at.fleet.simulation;
  return world.RunUntil([&] { return !world.Stored().empty(); }, kToStep);
}

bool ReachOrder(replica_world& at) {
  fleet_simulation& world = at.fleet.simulation;
  return world.RunUntil(
      [&] {
        return std::any_of(world.instances().begin(), world.instances().end(),
                           [](const auto& each) {
                             return each.second.highest_fencing !=
                                    base::revision();
                           });
      },
      kToStep);
}

bool ReachLoading(replica_world& at) {
  fleet_simulation& world = at.fleet.simulation;
  const bool loading =
      world.RunUntil([&] { return world.loads() > 0; }, kToStep);
  world.Run(seconds(5));
  return loading && world.loads() > 0;
}

bool ReachServing(replica_world& at) {
  return at.fleet.AllServe();
}

bool ReachDraining(replica_world& at) {
  fleet_simulation& world = at.fleet.simulation;
  if (!at.fleet.AllServe())
    return false;
  const base::instance_id id = at.fleet.Member("rack-a", 0, 0);
  world.SetWork(id, 1);
  world.Leave(id);
  world.After(seconds(60), [&world, id] {
    world.Kill(id);
    world.Unlist(id);
  });
  world.After(seconds(90), [&world, id] {
    world.Restart(id);
    world.List(id);
  });
  return world.RunUntil(
      [&] {
        for (const auto& current : world.Stored())
          for (const auto& each : current.replicas)
            if (each.draining)
              return true;
        for (const auto& [name, node] : world.nodes())
          for (const auto& [key, told] : node.serving)
            if (told.state == replica::serving_state::kDraining)
              return true;
        return false;
      },
      seconds(50));
}

bool ReachRepair(replica_world& at) {
  fleet_simulation& world = at.fleet.simulation;
  if (!at.fleet.AllServe())
    return false;
  const base::instance_id id = at.fleet.Member("rack-a", 0, 0);
  const auto before = world.Stored("rack-a").version;
  world.Kill(id);
  world.After(seconds(60), [&world, id] { world.Restart(id); });
  return world.RunUntil(
      [&] { return world.Stored("rack-a").version != before; }, seconds(55));
}

constexpr step_runner kReach[] = {ReachAllocation, ReachOrder,    ReachLoading,
                                  ReachServing,    ReachDraining, ReachRepair};

// Answers in time, then not, second by second.
void SlowMember(const fault_context& on) {
  fleet_simulation* world = &on.fleet.simulation;
  const auto id = on.RandomInstance();
  for (int i = 0; i < 20; ++i)
    world->After(seconds(i),
                 [world, id] { world->Pause(id, milliseconds(700)); });
}

void ReturnMember(const fault_context& on) {
  on.fleet.simulation.Pause(on.RandomInstance(), seconds(60));
}

void CutAnyEndpoints(const fault_context& on) {
  base::RandomIndex(on.random, 2) == 0 ? CutEndpoints(on)
                                       : CutSomeEndpoints(on);
}

void HideFromList(const fault_context& on) {
  fleet_simulation* world = &on.fleet.simulation;
  const auto id = on.RandomInstance();
  world->Unlist(id);
  world->After(seconds(30), [world, id] { world->List(id); });
}

void PauseNodeLong(const fault_context& on) {
  const std::string name = on.RandomNode();
  if (!on.fleet.simulation.node(name).paused)
    on.fleet.simulation.PauseNode(name, seconds(60));
}

void RaceOperators(const fault_context& on) {
  RollOut(on);
  on.fleet.simulation.Run(milliseconds(300));
  RollOut(on);
  DrainMember(on);
}

// A request that crashes each endpoint that runs it, sent three times.
void CrashInTurn(const fault_context& on) {
  for (int i = 0; i < 3; ++i) {
    fleet_simulation* world = &on.fleet.simulation;
    const auto id = on.RandomInstance();
    world->After(seconds(3 * i), [world, id] { world->Kill(id); });
    world->After(seconds(3 * i + 10), [world, id] { world->Restart(id); });
  }
}

// Hands every node reports that are old by the time they come.
void RepeatReports(const fault_context& on, int times, bool oldest_last) {
  fleet_simulation* world = &on.fleet.simulation;
  std::vector<endpoint::report> reports;
  for (const auto& [id, instance] : world->instances())
    reports.push_back(instance.report);
  const auto victim = on.RandomInstance();
  world->Kill(victim);
  world->After(seconds(30), [world, victim] { world->Restart(victim); });
  const duration delay = oldest_last ? milliseconds(450) : milliseconds(200);
  world->After(delay, [world, reports, times] {
    std::vector<base::node_id> names;
    // A node that was paused drops what came meanwhile, so it is told nothing.
    for (const auto& [id, node] : world->nodes()) {
      if (!node.paused)
        names.push_back(id);
    }
    for (const base::node_id& id : names)
      for (int i = 0; i < times; ++i)
        for (const endpoint::report& each : reports)
          world->Inject(id, each);
  });
}

void DelayReports(const fault_context& on) {
  RepeatReports(on, 1, false);
}
void DoubleReports(const fault_context& on) {
  RepeatReports(on, 2, false);
}
void SwapReports(const fault_context& on) {
  RepeatReports(on, 1, true);
}

// Orders wait at paused instances while a member is lost and the next
// allocation is made.
void HoldOrders(const fault_context& on) {
  fleet_simulation* world = &on.fleet.simulation;
  for (int i = 0; i < 4; ++i)
    world->Pause(on.RandomInstance(), kHeldOrder);
  const auto lost = on.RandomInstance();
  world->Kill(lost);
  world->After(seconds(20), [world, lost] { world->Restart(lost); });
  PauseNode(on);
}

void ReplaceNode(const fault_context& on) {
  on.fleet.simulation.AddNode("fresh");
  KillNode(on);
}

struct strike_of {
  fault what;
  void (*strike)(const fault_context&);
};

constexpr strike_of kStrikes[] = {
    {fault::kMemberDies, KillMember},
    {fault::kMemberPauses, PauseMember},
    {fault::kMemberSlow, SlowMember},
    {fault::kMemberReturns, ReturnMember},
    {fault::kDomainDark, FailDomain},
    {fault::kPartitionNodeNode, PartitionPeers},
    {fault::kPartitionNodePlatform, CutPlatform},
    {fault::kPartitionNodeEndpoint, CutAnyEndpoints},
    {fault::kPartitionEndpointPlatform, HideFromList},
    {fault::kPlatformDown, StopStore},
    {fault::kPlatformSlow, SlowStore},
    {fault::kAnswerLost, LoseAnswers},
    {fault::kWriteDelayed, DelayWrites},
    {fault::kLeaseLapsed, PauseNodeLong},
    {fault::kOperatorsRace, RaceOperators},
    {fault::kCrashingRequest, CrashInTurn},
    {fault::kAnswersLate, DelayReports},
    {fault::kAnswersDoubled, DoubleReports},
    {fault::kAnswersReordered, SwapReports},
    {fault::kOldOrdersChecking, HoldOrders},
    {fault::kOldOrdersIgnoring, HoldOrders},
    {fault::kNodeKilled, KillNode},
    {fault::kNodePaused, PauseNode},
    {fault::kNodeReplaced, ReplaceNode},
};

void Strike(const fault_context& on, fault what) {
  for (const strike_of& each : kStrikes) {
    if (each.what == what)
      return each.strike(on);
  }
  throw std::logic_error("the runner does not know " + NameOf(what));
}

}  // namespace

verdict RunReplica(const trial& run) {
  verdict result;
  try {
    replica_world at(run);
    result.met = kReach[run.step](at);
    for (const fault what : run.faults) {
      Strike(at.on, what);
      at.fleet.simulation.Run(at.on.RandomDuration(12));
    }
    at.fleet.simulation.Run(seconds(95));
    at.fleet.simulation.UpdatePeers();
    if (!at.fleet.AllServe(minutes(15)))
      result.wrong = "not everything serves again";
  } catch (const std::exception& broken) {
    result.wrong = broken.what();
  }
  return result;
}

}  // namespace flamingoshunt::fault_matrix
