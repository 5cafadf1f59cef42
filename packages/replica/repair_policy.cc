#include <algorithm>

#include "replica/recovery_policy.h"

namespace flamingoshunt::replica {
namespace {

using status_list = std::vector<const replica_status*>;

// Number of ranks that must be filled before the replica can serve again.
std::size_t VacantCount(const replica_status& status) {
  return status.VacantRanks().size();
}

// Cancels or completes replacements in progress.
void UpdateReplacements(draft& plan, const replica_status& status) {
  allocated_replica* replica = plan.FindReplica(status);
  if (!replica || !status.IsReplacing())
    return;
  if (status.incoming_lost) {
    plan.DropIncoming(*replica);
    return;
  }
  const bool is_draining = replica->draining || !status.leaving.empty();
  const bool can_promote =
      status.incoming_ready && is_draining && status.drain_complete;
  if (!can_promote && status.IsComplete())
    return;
  plan.PromoteIncoming(*replica, status.incoming_ready);
  replica->draining = false;
}

// Fills vacant ranks with idle instances.
void Repair(draft& plan,
            const replica_status& status,
            allocated_replica& replica) {
  for (const std::size_t rank : status.VacantRanks()) {
    if (const auto spare = plan.TakeIdle())
      plan.Replace(replica, rank, *spare, true);
  }
  plan.StartEpoch(replica);
}

// Lets successors of leaving members load while those still serve.
void PrepareReplacements(draft& plan, const replica_status& status) {
  allocated_replica* replica = plan.FindReplica(status);
  if (!replica || status.IsReplacing() || !status.IsComplete())
    return;
  if (replica->draining && status.drain_requested.empty())
    return;
  std::vector<std::size_t> ranks = status.leaving;
  ranks.insert(ranks.end(), status.drain_requested.begin(),
               status.drain_requested.end());
  if (ranks.empty() || plan.idle().size() < ranks.size())
    return;
  for (const std::size_t rank : ranks)
    replica->incoming.push_back({*plan.TakeIdle(), rank});
  replica->incoming_epoch = plan.next().TakeEpoch();
}

status_list IncompleteReplicas(draft& plan) {
  status_list incomplete;
  for (const replica_status& status : plan.status().replicas) {
    if (VacantCount(status) > 0 && !status.IsReplacing() &&
        plan.FindReplica(status))
      incomplete.push_back(&status);
  }
  std::stable_sort(incomplete.begin(), incomplete.end(),
                   [](const auto* a, const auto* b) {
                     return VacantCount(*a) < VacantCount(*b);
                   });
  return incomplete;
}

// A healthy member of a replica that is broken up. One of the same rank, entry
// and version as the vacant rank already holds the required weights.
struct survivor {
  base::instance_id instance;
  bool holds_weights = false;
};

std::vector<survivor> Survivors(draft& plan, const replica_status& donor) {
  std::vector<survivor> survivors;
  for (std::size_t rank = 0; rank < donor.replica->members.size(); ++rank) {
    if (plan.IsHealthyMember(donor, rank))
      survivors.push_back({donor.replica->members[rank], false});
  }
  return survivors;
}

bool SameWeights(const replica_status& a, const replica_status& b) {
  return a.replica->entry == b.replica->entry &&
         a.replica->version == b.replica->version &&
         a.replica->members.size() == b.replica->members.size();
}

std::optional<survivor> TakeSurvivor(draft& plan,
                                     const replica_status& donor,
                                     const replica_status& target,
                                     std::size_t rank,
                                     std::vector<survivor>& survivors) {
  if (survivors.empty())
    return std::nullopt;
  auto best = survivors.end() - 1;
  if (SameWeights(donor, target) && plan.IsHealthyMember(donor, rank)) {
    const auto same =
        std::find_if(survivors.begin(), survivors.end(), [&](const auto& s) {
          return s.instance == donor.replica->members[rank];
        });
    if (same != survivors.end()) {
      best = same;
      best->holds_weights = !donor.IsUnloaded(same->instance);
    }
  }
  const survivor taken = *best;
  survivors.erase(best);
  return taken;
}

// Frees @p donor and uses its members to complete @p target, which lacks fewer.
bool CompleteFromDonor(draft& plan,
                       const replica_status& donor,
                       const replica_status& target) {
  std::vector<survivor> survivors = Survivors(plan, donor);
  if (survivors.size() + plan.idle().size() < VacantCount(target))
    return false;
  const catalogue::entry* entry = plan.FindEntry(donor.replica->entry);
  // Survivors that ignore fencing numbers must cool down first.
  const bool usable_now = entry && entry->checks_fencing;
  plan.FreeReplica(donor.replica->id);
  if (!usable_now)
    return true;
  allocated_replica* replica = plan.FindReplica(target);
  for (const std::size_t rank : target.VacantRanks()) {
    if (const auto taken = TakeSurvivor(plan, donor, target, rank, survivors)) {
      plan.TakeIdle(taken->instance);
      plan.Replace(*replica, rank, taken->instance, !taken->holds_weights);
    } else if (const auto idle = plan.TakeIdle()) {
      plan.Replace(*replica, rank, *idle, true);
    }
  }
  plan.StartEpoch(*replica);
  return true;
}

}  // namespace

void repair_policy::Recover(draft& plan) const {
  for (const replica_status& status : plan.status().replicas)
    UpdateReplacements(plan, status);
  status_list incomplete;
  for (const replica_status* status : IncompleteReplicas(plan)) {
    if (plan.idle().size() >= VacantCount(*status))
      Repair(plan, *status, *plan.FindReplica(*status));
    else if (VacantCount(*status) < status->replica->members.size())
      incomplete.push_back(status);
  }
  // The list is sorted by vacant ranks: the last replica completes the first.
  while (incomplete.size() > 1) {
    if (!CompleteFromDonor(plan, *incomplete.back(), *incomplete.front()))
      break;
    incomplete.pop_back();
    incomplete.erase(incomplete.begin());
  }
  for (const replica_status& status : plan.status().replicas)
    PrepareReplacements(plan, status);
}

}  // namespace flamingoshunt::replica
