// Defines a fleet simulation in virtual time for tests and benchmarks of the
// replica subsystem: a store with outages, lost answers and delayed writes,
// endpoint instances that check or ignore fencing numbers, the state machines
// of several nodes, and an invariant checker that runs after every event.
#ifndef FLAMINGOSHUNT_REPLICA_TESTS_FLEET_HARNESS_H_
#define FLAMINGOSHUNT_REPLICA_TESTS_FLEET_HARNESS_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "replica/machine.h"

namespace flamingoshunt::replica::harness {

using base::duration;
using base::time_point;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// One-way delay of any message.
inline constexpr duration kHop = milliseconds(1);

/// Maximum interval between checks of invariants that time alone can violate.
inline constexpr duration kTimeCheckPeriod = milliseconds(50);

/// Switches for faults of the store.
struct store_faults {
  bool down = false;  ///< Every call fails as unavailable.
  /// Number of next writes that apply but lose their answer.
  int lose_answers = 0;
  /// Number of next writes that apply only after write_delay.
  int delay_writes = 0;
  duration write_delay = seconds(5);
  duration extra_latency{};
};

/// An endpoint instance: engine state and active faults.
struct fake_instance {
  endpoint::instance info;
  bool checks_fencing = true;
  bool alive = true;
  bool paused = false;
  endpoint::report report;
  base::revision highest_fencing;
  std::string weights;  ///< Weights that it holds: entry, version, rank and
                        ///< number of members.
  std::string loading;  ///< Weights that it is loading.
  /// Increases when a load or regrouping starts or is cancelled.
  std::uint64_t task_generation = 0;
  /// Orders received while paused.
  std::vector<std::function<void()>> deferred;
  /// Until when it actually was a ready member of each replica and epoch.
  std::map<std::pair<base::replica_id, base::epoch>, time_point> ready_until;
  std::optional<time_point> leaving_since;
};

struct fake_node {
  std::unique_ptr<machine> state_machine;
  bool alive = true;
  bool paused = false;
  bool just_resumed = false;
  bool cut_from_platform = false;
  /// Instances that it cannot reach.
  std::set<base::instance_id> unreachable_instances;
  bool cut_from_all_instances = false;  ///< It can reach no instance.
  std::map<base::replica_id, serving_replica> serving;
  std::map<base::fabric_domain_id, base::revision> versions;
  /// Inputs received while paused.
  std::vector<std::function<void()>> deferred;
  std::optional<time_point> timer;
  std::uint64_t calls = 0;
};

/// Thrown when an invariant is violated, with the time and the violation.
struct invariant_violation : std::logic_error {
  using std::logic_error::logic_error;
};

class fleet_simulation {
 public:
  struct options {
    settings replica_settings;
    std::shared_ptr<const recovery_policy> policy =
        std::make_shared<repair_policy>();
    std::uint64_t seed = 1;
    duration load_time = seconds(30);
    duration regroup_time = seconds(2);
    bool check = true;  ///< Run the invariant checker.
    /// Engines reload weights for each epoch, as when whole groups are
    /// restarted.
    bool restart_on_join = false;
  };

  explicit fleet_simulation(options configured)
      : options_(std::move(configured)) {}

  // Construction.
  void AddInstances(const std::string& domain,
                    const std::string& failure_domain,
                    int count,
                    bool checks_fencing);
  void SetCatalogue(std::vector<catalogue::entry> entries);
  base::node_id AddNode(const std::string& name);

  // Execution.
  time_point now() const { return now_; }
  void After(duration delay, std::function<void()> action);
  void Run(duration span);
  /// Runs until @p done or @p limit has passed. @return whether it is done.
  bool RunUntil(const std::function<bool()>& done, duration limit);

