#include "fleet/replica_directory.h"

#include <algorithm>

namespace flamingoshunt::fleet {
namespace {

// After a failure, the list and the first events of its watch arrive within
// this.
constexpr base::duration kInitialListWindow = std::chrono::milliseconds(150);

}  // namespace

bool replica_directory::Put(const replica& entry) {
  lapsed_until_.erase(entry.id);
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

void replica_directory::RecordPlatformContact(base::time_point now) {
  if (!platform_failing_)
    return;
  platform_failing_ = false;
  platform_recovered_at_ = now;
  // Entries that lapsed before get the full grace period again.
  for (auto& [id, deadline] : lapsed_until_)
    deadline = now + kRelistGrace;
}

bool replica_directory::Delete(const base::instance_id& id,
                               base::time_point now) {
  const auto it = replicas_.find(id);
  if (it == replicas_.end())
    return false;
  // Entries missing from the first list after a failure lapsed in the meantime;
  // later deletions are real.
  const bool lapsed_meanwhile =
      platform_failing_ || (platform_recovered_at_ &&
                            now - *platform_recovered_at_ < kInitialListWindow);
  if (lapsed_meanwhile && !it->second.leaving) {
    lapsed_until_.try_emplace(
        id, platform_recovered_at_.value_or(now) + kRelistGrace);
    return false;
  }
  replicas_.erase(it);
  lapsed_until_.erase(id);
  return true;
}

std::vector<base::instance_id> replica_directory::Expire(base::time_point now) {
  std::vector<base::instance_id> gone;
  if (platform_failing_)
    return gone;
  for (auto it = lapsed_until_.begin(); it != lapsed_until_.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    gone.push_back(it->first);
    replicas_.erase(it->first);
    it = lapsed_until_.erase(it);
  }
  return gone;
}

std::optional<base::time_point> replica_directory::NextTimer() const {
  std::optional<base::time_point> next;
  for (const auto& [id, deadline] : lapsed_until_)
    next = next ? std::min(*next, deadline) : deadline;
  return next;
}

}  // namespace flamingoshunt::fleet
