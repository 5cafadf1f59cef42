#include "fleet/configuration_sources.h"

#include <tuple>

namespace flamingoshunt::fleet {

void configuration_sources::OnNamed(const base::node_id& peer,
                                    std::uint64_t version,
                                    base::time_point now) {
  if (version <= in_force_) {
    later_.erase(peer);
    return;
  }
  if (later_.empty())
    behind_since_ = now;
  source& named = later_[peer];
  // What it didn't hand out before may be a different version now.
  if (named.version != version)
    named = {version, std::nullopt};
}

void configuration_sources::OnInForce(std::uint64_t version) {
  in_force_ = version;
  std::erase_if(later_, [&](const auto& entry) {
    return entry.second.version <= version;
  });
}

std::optional<base::node_id> configuration_sources::TakeNext(
    base::time_point now) {
  const bool asked_lately = last_query_at_ != base::time_point::min() &&
                            now - last_query_at_ < kQueryPeriod;
  if (later_.empty() || now - behind_since_ < kWatchPatience || asked_lately)
    return std::nullopt;
  // Peers that weren't asked yet come first, then those with the latest.
  const auto rank = [](const source& each) {
    return std::tuple(!each.asked_at, each.version);
  };
  auto best = later_.end();
  for (auto it = later_.begin(); it != later_.end(); ++it) {
    const auto& asked_at = it->second.asked_at;
    if (asked_at && now - *asked_at < kRepeatDelay)
      continue;
    if (best == later_.end() || rank(it->second) > rank(best->second))
      best = it;
  }
  if (best == later_.end())
    return std::nullopt;
  best->second.asked_at = now;
  last_query_at_ = now;
  return best->first;
}

}  // namespace flamingoshunt::fleet
