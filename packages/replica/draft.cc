#include "replica/draft.h"

#include <algorithm>

namespace flamingoshunt::replica {
namespace {

bool HasRank(const std::vector<std::size_t>& ranks, std::size_t rank) {
  return std::find(ranks.begin(), ranks.end(), rank) != ranks.end();
}

}  // namespace

draft::draft(const domain_status& status, const catalogue::snapshot& catalogue)
    : status_(status), catalogue_(catalogue), idle_(status.idle) {
  if (status.current)
    next_ = *status.current;
  next_.domain = status.domain;
  initial_ = next_;
}

allocated_replica* draft::FindReplica(const replica_status& status) {
  return next_.FindReplica(status.replica->id);
}

const catalogue::entry* draft::FindEntry(const base::entry_name& name) const {
  const auto found = catalogue_.entries.find(name);
  return found == catalogue_.entries.end() ? nullptr : &found->second;
}

bool draft::IsHealthyMember(const replica_status& status,
                            std::size_t rank) const {
  return !HasRank(status.lost, rank) && !HasRank(status.leaving, rank) &&
         !HasRank(status.drain_requested, rank);
}

std::optional<base::instance_id> draft::TakeIdle() {
  if (idle_.empty())
    return std::nullopt;
  const base::instance_id taken = idle_.front();
  TakeIdle(taken);
  return taken;
}

void draft::TakeIdle(const base::instance_id& id) {
  std::erase(idle_, id);
  std::erase(next_.cooling, id);
}

void draft::Release(const base::instance_id& id,
                    const base::entry_name& entry,
                    bool is_healthy) {
  const catalogue::entry* known = FindEntry(entry);
  if (!known || !known->checks_fencing) {
    // The engine would still obey a delayed order of an earlier allocation.
    next_.cooling.push_back(id);
    return;
  }
  if (is_healthy)
    idle_.push_back(id);
}

void draft::Replace(allocated_replica& replica,
                    std::size_t rank,
                    const base::instance_id& instance,
                    bool must_load) {
  const base::instance_id replaced = replica.members[rank];
  std::erase_if(replica.loads,
                [&](const auto& load) { return load.instance == replaced; });
  replica.members[rank] = instance;
  if (must_load)
    replica.loads.push_back({instance, base::epoch(next_.next_epoch)});
  Release(replaced, replica.entry, false);
}

void draft::StartEpoch(allocated_replica& replica) {
  DropIncoming(replica);
  replica.epoch = next_.TakeEpoch();
}

void draft::PromoteIncoming(allocated_replica& replica, bool loaded) {
  std::vector<incoming_member> incoming;
  incoming.swap(replica.incoming);
  for (const incoming_member& successor : incoming) {
    Replace(replica, successor.rank, successor.instance, false);
    if (!loaded)
      replica.loads.push_back({successor.instance, replica.incoming_epoch});
  }
  replica.epoch = replica.incoming_epoch;
  replica.incoming_epoch = base::epoch();
}

void draft::DropIncoming(allocated_replica& replica) {
  std::vector<incoming_member> incoming;
  incoming.swap(replica.incoming);
  replica.incoming_epoch = base::epoch();
  for (const incoming_member& successor : incoming)
    Release(successor.instance, replica.entry, false);
}

void draft::FreeReplica(const base::replica_id& id) {
  const auto at = std::find_if(
      next_.replicas.begin(), next_.replicas.end(),
      [&](const allocated_replica& candidate) { return candidate.id == id; });
  if (at == next_.replicas.end())
    return;
  const auto status =
      std::find_if(status_.replicas.begin(), status_.replicas.end(),
                   [&](const replica_status& candidate) {
                     return candidate.replica->id == id;
                   });
  allocated_replica freed = std::move(*at);
  next_.replicas.erase(at);
  for (std::size_t rank = 0; rank < freed.members.size(); ++rank)
    Release(freed.members[rank], freed.entry,
            status != status_.replicas.end() && IsHealthyMember(*status, rank));
  for (const incoming_member& successor : freed.incoming)
    Release(successor.instance, freed.entry, false);
}

bool draft::FormReplica(const catalogue::entry& entry) {
  const auto members = static_cast<std::size_t>(entry.members_per_replica);
  if (idle_.size() < members)
    return false;
  allocated_replica formed;
  formed.epoch = next_.TakeEpoch();
  formed.id = base::replica_id(next_.domain.str() + "-" +
                               std::to_string(formed.epoch.value()));
  formed.entry = entry.name;
  formed.version = entry.version;
  formed.adapters = entry.adapters;
  while (formed.members.size() < members)
    formed.members.push_back(*TakeIdle());
  RequireLoads(formed);
  next_.replicas.push_back(std::move(formed));
  return true;
}

void draft::RequireLoads(allocated_replica& replica) {
  replica.loads.clear();
  for (const base::instance_id& member : replica.members)
    replica.loads.push_back({member, replica.epoch});
}

void draft::RecreateInPlace(allocated_replica& replica,
                            const catalogue::entry& entry) {
  replica.version = entry.version;
  replica.adapters = entry.adapters;
  replica.draining = false;
  StartEpoch(replica);
  RequireLoads(replica);
}

}  // namespace flamingoshunt::replica
