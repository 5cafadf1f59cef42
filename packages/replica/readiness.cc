#include "replica/readiness.h"

#include <algorithm>

namespace flamingoshunt::replica {

void readiness_gate::SetCatalogue(catalogue::snapshot_ptr snapshot) {
  catalogue_ = std::move(snapshot);
  InvalidateDescriptions();
}

void readiness_gate::InvalidateDescriptions() {
  for (auto& [id, gate] : gates_)
    gate.has_current_description = false;
}

bool readiness_gate::IsReplicaServing(const base::instance_id& instance) const {
  const auto found = gates_by_member_.find(instance);
  return found != gates_by_member_.end() && found->second->ever_published &&
         found->second->published.state == serving_state::kServing;
}

void readiness_gate::SetAllocation(const allocation& current) {
  std::vector<base::replica_id>& ids = replicas_by_domain_[current.domain];
  for (const base::replica_id& id : ids) {
    const auto found = gates_.find(id);
    for (const base::instance_id& member : found->second.replica.members)
      gates_by_member_.erase(member);
    if (current.FindReplica(id))
      continue;
    removed_replicas_.push_back(found->second.published);
    gates_.erase(found);
  }
  ids.clear();
  for (const allocated_replica& replica : current.replicas) {
    ids.push_back(replica.id);
    replica_gate& gate = gates_[replica.id];
    gate.replica = replica;
    gate.has_current_description = false;
    for (const base::instance_id& member : replica.members)
      gates_by_member_[member] = &gate;
  }
}

void readiness_gate::RecordFailure(const base::replica_id& id,
                                   base::epoch epoch,
                                   base::time_point now) {
  const auto found = gates_.find(id);
  if (found != gates_.end() && found->second.replica.epoch == epoch)
    found->second.failed_at = now;
}

void readiness_gate::Evaluate(const base::instance_id& instance,
                              const instance_table& instances,
                              base::time_point now,
                              std::vector<serving_changed>& out) {
  const auto found = gates_by_member_.find(instance);
  if (found == gates_by_member_.end())
    return;
  replica_gate& gate = *found->second;
  const serving_state before = gate.published.state;
  EvaluateReplica(gate, instances, now, out);
  // While a replica serves, its expiry only moves later, so only a replica that
  // starts to serve can bring the next expiry forward.
  if (gate.published.state == serving_state::kServing &&
      before != serving_state::kServing)
    RecordExpiry(gate, instances);
}

void readiness_gate::RecordExpiry(const replica_gate& gate,
                                  const instance_table& instances) {
  const base::time_point expiry = ExpiryOf(gate, instances);
  next_expiry_ = next_expiry_ ? std::min(*next_expiry_, expiry) : expiry;
}

void readiness_gate::EvaluateAll(const instance_table& instances,
                                 base::time_point now,
                                 std::vector<serving_changed>& out) {
  for (serving_replica& removed : removed_replicas_) {
    if (removed.replica.empty() || removed.state == serving_state::kGone)
      continue;
    removed.state = serving_state::kGone;
    out.push_back({removed});
  }
  removed_replicas_.clear();
  next_expiry_.reset();
  for (auto& [id, gate] : gates_) {
    EvaluateReplica(gate, instances, now, out);
    if (gate.published.state == serving_state::kServing)
      RecordExpiry(gate, instances);
  }
}

void readiness_gate::EvaluateReplica(replica_gate& gate,
                                     const instance_table& instances,
                                     base::time_point now,
                                     std::vector<serving_changed>& out) {
  const serving_state state = StateOf(gate, instances, now);
  if (!gate.ever_published && state == serving_state::kGone)
    return;
  if (gate.has_current_description && state == gate.published.state)
    return;
  gate.has_current_description = true;
  serving_replica description = Describe(gate, instances, state);
  if (gate.ever_published && description == gate.published)
    return;
  gate.ever_published = true;
  gate.published = std::move(description);
  out.push_back({gate.published});
}

serving_state readiness_gate::StateOf(const replica_gate& gate,
                                      const instance_table& instances,
                                      base::time_point now) const {
  const allocated_replica& replica = gate.replica;
  bool draining = replica.draining;
  for (const base::instance_id& id : replica.members) {
    const instance_state* member = instances.Find(id);
    if (!member || !member->ReportsMembership(replica.id, replica.epoch))
      return serving_state::kGone;
    const endpoint::member_state reported_state = member->report->state;
    draining |= member->IsLeaving() ||
                reported_state == endpoint::member_state::kDraining;
    if (reported_state != endpoint::member_state::kReady &&
        reported_state != endpoint::member_state::kDraining)
      return serving_state::kGone;
    if (now - member->measured_at >= settings_.freshness)
      return serving_state::kGone;
    // A report may take up to report_timeout to arrive, so one that arrives
    // after the failure may have been measured before it.
    if (gate.failed_at > base::time_point{} &&
        member->measured_at <= gate.failed_at + settings_.report_timeout)
      return serving_state::kGone;
    if (!member->HoldsWeights(replica.entry, replica.version))
      return serving_state::kGone;
  }
  return draining ? serving_state::kDraining : serving_state::kServing;
}

serving_replica readiness_gate::Describe(const replica_gate& gate,
                                         const instance_table& instances,
                                         serving_state state) const {
  const allocated_replica& replica = gate.replica;
  serving_replica out;
  out.replica = replica.id;
  out.epoch = replica.epoch;
  out.entry = replica.entry;
  out.version = replica.version;
  out.members = replica.members;
  out.state = state;
  if (const instance_state* first = instances.Find(replica.members.front())) {
    out.failure_domain = first->info.failure_domain;
    out.region = first->info.region;
    out.address = first->info.address;
  }
  if (!catalogue_)
    return out;
  const auto entry = catalogue_->entries.find(replica.entry);
  if (entry != catalogue_->entries.end())
    out.slots = entry->second.slots_per_replica;
  return out;
}

base::time_point readiness_gate::ExpiryOf(
    const replica_gate& gate,
    const instance_table& instances) const {
  base::time_point oldest = base::time_point::max();
  for (const base::instance_id& id : gate.replica.members)
    oldest = std::min(oldest, instances.Find(id)->measured_at);
  return oldest + settings_.freshness;
}

bool readiness_gate::IsServing(const base::replica_id& id) const {
  const auto found = gates_.find(id);
  return found != gates_.end() && found->second.ever_published &&
         found->second.published.state == serving_state::kServing;
}

}  // namespace flamingoshunt::replica