  // Faults and operator actions.
  store_faults& store() { return store_faults_; }
  fake_node& node(const std::string& name) {
    return nodes_.at(base::node_id(name));
  }
  fake_instance& instance(const base::instance_id& id) {
    return instances_.at(id);
  }
  std::map<base::instance_id, fake_instance>& instances() { return instances_; }
  std::map<base::node_id, fake_node>& nodes() { return nodes_; }
  void Kill(const base::instance_id& id);     ///< Loses all state.
  void Restart(const base::instance_id& id);  ///< Comes back without weights.
  void Pause(const base::instance_id& id, duration span);
  void Leave(const base::instance_id& id);
  void Drain(const base::instance_id& id, bool drained);
  void SetWork(const base::instance_id& id, int running);
  void KillNode(const std::string& name);
  void PauseNode(const std::string& name, duration span);
  /// Partitions a node from the platform; after @p span it receives all lists.
  void CutPlatform(const base::node_id& id, duration span);
  void ResendLists(const base::node_id& id);  ///< Sends all lists to a node.
  void UpdatePeers();  ///< Sends the current peers to all nodes.
  template <class Input>
  void Inject(const base::node_id& id, const Input& input) {
    Deliver(id, input);
  }
  void Unlist(const base::instance_id& id);
  void List(const base::instance_id& id);

  // Inspection.
  allocation Stored(const std::string& domain) const;
  const std::vector<allocation>& Stored() const;
  /// @return replicas of @p entry that at least one live node considers
  ///         serving.
  int ServingReplicas(const std::string& entry) const;
  /// @return replicas of @p entry whose members are all actually ready.
  int CompleteReplicas(const std::string& entry) const;
  /// @return replicas of @p entry in the stored allocations.
  int AllocatedReplicas(const std::string& entry) const;
  bool IsComplete(const allocated_replica& replica) const;
  /// @return live instances that are members of an incomplete replica.
  int StrandedInstances() const;
  int loads() const { return active_loads_; }
  int completed_loads() const { return completed_loads_; }
  int peak_loads() const { return peak_loads_; }

 private:
  struct event {
    time_point at;
    std::uint64_t sequence;
    std::function<void()> action;
    bool operator<(const event& other) const {
      return std::pair(other.at, other.sequence) < std::pair(at, sequence);
    }
  };

  template <class Input>
  void Deliver(const base::node_id& id, const Input& input);
  void Perform(const base::node_id& id, effects out);
  void SetTimer(const base::node_id& id);
  void Call(const base::node_id& id, const store::call& call);
  store::reply Apply(const store::call& call);
  void NotifyWatchers(const store::object& object);
  bool CanReach(const fake_node& node, const fake_instance& instance) const;
  void QueryReports(const base::node_id& id,
                    std::vector<endpoint::instance> targets);
  void SendOrder(const base::node_id& id, const endpoint::order& order);
  endpoint::order_outcome HandleOrder(fake_instance& target,
                                      const endpoint::order& order,
                                      time_point sent);
  void Join(fake_instance& target, const endpoint::order& order);
  void StopLoad(fake_instance& target);
  void RecordMembership(fake_instance& target);
  void ListChanged(const base::instance_id& id, bool gone);
  void Check();
  void CheckNode(const fake_node& node) const;

  options options_;
  time_point now_{seconds(1000)};
  std::uint64_t sequence_ = 0;
  std::priority_queue<event> events_;
  store_faults store_faults_;
  std::map<std::string, store::object> objects_;
  std::uint64_t revision_ = 0;
  std::uint64_t checked_revision_ = 0;
  time_point checked_at_{};
  mutable std::uint64_t stored_revision_ = 0;
  mutable std::vector<allocation> stored_;
  catalogue::snapshot_ptr catalogue_ = std::make_shared<catalogue::snapshot>();
  std::map<base::instance_id, fake_instance> instances_;
  std::set<base::instance_id> listed_;
  std::set<base::instance_id> drained_;
  std::map<base::node_id, fake_node> nodes_;
  std::map<base::node_id, std::uint64_t> item_versions_;
  int active_loads_ = 0;
  int completed_loads_ = 0;
  int peak_loads_ = 0;
};

}  // namespace flamingoshunt::replica::harness

#include "replica/tests/fleet_harness_inl.h"

#endif  // FLAMINGOSHUNT_REPLICA_TESTS_FLEET_HARNESS_H_
