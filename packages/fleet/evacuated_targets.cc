#include "fleet/evacuated_targets.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <string>

namespace flamingoshunt::fleet {

std::optional<base::time_point> MarkEvacuated(
    std::vector<gateway::target>& targets,
    const evacuation_times& evacuated,
    base::duration evacuate,
    base::time_point now) {
  std::set<std::string> served_elsewhere;
  for (const gateway::target& target : targets) {
    if (!evacuated.contains(target.failure_domain))
      served_elsewhere.insert(target.model);
  }
  const auto handover =
      std::chrono::duration_cast<base::duration>(evacuate * kHandoverPart);
  std::optional<base::time_point> next;
  for (gateway::target& target : targets) {
    const auto known = evacuated.find(target.failure_domain);
    if (known == evacuated.end())
      continue;
    const base::time_point end = known->second + handover;
    target.evacuated = served_elsewhere.contains(target.model) || now >= end;
    if (!target.evacuated)
      next = std::min(next.value_or(end), end);
  }
  return next;
}

}  // namespace flamingoshunt::fleet
