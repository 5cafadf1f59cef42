#include "fleet/evacuations.h"

#include <tuple>
#include <utility>

namespace flamingoshunt::fleet {

bool IsNewer(const evacuation_state& a, const evacuation_state& b) {
  return std::tie(a.era, a.revision) > std::tie(b.era, b.revision);
}

const std::optional<evacuation_state>& evacuations::current() const {
  const bool peers_are_ahead =
      from_peers_ && (!own_ || IsNewer(*from_peers_, *own_));
  return peers_are_ahead ? from_peers_ : own_;
}

bool evacuations::ChangedFrom(
    const std::optional<evacuation_state>& before) const {
  const auto& now = current();
  return now && (!before || before->domains != now->domains);
}

void evacuations::OnPut(base::failure_domain_id domain) {
  watched_.insert(std::move(domain));
}

void evacuations::OnDeleted(const base::failure_domain_id& domain) {
  watched_.erase(domain);
}

bool evacuations::OnBookmark(std::uint64_t era, base::revision at) {
  const std::optional<evacuation_state> before = current();
  evacuation_state read{era, at, watched_};
  // The store was restored from an old copy without saying so: the revisions
  // that peers named before order nothing any more.
  if (own_ && IsNewer(*own_, read))
    from_peers_.reset();
  own_ = std::move(read);
  return ChangedFrom(before);
}

bool evacuations::OnPeerState(const evacuation_state& state) {
  const std::optional<evacuation_state> before = current();
  if (before && !IsNewer(state, *before))
    return false;
  from_peers_ = state;
  return ChangedFrom(before);
}

}  // namespace flamingoshunt::fleet
