// Defines the picture that planning works on: for each fabric domain its idle
// instances and the condition of its replicas, drawn from allocations, reports
// and losses at one moment.
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
  std::vector<std::size_t> leaving;  ///< Ranks of members on their way out.
  std::vector<std::size_t>
      drain_requested;  ///< Ranks that operators want emptied.
  bool ready = false;   ///< Every member reports it as ready.
  bool has_unreported_member =
      false;  ///< This node lacks word of a member, not lost for it.
  bool drain_complete =
      false;  ///< Takes no new work, and what ran is finished.
  bool incoming_ready = false;  ///< All incoming members hold their weights.
  std::vector<base::instance_id> unloaded;  ///< Members without weights yet.
  bool incoming_lost = false;  ///< An incoming member is lost or leaving.

  bool IsComplete() const { return lost.empty(); }
  /// Members that are gone or on their way out.
  std::size_t DepartingCount() const { return lost.size() + leaving.size(); }
  /// @return the ranks that can be filled anew without cutting off work.
  std::vector<std::size_t> VacantRanks() const;
  bool IsUnloaded(const base::instance_id& id) const;
  /// Members are being replaced while it serves or drains.
  bool IsReplacing() const { return !replica->incoming.empty(); }
};

struct domain_status {
  base::fabric_domain_id domain;
  base::failure_domain_id failure_domain;
  const allocation* current = nullptr;    ///< Null while there is no object.
  std::vector<base::instance_id> idle;    ///< Sorted; fit for any replica.
  std::vector<base::instance_id> cooled;  ///< Need not be listed as cooling.
  std::vector<replica_status> replicas;
};

/// @return whether @p state must load weights to be a member of @p replica.
/// @param since from LoadRequiredSince, or the epoch of incoming members.
bool NeedsLoad(const instance_state& state,
               const allocated_replica& replica,
               std::optional<base::epoch> since);

using fleet_inventory = std::map<base::fabric_domain_id, domain_status>;
using allocations = std::map<base::fabric_domain_id, allocation>;

/// Since when each replica takes no new work, kept from survey to survey.
using drain_start_times =
    std::unordered_map<base::replica_id, base::time_point>;

/// Draws the picture at @p now.
/// @param closing updated with replicas that began or ceased to close.
fleet_inventory BuildInventory(const allocations& stored_allocations,
                               const instance_table& instances,
                               const loss_detector& losses,
                               const settings& config,
                               drain_start_times& drain_starts,
                               base::time_point now);

}  // namespace flamingoshunt::replica

#endif  // FLAMINGOSHUNT_REPLICA_INVENTORY_H_
