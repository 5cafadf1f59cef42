#include "replica/plan.h"

#include <algorithm>

namespace flamingoshunt::replica {
namespace {

void RecreateDrained(draft& plan, const domain_task& task) {
  for (const replica_status& status : plan.status().replicas) {
    if (!task.recreate.contains(status.replica->id))
      continue;
    allocated_replica* replica = plan.FindReplica(status);
    const catalogue::entry* entry = plan.FindEntry(status.replica->entry);
    if (!replica || !entry)
      continue;
    for (std::size_t rank = 0; rank < replica->members.size(); ++rank) {
      if (plan.IsHealthyMember(status, rank))
        continue;
      if (const auto spare = plan.TakeIdle())
        plan.Replace(*replica, rank, *spare, true);
    }
    plan.RecreateInPlace(*replica, *entry);
  }
}

void FormNewReplicas(draft& plan, const domain_task& task) {
  for (const auto& [name, count] : task.replicas_to_form) {
    const catalogue::entry* entry = plan.FindEntry(name);
    for (int i = 0; entry && i < count; ++i) {
      if (!plan.FormReplica(*entry))
        break;
    }
  }
}

void MarkDraining(draft& plan, const domain_task& task) {
  for (const base::replica_id& id : task.drain) {
    if (allocated_replica* replica = plan.next().FindReplica(id))
      replica->draining = true;
  }
}

// Adapters change in place, one replica of the domain at a time.
void ChangeAdapters(draft& plan) {
  for (allocated_replica& replica : plan.next().replicas) {
    const catalogue::entry* entry = plan.FindEntry(replica.entry);
    if (!entry || replica.version != entry->version ||
        replica.adapters == entry->adapters)
      continue;
    replica.adapters = entry->adapters;
    return;
  }
}

}  // namespace

std::optional<allocation> PlanDomain(const domain_status& status,
                                     const domain_task& task,
                                     const catalogue::snapshot& catalogue,
                                     const recovery_policy& policy,
                                     bool adapters_settled) {
  draft plan(status, catalogue);
  for (const base::replica_id& id : task.release)
    plan.FreeReplica(id);
  RecreateDrained(plan, task);
  policy.Recover(plan);
  FormNewReplicas(plan, task);
  MarkDraining(plan, task);
  if (adapters_settled)
    ChangeAdapters(plan);
  if (!plan.HasChanges())
    return std::nullopt;
  for (const base::instance_id& id : status.cooled)
    std::erase(plan.next().cooling, id);
  CheckAllocation(plan.next());
  return plan.next();
}

}  // namespace flamingoshunt::replica
