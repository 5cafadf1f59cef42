// Defines the part of planning that looks at all fabric domains together: where
// missing replicas of each entry are formed, which surplus or outdated ones
// stop, and which operator drains may go on. Every node computes the same from
// the same survey; each carries out only the tasks of the domains it acts for.
#ifndef FLAMINGOSHUNT_REPLICA_PLACEMENT_H_
#define FLAMINGOSHUNT_REPLICA_PLACEMENT_H_

#include <map>
#include <set>
#include <vector>

#include "replica/inventory.h"

namespace flamingoshunt::replica {

/// What planning is to do in one domain.
struct domain_task {
  std::map<base::entry_name, int> replicas_to_form;  ///< New replicas by entry.
  std::set<base::replica_id> drain;     ///< Take no new work from now on.
  std::set<base::replica_id> release;   ///< Free; nothing runs there.
  std::set<base::replica_id> recreate;  ///< Empty: form again in place.
};

struct placement {
  std::map<base::fabric_domain_id, domain_task> tasks;
  /// Entries whose rollout or drain would take down their last replica.
  std::set<base::entry_name> blocked;
};

/// How incomplete replicas count when replicas of an entry are numbered.
enum class incomplete_counting {
  kIfRepairable,  ///< Only when spares of its domain can complete it.
  kAlways         ///< It will be rebuilt where it stands.
};

placement PlanPlacement(const fleet_inventory& inventory,
                        const catalogue::snapshot& catalogue,
                        const settings& config,
                        incomplete_counting counting);

}  // namespace flamingoshunt::replica

#endif  // FLAMINGOSHUNT_REPLICA_PLACEMENT_H_
