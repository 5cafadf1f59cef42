#include "fleet/replica_directory.h"

#include <algorithm>

namespace flamingoshunt::fleet {
namespace {

// A list after a failure and the watch that follows it are taken within this.
constexpr base::duration kFirstNews = std::chrono::milliseconds(150);

}  // namespace

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

void replica_directory::NotePlatformContact(base::time_point now) {
  if (!failing_)
    return;
  failing_ = false;
  back_at_ = now;
  // What was kept before gets its time once more.
  for (auto& [id, due] : lapsed_)
    due = now + kReturn;
}

bool replica_directory::Delete(const base::instance_id& id,
                               base::time_point now) {
  const auto found = replicas_.find(id);
  if (found == replicas_.end())
    return false;
  // Only what the first news after a failure leave out lapsed meanwhile.
  const bool lapsed_meanwhile =
      failing_ || (back_at_ && now - *back_at_ < kFirstNews);
  if (lapsed_meanwhile && !found->second.leaving) {
    lapsed_.try_emplace(id, back_at_.value_or(now) + kReturn);
    return false;
  }
  replicas_.erase(found);
  lapsed_.erase(id);
  return true;
}

std::vector<base::instance_id> replica_directory::Expire(base::time_point now) {
  std::vector<base::instance_id> gone;
  if (failing_)
    return gone;
  for (auto it = lapsed_.begin(); it != lapsed_.end();) {
    if (it->second > now) {
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
