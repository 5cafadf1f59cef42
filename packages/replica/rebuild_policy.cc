#include "replica/recovery_policy.h"

namespace flamingoshunt::replica {

void rebuild_policy::Recover(draft& plan) const {
  for (const replica_status& status : plan.status().replicas) {
    const bool has_lost_member = !status.IsComplete();
    const bool can_replace_departing =
        status.drain_complete &&
        (!status.leaving.empty() || !status.drain_requested.empty());
    allocated_replica* replica = plan.FindReplica(status);
    if ((!has_lost_member && !can_replace_departing) || !replica)
      continue;
    std::vector<std::size_t> ranks;
    for (std::size_t rank = 0; rank < replica->members.size(); ++rank) {
      if (!plan.IsHealthyMember(status, rank))
        ranks.push_back(rank);
    }
    if (plan.idle().size() < ranks.size())
      continue;
    for (const std::size_t rank : ranks)
      plan.Replace(*replica, rank, *plan.TakeIdle(), true);
    plan.StartEpoch(*replica);
    draft::RequireLoads(*replica);
    replica->draining = false;
  }
}

}  // namespace flamingoshunt::replica
