#include "membership/core.h"

#include <algorithm>
#include <cmath>

namespace flamingoshunt::membership {
namespace {

constexpr base::duration kMinProbePeriod = std::chrono::seconds(1);

base::duration Times(base::duration step, double factor) {
  return base::duration(
      std::llround(static_cast<double>(step.count()) * factor));
}

}  // namespace

core::core(peer self, timing times_in, base::random_engine random_in)
    : times(times_in),
      members(self.id, digest),
      items(digest),
      random(random_in),
      self_(std::move(self)) {
  members.Apply(self_, {});
  items.SetOriginLive(self_.id, true, {});
}

// Grows with the logarithm of the fleet, so that the largest fleets spend
// about as much on probing as on all the rest: 1 s up to 31 nodes, 2 s at 930.
base::duration core::ProbePeriod() const {
  const double nodes = static_cast<double>(members.Live().size() + 1);
  return std::max(kMinProbePeriod,
                  Times(times.probe_period_step, std::log2(nodes + 1)));
}

base::duration core::SuspicionTimeout() const {
  const double nodes = static_cast<double>(members.Live().size() + 1);
  return Times(times.suspicion_step, std::max(1.0, std::log10(nodes)));
}

base::duration core::TimeoutTo(const peer& target) const {
  return IsOwnRegion(target) ? times.direct_timeout
                             : times.cross_region_timeout;
}

bool core::ApplyMember(const peer& claim, base::time_point now) {
  if (!members.Apply(claim, now))
    return false;
  items.SetOriginLive(claim.id, IsLive(claim.state), now);
  if (claim.state == peer_state::kSuspect)
    suspicions.try_emplace(claim.id, now + SuspicionTimeout());
  else
    suspicions.erase(claim.id);
  members_changed = true;
  last_change = now;
  out.changes.push_back(claim);
  return true;
}

void core::Reincarnate(std::uint64_t least, base::time_point now) {
  self_.incarnation = std::max(self_.incarnation, least) + 1;
  ApplyMember(self_, now);
}

void core::SetOwnState(peer_state state, base::time_point now) {
  self_.state = state;
  ApplyMember(self_, now);
}

void core::Call(const peer& to,
                request message,
                base::duration timeout,
                call_reason reason,
                base::time_point now) {
  const peer_call_id id(next_call_++);
  const base::time_point deadline = now + timeout;
  calls_.emplace(id, pending_call{to.id, std::move(reason), deadline});
  deadlines_.emplace(deadline, id);
  out.calls.push_back({id, to.id, to.address, std::move(message), timeout});
}

std::optional<pending_call> core::TakeCall(peer_call_id id) {
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return std::nullopt;
  pending_call taken = std::move(found->second);
  deadlines_.erase({taken.deadline, id});
  calls_.erase(found);
  return taken;
}

std::vector<pending_call> core::TakeOverdue(base::time_point now) {
  std::vector<pending_call> overdue;
  while (!deadlines_.empty() && deadlines_.begin()->first <= now)
    overdue.push_back(*TakeCall(deadlines_.begin()->second));
  return overdue;
}

std::optional<base::time_point> core::NextDeadline() const {
  if (deadlines_.empty())
    return std::nullopt;
  return deadlines_.begin()->first;
}

const member_record* core::Pick(const std::vector<const member_record*>& from) {
  return from.empty() ? nullptr : from[base::RandomIndex(random, from.size())];
}

}  // namespace flamingoshunt::membership
