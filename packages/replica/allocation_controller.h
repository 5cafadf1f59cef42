// Defines the part of the machine that changes things: it plans, writes
// allocations and the weight budget, and sends orders, for the domains whose
// turn it is. Which node acts is a matter of economy only; two that act at once
// are kept apart by the conditional update.
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

  /// What the node knows; the store is where the actor writes.
  struct node_state {
    const instance_table& instances;
    const catalogue::snapshot& catalogue;
    loss_detector& losses;
    object_store& store;
  };

  /// Plans and acts at @p now.
  void Reconcile(const node_state& node, base::time_point now, effects& out);

  /// The allocation @p domain was read just now: sends what waited for it.
  void OnAllocationRead(const node_state& node,
                        const base::fabric_domain_id& domain,
                        base::time_point now,
                        effects& out);

  void OnOrderResult(const endpoint::order_result& result) {
    order_tracker_.OnOrderResult(result);
  }

  /// @return entries whose planned work is held back for their service's sake.
  const std::set<base::entry_name>& blocked() const { return blocked_; }
  /// @return whether nothing is under way that time alone moves on.
  bool idle() const { return idle_; }
  /// @return when a stand-in's turn comes, while there is work for it.
  std::optional<base::time_point> next_takeover() const {
    return next_takeover_;
  }

 private:
  // Since when work on an object waits, at one version of it.
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
