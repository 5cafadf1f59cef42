#include "fleet/replica_directory.h"

#include <algorithm>
#include <utility>

namespace flamingoshunt::fleet {
namespace {

// An entry lapses after three heartbeats without a write. The last one may have
// been written a heartbeat before the outage, and intervals vary.
constexpr double kHeartbeatsUntilFirstLapse = 1.5;
// An entry that isn't renewed has lapsed after these.
constexpr double kHeartbeatsUntilLapsed = 4.5;
// Longer than any copy of the list is old, and than a replica takes to exit.
constexpr base::duration kDepartureMemory = std::chrono::minutes(10);

}  // namespace

base::duration replica_directory::ShortestLapse(base::duration heartbeat) {
  return std::chrono::duration_cast<base::duration>(heartbeat *
                                                    kHeartbeatsUntilFirstLapse);
}

bool replica_directory::Put(const replica& listed, base::time_point now) {
  if (SetAside(listed, now))
    return false;
  lapsed_until_.erase(listed.id);
  replica entry = listed;
  if (entry.leaving)
    Remember(departures_, {entry.id, entry.engine.started_ms}, now);
  entry.leaving = Contains(departures_, entry);
  const auto [it, added] = replicas_.try_emplace(entry.id, entry);
  if (added)
    return true;
  // A delayed entry from before the replica's restart.
  if (entry.engine.started_ms < it->second.engine.started_ms)
    return false;
  if (it->second == entry)
    return false;
  it->second = entry;
  return true;
}

// @return whether the process wasn't known to be leaving.
bool replica_directory::Remember(departure_map& departures,
                                 const gateway::replica_process& process,
                                 base::time_point now) {
  std::erase_if(departures, [&](const auto& entry) {
    return now - entry.second.recorded_at > kDepartureMemory;
  });
  const auto [it, added] = departures.try_emplace(
      process.instance, departure{process.started_ms, now});
  if (!added && it->second.started_ms >= process.started_ms)
    return false;
  it->second = {process.started_ms, now};
  return true;
}

bool replica_directory::Contains(const departure_map& departures,
                                 const replica& entry) {
  const auto known = departures.find(entry.id);
  return known != departures.end() &&
         known->second.started_ms >= entry.engine.started_ms;
}

// @return whether the entry is of a process that was removed before the
//         platform was restored, and may only be in the copy.
bool replica_directory::SetAside(const replica& entry, base::time_point now) {
  const auto removed = removed_.find(entry.id);
  if (now < set_aside_until_ && Contains(removed_, entry) &&
      removed->second.recorded_at < restored_at_) {
    set_aside_.insert_or_assign(entry.id, entry);
    return true;
  }
  removed_.erase(entry.id);
  set_aside_.erase(entry.id);
  return false;
}

void replica_directory::Remove(const base::instance_id& id,
                               base::time_point now) {
  const auto it = replicas_.find(id);
  Remember(removed_, {id, it->second.engine.started_ms}, now);
  replicas_.erase(it);
}

bool replica_directory::RecordLeaving(const gateway::replica_process& process,
                                      base::time_point now) {
  if (!Remember(departures_, process, now))
    return false;
  const auto listed = replicas_.find(process.instance);
  if (listed != replicas_.end() &&
      listed->second.engine.started_ms <= process.started_ms)
    listed->second.leaving = true;
  return true;
}

void replica_directory::RecordOutageEnd(base::time_point ended) {
  relist_deadline_ = ended + kRelistGrace;
  // Entries that lapsed before get the full grace period again.
  for (auto& [id, deadline] : lapsed_until_)
    deadline = *relist_deadline_;
}

void replica_directory::RecordRestore(base::time_point now,
                                      base::duration heartbeat) {
  restored_at_ = now;
  set_aside_until_ = now + std::chrono::duration_cast<base::duration>(
                               heartbeat * kHeartbeatsUntilLapsed);
}

std::vector<replica> replica_directory::TakeRenewed(base::time_point now) {
  std::vector<replica> renewed;
  if (now < set_aside_until_)
    return renewed;
  for (const auto& [id, entry] : std::exchange(set_aside_, {}))
    renewed.push_back(entry);
  return renewed;
}

bool replica_directory::Delete(const base::instance_id& id,
                               base::time_point now) {
  // The next entry is written after the restore.
  if (set_aside_.erase(id) > 0)
    removed_.at(id).recorded_at = now;
  const auto it = replicas_.find(id);
  if (it == replicas_.end())
    return false;
  const bool may_return = relist_deadline_ && now < *relist_deadline_;
  if (may_return && !it->second.leaving) {
    lapsed_until_.try_emplace(id, *relist_deadline_);
    return false;
  }
  Remove(id, now);
  lapsed_until_.erase(id);
  return true;
}

bool replica_directory::Withdraw(const base::instance_id& id,
                                 base::time_point now) {
  if (set_aside_.erase(id) > 0)
    removed_.at(id).recorded_at = now;
  if (!replicas_.contains(id))
    return false;
  Remove(id, now);
  lapsed_until_.erase(id);
  return true;
}

std::vector<base::instance_id> replica_directory::Expire(base::time_point now) {
  std::vector<base::instance_id> gone;
  for (auto it = lapsed_until_.begin(); it != lapsed_until_.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    gone.push_back(it->first);
    Remove(it->first, now);
    it = lapsed_until_.erase(it);
  }
  return gone;
}

std::optional<base::time_point> replica_directory::NextTimer() const {
  std::optional<base::time_point> next;
  for (const auto& [id, deadline] : lapsed_until_)
    next = next ? std::min(*next, deadline) : deadline;
  if (!set_aside_.empty())
    next = next ? std::min(*next, set_aside_until_) : set_aside_until_;
  return next;
}

}  // namespace flamingoshunt::fleet
