// Defines the inventory that planning works on: for each fabric domain its idle
// instances and the condition of its replicas, computed from allocations,
// reports and losses at one point in time.
#ifndef FLAMINGOSHUNT_REPLICA_INVENTORY_H_
#define FLAMINGOSHUNT_REPLICA_INVENTORY_H_

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "catalogue/entry.h"
#include "replica/allocation.h"
#include "replica/instance_table.h"
#include "replica/loss.h"
#include "replica/settings.h"

namespace flamingoshunt::replica {

struct replica_status {
  const allocated_replica* replica = nullptr;
  base::failure_domain_id failure_domain;
  std::vector<std::size_t> lost;     ///< Ranks of lost or failed members.
  std::vector<std::size_t> leaving;  ///< Ranks of leaving members.
  /// Ranks of members that operators drain.
  std::vector<std::size_t> drain_requested;
  bool ready = false;  ///< Every member reports that it is ready.
  /// A member is not lost, but has no recent report.
  bool has_unreported_member = false;
  /// Accepts no new work, and work in flight has finished.
  bool drain_complete = false;
  /// All incoming members have loaded their weights.
  bool incoming_ready = false;
  /// Members that have not loaded their weights.
  std::vector<base::instance_id> unloaded;
  bool incoming_lost = false;  ///< An incoming member is lost or leaving.

  bool IsComplete() const { return lost.empty(); }
  /// Number of members that are lost or leaving.
  std::size_t DepartingCount() const { return lost.size() + leaving.size(); }
  /// @return the ranks that can be refilled without interrupting work.
  std::vector<std::size_t> VacantRanks() const;
  bool IsUnloaded(const base::instance_id& id) const;
  /// Members are being replaced while it serves or drains.
  bool IsReplacing() const { return !replica->incoming.empty(); }
};

struct domain_status {
  base::fabric_domain_id domain;
  base::failure_domain_id failure_domain;
  const allocation* current = nullptr;  ///< Null if the object does not exist.
  std::vector<base::instance_id> idle;  ///< Sorted; usable for any replica.
  /// Cooling is over; may be removed from the list.
  std::vector<base::instance_id> cooled;
  std::vector<replica_status> replicas;
};

/// @return whether @p state must load weights to be a member of @p replica.
/// @param since from LoadRequiredSince, or the epoch of incoming members.
bool NeedsLoad(const instance_state& state,
               const allocated_replica& replica,
               std::optional<base::epoch> since);

using fleet_inventory = std::map<base::fabric_domain_id, domain_status>;
using allocations = std::map<base::fabric_domain_id, allocation>;

/// When each replica stopped accepting new work; kept between inventories.
using drain_start_times =
    std::unordered_map<base::replica_id, base::time_point>;

/// Builds the inventory at @p now.
/// @param drain_starts updated with replicas that started or stopped draining.
fleet_inventory BuildInventory(const allocations& stored_allocations,
                               const instance_table& instances,
                               const loss_detector& losses,
                               const settings& config,
                               drain_start_times& drain_starts,
                               base::time_point now);

}  // namespace flamingoshunt::replica

#endif  // FLAMINGOSHUNT_REPLICA_INVENTORY_H_
