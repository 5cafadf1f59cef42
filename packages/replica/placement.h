// Defines planning across all fabric domains: where missing replicas of each
// entry are formed, which surplus or outdated replicas are drained, and which
// operator drains may proceed. Every node computes the same result from the
// same inventory and carries out only the tasks of the domains that it leads.
#ifndef FLAMINGOSHUNT_REPLICA_PLACEMENT_H_
#define FLAMINGOSHUNT_REPLICA_PLACEMENT_H_

#include <map>
#include <set>
#include <vector>

#include "replica/inventory.h"

namespace flamingoshunt::replica {

/// Planned work in one domain.
struct domain_task {
  /// Number of new replicas by entry.
  std::map<base::entry_name, int> replicas_to_form;
  std::set<base::replica_id> drain;     ///< Stop accepting new work.
  std::set<base::replica_id> release;   ///< Free; no work is in flight.
  std::set<base::replica_id> recreate;  ///< Drained: recreate in place.
};

struct placement {
  std::map<base::fabric_domain_id, domain_task> tasks;
  /// Entries whose rollout or drain would leave too few replicas in service.
  std::set<base::entry_name> blocked;
};

/// Whether incomplete replicas count towards an entry's number of replicas.
enum class incomplete_counting {
  kIfRepairable,  ///< Only if spares of the domain can complete it.
  kAlways         ///< Always, as it will be rebuilt in place.
};

placement PlanPlacement(const fleet_inventory& inventory,
                        const catalogue::snapshot& catalogue,
                        const settings& config,
                        incomplete_counting counting);

}  // namespace flamingoshunt::replica

#endif  // FLAMINGOSHUNT_REPLICA_PLACEMENT_H_
