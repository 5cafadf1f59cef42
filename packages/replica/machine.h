// Defines the replica subsystem's state machine, which runs on every entry
// node. It maintains the readiness gate from the reports of all instances, and
// manages the fabric domains that rendezvous hashing assigns to it. It reads no
// clock, opens no socket and persists nothing: a new node rebuilds all state
// from the platform's objects and the instances' reports.
#ifndef FLAMINGOSHUNT_REPLICA_MACHINE_H_
#define FLAMINGOSHUNT_REPLICA_MACHINE_H_

#include <memory>
#include <optional>

#include "base/random.h"
#include "replica/allocation_controller.h"
#include "replica/readiness.h"

namespace flamingoshunt::replica {

/// Counters of one node since its start.
struct machine_counters {
  std::uint64_t writes = 0;  ///< Writes of allocations and the weight budget.
  std::uint64_t reads = 0;   ///< Reads of allocations and the weight budget.
  std::uint64_t orders = 0;  ///< Orders sent to instances.
  /// Orders refused for a stale fencing number.
  std::uint64_t stale_orders = 0;
  std::uint64_t report_queries = 0;  ///< Queries for instance reports.
  /// Replica failures reported by the request path.
  std::uint64_t reported_failures = 0;
  /// Serving changes sent to the request path.
  std::uint64_t serving_changes = 0;
};

class machine {
 public:
  machine(const settings& config,
          base::node_id self,
          std::shared_ptr<const recovery_policy> policy,
          base::random_engine random);

  effects Handle(const catalogue_changed& input, base::time_point now);
  effects Handle(const instances_listed& input, base::time_point now);
  effects Handle(const instance_changed& input, base::time_point now);
  effects Handle(const allocations_listed& input, base::time_point now);
  effects Handle(const allocation_changed& input, base::time_point now);
  effects Handle(const drains_listed& input, base::time_point now);
  effects Handle(const drain_changed& input, base::time_point now);
  effects Handle(const endpoint::report& input, base::time_point now);
  effects Handle(const endpoint::order_result& input, base::time_point now);
  effects Handle(const store::reply& input, base::time_point now);
  effects Handle(const membership::peers_changed& input, base::time_point now);
  effects Handle(const membership::item_received& input, base::time_point now);
  effects Handle(const replica_failed& input, base::time_point now);
  effects Handle(const tick& input, base::time_point now);

  /// @return when the next tick is due.
  std::optional<base::time_point> NextTimer() const;

  const machine_counters& counters() const { return counters_; }
  const object_store& store() const { return store_; }
  const std::set<base::entry_name>& blocked() const {
    return controller_.blocked();
  }

 private:
  void ApplyAllocationChange(const object_store::change& change,
                             base::time_point now);
  void SchedulePlan(base::time_point now);
  void Plan(base::time_point now, effects& out);
  void QueryReports(base::time_point now, effects& out);
  allocation_controller::node_state NodeState();
  effects CountEffects(effects out);

  settings settings_;
  readiness_gate readiness_;
  instance_table instances_;
  loss_detector losses_;
  object_store store_;
  allocation_controller controller_;
  catalogue::snapshot_ptr catalogue_;
  machine_counters counters_;
  base::time_point next_query_{};
  std::size_t query_slice_ = 0;
  base::time_point last_plan_{};
  std::optional<base::time_point> next_plan_;
  base::time_point last_reconcile_{};
  /// Planning inputs changed since last_reconcile_.
  bool has_unplanned_changes_ = true;
};

}  // namespace flamingoshunt::replica

#endif  // FLAMINGOSHUNT_REPLICA_MACHINE_H_
