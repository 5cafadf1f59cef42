// Defines planning for one fabric domain as a pure function of its inventory
// and its placement task. The result is committed by one conditional update.
#ifndef FLAMINGOSHUNT_REPLICA_PLAN_H_
#define FLAMINGOSHUNT_REPLICA_PLAN_H_

#include <optional>
#include <set>

#include "replica/recovery_policy.h"

namespace flamingoshunt::replica {

/// @param adapters_settled no change of adapters is in progress in the domain.
/// @return the next allocation; nothing if the current one stays.
std::optional<allocation> PlanDomain(const domain_status& status,
                                     const domain_task& task,
                                     const catalogue::snapshot& catalogue,
                                     const recovery_policy& policy,
                                     bool adapters_settled);

}  // namespace flamingoshunt::replica

#endif  // FLAMINGOSHUNT_REPLICA_PLAN_H_
