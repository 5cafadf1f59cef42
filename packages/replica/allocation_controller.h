// Defines the reconciliation loop of the state machine: it plans and writes
// allocations and the weight budget, and sends orders, for the domains that
// this node leads. Leadership only avoids duplicate work; two nodes that act at
// once are kept consistent by the conditional update.
#ifndef FLAMINGOSHUNT_REPLICA_ALLOCATION_CONTROLLER_H_
#define FLAMINGOSHUNT_REPLICA_ALLOCATION_CONTROLLER_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "replica/fencing.h"
#include "replica/messages.h"
#include "replica/object_store.h"
#include "replica/plan.h"

namespace flamingoshunt::replica {

class allocation_controller {
 public:
  allocation_controller(const settings& config,
                        std::shared_ptr<const recovery_policy> policy);

  /// State of the node that the controller reads; it starts writes in the
  /// store.
  struct node_state {
    const instance_table& instances;
    const catalogue::snapshot& catalogue;
    loss_detector& losses;
    object_store& store;
  };

  /// Plans the next allocations and budget at @p now; starts the writes and
  /// sends the orders that are due.
  void Reconcile(const node_state& node, base::time_point now, effects& out);

  /// The allocation of @p domain was just read: sends the orders that waited
  /// for the read.
  void OnAllocationRead(const node_state& node,
                        const base::fabric_domain_id& domain,
                        base::time_point now,
                        effects& out);

  void OnOrderResult(const endpoint::order_result& result) {
    order_tracker_.OnOrderResult(result);
  }

  /// @return entries whose planned work would take too many replicas out of
  ///         service and therefore waits.
  const std::set<base::entry_name>& blocked() const { return blocked_; }
  /// @return whether no work is in progress that depends only on time.
  bool idle() const { return idle_; }
  /// @return when this node takes over as a stand-in, if work is still pending.
  std::optional<base::time_point> next_takeover() const {
    return next_takeover_;
  }

 private:
  // The time since which work on an object is pending at one version of it.
  struct pending_work {
    base::revision version;
    base::time_point since{};
  };

  bool IsLeader(const node_state& node,
                const std::string& name,
                base::revision version,
                std::map<std::string, pending_work>& pending,
                base::time_point now);
  void PlanAllocations(const node_state& node,
                       const fleet_inventory& inventory,
                       base::time_point now,
                       effects& out);
  void PlanBudget(const node_state& node,
                  const fleet_inventory& inventory,
                  base::time_point now,
                  effects& out);
  void SendDueOrders(const node_state& node,
                     const fleet_inventory& inventory,
                     base::time_point now,
                     effects& out);
  void SendOrders(std::vector<order_tracker::due_order> due,
                  bool is_freshly_read,
                  base::time_point now,
                  effects& out);

  settings settings_;
  std::shared_ptr<const recovery_policy> policy_;
  order_tracker order_tracker_;
  drain_start_times drain_starts_;
  std::map<std::string, pending_work> pending_writes_;
  std::map<std::string, pending_work> pending_orders_;
  std::set<base::entry_name> blocked_;
  std::optional<base::time_point> next_takeover_;
  bool idle_ = false;
};

}  // namespace flamingoshunt::replica

#endif  // FLAMINGOSHUNT_REPLICA_ALLOCATION_CONTROLLER_H_
