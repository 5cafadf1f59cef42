// What an evacuation of failure domains changes for groups. Replicas there join
// no new group, and groups that receive their requests there count for nothing,
// so that others form from the replicas elsewhere. They stay open while a short
// evacuation lasts, so that they serve at once when it is taken back; after
// that they are drained, once others serve their model.
//
// Load pattern: each of three failure domains is evacuated in turn for some ten
// seconds under full load.
#include <algorithm>
#include <utility>

#include "groups/planner.h"
#include "groups/planner_bounds.h"

namespace flamingoshunt::groups {

void planner::SetEvacuated(std::set<base::failure_domain_id> domains) {
  evacuated_ = std::move(domains);
}

bool planner::IsEvacuated(const replica_state& replica) const {
  return evacuated_.contains(replica.record.failure_domain);
}

// @return whether the replica may join a new group. Groups that exist are
//         adopted and opened in any case: what runs there is completed.
bool planner::MayJoin(const replica_state& replica) const {
  return IsUsable(replica) && !IsEvacuated(replica);
}

// @return whether the group gets no requests, since its head is evacuated.
bool planner::IsEvacuated(const group& group) const {
  const replica_state* head = Find(group.head());
  return head && IsEvacuated(*head);
}

bool planner::IsServedElsewhere(const std::string& model) const {
  return std::any_of(groups_.begin(), groups_.end(), [&](const auto& entry) {
    const group& other = entry.second;
    return other.model == model && other.phase == group_phase::kServing &&
           !IsEvacuated(other) && !IsHeadDraining(other);
  });
}

// Closes one group of each model at most, for the orders that it takes.
void planner::CloseEvacuated(base::time_point now) {
  std::erase_if(evacuated_since_, [&](const auto& entry) {
    const auto found = groups_.find(entry.first);
    return found == groups_.end() || !IsEvacuated(found->second);
  });
  std::set<std::string> closing_models;
  for (auto& [name, group] : groups_) {
    if (!IsEvacuated(group) || group.provisional)
      continue;
    if (group.phase == group_phase::kClosing)
      closing_models.insert(group.model);
    const auto since = evacuated_since_.try_emplace(name, now).first->second;
    if (group.phase == group_phase::kServing &&
        now - since >= kEvacuatedGroupKept && IsServedElsewhere(group.model) &&
        closing_models.insert(group.model).second)
      Close(group, fleet::close_mode::kDrain, "evacuated", now);
  }
}

}  // namespace flamingoshunt::groups
