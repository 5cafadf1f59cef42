// Defines which orders carry out an allocation, and how late orders are kept
// harmless. Orders carry the allocation's version as fencing number. For
// engines that ignore it, an order is sent only right after the allocation was
// read again and expires after a short time, and a released instance is not
// reused before that time has passed.
#ifndef FLAMINGOSHUNT_REPLICA_FENCING_H_
#define FLAMINGOSHUNT_REPLICA_FENCING_H_

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "endpoint/messages.h"
#include "replica/inventory.h"
#include "replica/weight_budget.h"

namespace flamingoshunt::replica {

/// Tracks the orders that this node sent and decides which are due.
class order_tracker {
 public:
  explicit order_tracker(const settings& config) : settings_(config) {}

  /// An order that is due, and whether the allocation must be read before
  /// sending.
  struct due_order {
    endpoint::order order;
    bool needs_read = true;
  };

  /// @return the orders that the domain needs now and that were not sent within
  ///         the retry time.
  std::vector<due_order> DueOrders(
      const domain_status& domain,
      const std::vector<base::instance_id>& unallocated,
      const weight_budget& budget,
      const instance_table& instances,
      const catalogue::snapshot& catalogue,
      base::time_point now) const;

  /// Assigns an id to @p sent and records it.
  void RecordSent(endpoint::order& sent, base::time_point now);
  void OnOrderResult(const endpoint::order_result& result);

  /// Removes instances that the table no longer contains.
  void Prune(const instance_table& instances);

  /// @return whether no change of adapters is in progress in @p domain.
  bool AdaptersSettled(const domain_status& domain,
                       const catalogue::snapshot& catalogue) const;

 private:
  struct last_order {
    endpoint::order order;
    base::time_point sent_at{};
    bool accepted = false;
  };

  bool SentRecently(const endpoint::order& order, base::time_point now) const;
  bool HasAdapters(const base::instance_id& id,
                   const allocated_replica& replica) const;

  settings settings_;
  std::uint64_t next_id_ = 1;
  std::unordered_map<base::instance_id, last_order> last_orders_;
  /// Adapters that each instance accepted, with the epoch of the order.
  std::unordered_map<base::instance_id,
                     std::pair<base::epoch, std::vector<std::string>>>
      adapters_by_instance_;
};

}  // namespace flamingoshunt::replica

#endif  // FLAMINGOSHUNT_REPLICA_FENCING_H_
