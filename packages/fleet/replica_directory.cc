#include "fleet/replica_directory.h"

#include <algorithm>

namespace flamingoshunt::fleet {

bool replica_directory::Put(const replica& entry) {
  lapsed_.erase(entry.id);
  const auto [place, added] = replicas_.try_emplace(entry.id, entry);
  if (added)
    return true;
  // An entry of an earlier start that arrives late.
  if (entry.engine.started_ms < place->second.engine.started_ms)
    return false;
  if (place->second == entry)
    return false;
  place->second = entry;
  return true;
}

bool replica_directory::Delete(const base::instance_id& id,
                               base::time_point now) {
  const auto found = replicas_.find(id);
  if (found == replicas_.end())
    return false;
  const bool platform_was_away =
      last_failure_ && now - *last_failure_ < kReturn;
  if (platform_was_away && !found->second.leaving) {
    lapsed_.try_emplace(id, *last_failure_ + kReturn);
    return false;
  }
  replicas_.erase(found);
  lapsed_.erase(id);
  return true;
}

std::vector<base::instance_id> replica_directory::Expire(base::time_point now) {
  std::vector<base::instance_id> gone;
  for (auto it = lapsed_.begin(); it != lapsed_.end();) {
    // A platform that failed again gives its replicas as long once more.
    const base::time_point due = std::max(it->second, *last_failure_ + kReturn);
    it->second = due;
    if (due > now) {
      ++it;
      continue;
    }
    gone.push_back(it->first);
    replicas_.erase(it->first);
    it = lapsed_.erase(it);
  }
  return gone;
}

std::optional<base::time_point> replica_directory::NextTimer() const {
  std::optional<base::time_point> next;
  for (const auto& [id, due] : lapsed_)
    next = next ? std::min(*next, due) : due;
  return next;
}

}  // namespace flamingoshunt::fleet
