#include "fleet/relayed_loads.h"

#include <algorithm>

namespace flamingoshunt::fleet {
namespace {

// A relay that is this many reports behind counts as being at the oldest.
constexpr std::size_t kMaxReports = 64;

}  // namespace

void relayed_loads::OnReported(std::uint64_t sequence,
                               const gateway::load_map& loads) {
  reports_.push_back({sequence, loads});
  if (reports_.size() > kMaxReports)
    reports_.pop_front();
}

bool relayed_loads::Apply(const peer_status& digest, base::time_point now) {
  if (!relays_.Apply(digest, now))
    return false;
  const auto self =
      std::find_if(digest.members.begin(), digest.members.end(),
                   [&](const auto& member) { return member.node == self_; });
  if (self == digest.members.end()) {
    if (!digest.partial)
      SetIncluded(digest.node, {});
    return true;
  }
  const auto report = std::find_if(
      reports_.begin(), reports_.end(),
      [&](const auto& each) { return each.sequence >= self->sequence; });
  if (report != reports_.end())
    SetIncluded(digest.node, report->loads);
  return true;
}

void relayed_loads::SetIncluded(const base::node_id& relay,
                                gateway::load_map loads) {
  gateway::load_map& included = included_[relay];
  for (const auto& [instance, load] : included)
    changed_.insert(instance);
  for (const auto& [instance, load] : loads)
    changed_.insert(instance);
  included = std::move(loads);
  if (included.empty())
    included_.erase(relay);
}

gateway::load_map relayed_loads::TakeChanged(base::time_point now,
                                             base::duration timeout) {
  gateway::load_map changed = relays_.TakeChangedLoads(now, timeout);
  std::vector<base::node_id> silent;
  for (const auto& [relay, loads] : included_) {
    if (!relays_.IsLive(relay, now, timeout))
      silent.push_back(relay);
  }
  for (const base::node_id& relay : silent)
    SetIncluded(relay, {});
  for (const base::instance_id& instance : std::exchange(changed_, {}))
    changed.try_emplace(instance, relays_.LoadOn(instance));
  for (auto& [instance, load] : changed) {
    for (const auto& [relay, loads] : included_) {
      const auto own = loads.find(instance);
      if (own != loads.end())
        load -= own->second;
    }
    load.running = std::max(load.running, 0);
    load.pending_prompt_tokens =
        std::max<std::int64_t>(load.pending_prompt_tokens, 0);
    load.pending_output_tokens =
        std::max<std::int64_t>(load.pending_output_tokens, 0);
  }
  return changed;
}

gateway::queue_length_map relayed_loads::QueueLengths(
    const gateway::queue_length_map& own,
    base::time_point now,
    base::duration timeout) const {
  gateway::queue_length_map total = relays_.QueueLengths(now, timeout);
  for (auto& [pool, waiting] : total) {
    if (const auto mine = own.find(pool); mine != own.end())
      waiting = std::max(0, waiting - mine->second);
  }
  return total;
}

}  // namespace flamingoshunt::fleet
