// Decides which targets get no requests since their failure domain is
// evacuated. Where a model is served nowhere else, its last targets stay for a
// part of the time that the operator allows, in which the planner forms a group
// of it elsewhere.
//
// Load pattern: a failure domain with the only group of a model is evacuated
// under full load.
#ifndef FLAMINGOSHUNT_FLEET_EVACUATED_TARGETS_H_
#define FLAMINGOSHUNT_FLEET_EVACUATED_TARGETS_H_

#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "gateway/fleet_view.h"

namespace flamingoshunt::fleet {

/// When this node learned of each evacuated failure domain; the earliest time
/// point where the evacuation may be older.
using evacuation_times = std::map<base::failure_domain_id, base::time_point>;

/// Part of the time until no request may be sent that the last targets of a
/// model stay. The rest is left for nodes that learn of it late, as from a
/// store that is slow or has lost its history.
inline constexpr double kHandoverPart = 0.3;

/// Marks the @p targets of one service that get no requests.
/// @param evacuate time allowed until no request may be sent.
/// @return when the first of the last targets of a model has to be marked, if
///         any stay.
std::optional<base::time_point> MarkEvacuated(
    std::vector<gateway::target>& targets,
    const evacuation_times& evacuated,
    base::duration evacuate,
    base::time_point now);

}  // namespace flamingoshunt::fleet

#endif  // FLAMINGOSHUNT_FLEET_EVACUATED_TARGETS_H_
