#include "fleet/relay_choice.h"

#include <algorithm>
#include <utility>

namespace flamingoshunt::fleet {

void relay_choice::SetCandidates(std::vector<base::node_id> ranked,
                                 base::time_point now) {
  ranked_ = std::move(ranked);
  const auto listed = [&](const base::node_id& node) {
    return std::find(ranked_.begin(), ranked_.end(), node) != ranked_.end();
  };
  if (trial_ && !listed(*trial_))
    trial_.reset();
  if (!listed(current_))
    Use(ranked_.empty() ? self_ : ranked_.front(), now);
}

bool relay_choice::Failed(const base::node_id& node,
                          base::time_point now) const {
  const auto failed = failed_until_.find(node);
  return failed != failed_until_.end() && now < failed->second;
}

void relay_choice::Use(const base::node_id& relay, base::time_point now) {
  current_ = relay;
  active_at_ = now;
  trial_.reset();
}

void relay_choice::OnDigest(const base::node_id& node,
                            bool is_member,
                            base::time_point now) {
  if (node == current_)
    active_at_ = now;
  if (trial_ && node == *trial_ && is_member) {
    left_ = current_;
    Use(node, now);
  }
}

void relay_choice::Tick(base::time_point now) {
  if (trial_ && now >= trial_until_) {
    failed_until_[*trial_] = now + kRetry;
    trial_.reset();
  }
  if (current_ != self_ && now - active_at_ >= kSilence) {
    failed_until_[current_] = now + kRetry;
    const auto next = std::find_if(ranked_.begin(), ranked_.end(),
                                   [&](const base::node_id& node) {
                                     return node == self_ || !Failed(node, now);
                                   });
    Use(next == ranked_.end() ? self_ : *next, now);
  }
  StartTrial(now);
}

void relay_choice::StartTrial(base::time_point now) {
  if (trial_)
    return;
  for (const base::node_id& better : ranked_) {
    if (better == current_)
      return;
    if (better == self_ || Failed(better, now))
      continue;
    trial_ = better;
    trial_until_ = now + kSilence;
    return;
  }
}

std::vector<base::node_id> relay_choice::Targets() const {
  std::vector<base::node_id> targets{current_};
  if (trial_)
    targets.push_back(*trial_);
  return targets;
}

std::optional<base::node_id> relay_choice::TakeLeft() {
  return std::exchange(left_, std::nullopt);
}

}  // namespace flamingoshunt::fleet
