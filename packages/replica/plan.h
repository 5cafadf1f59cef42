// Defines planning for one fabric domain as a pure function: from what was seen
// and what placement asks for to the next allocation, which one conditional
// update then makes true or not.
#ifndef FLAMINGOSHUNT_REPLICA_PLAN_H_
#define FLAMINGOSHUNT_REPLICA_PLAN_H_

#include <optional>
#include <set>

#include "replica/recovery_policy.h"

namespace flamingoshunt::replica {

/// @param adapters_settled no change of adapters is under way in the domain.
/// @return the next allocation; nothing when the current one is to stay.
std::optional<allocation> PlanDomain(const domain_status& status,
                                     const domain_task& task,
                                     const catalogue::snapshot& catalogue,
                                     const recovery_policy& policy,
                                     bool adapters_settled);

}  // namespace flamingoshunt::replica

#endif  // FLAMINGOSHUNT_REPLICA_PLAN_H_
