#include "membership/detector.h"

#include <algorithm>

#include "base/errors.h"

namespace flamingoshunt::membership {
namespace {

constexpr std::size_t kHelpers = 3;             // asked to probe indirectly
constexpr std::uint64_t kCrossRegionEvery = 8;  // periods
constexpr std::uint64_t kDeadProbeEvery = 10;   // periods
constexpr std::size_t kAnnouncements = 3;       // members told of a start
constexpr std::size_t kMaxProbes = 64;          // under way

}  // namespace

detector::detector(core& shared, spreader& spread)
    : core_(shared), spreader_(spread) {}

void detector::Start(base::time_point now) {
  // A random first step keeps nodes that start together from probing in step.
  const double unit = base::RandomUnit(core_.random);
  const auto period = std::chrono::duration<double>(core_.ProbePeriod());
  next_probe_ = now + std::chrono::duration_cast<base::duration>(period * unit);
}

void detector::Stop() {
  next_probe_.reset();
  probes_.clear();
}

std::optional<base::time_point> detector::NextTimer() const {
  std::optional<base::time_point> next = next_probe_;
  if (!next)
    return next;
  for (const auto& [id, deadline] : core_.suspicions)
    next = std::min(*next, deadline);
  return next;
}

void detector::OnTimer(base::time_point now) {
  if (!next_probe_)
    return;
  ExpireSuspicions(now);
  if (*next_probe_ > now)
    return;
  ProbeNext(now);
  if (++periods_ % kDeadProbeEvery == 0)
    ProbeOneDead(now);
  next_probe_ = now + core_.ProbePeriod();
}

void detector::OnLateWake(base::duration late, base::time_point now) {
  ++core_.counters.late_wakes;
  probes_.clear();
  for (auto& [id, deadline] : core_.suspicions)
    deadline = std::max(deadline + late, now + core_.SuspicionTimeout());
}

void detector::Announce(base::time_point now) {
  for (std::size_t each = 0; each < kAnnouncements; ++each) {
    if (const member_record* target = core_.Pick(core_.members.Live()))
      Probe(target->known, {{core_.self()}, {}}, now);
  }
}

void detector::ProbeWithClaim(const peer& claim, base::time_point now) {
  const member_record* known = core_.members.Find(claim.id);
  if (known && probes_.size() < kMaxProbes)
    Probe(known->known, {{core_.self(), claim}, {}}, now);
}

void detector::ProbeNext(base::time_point now) {
  const bool cross = periods_ % kCrossRegionEvery == kCrossRegionEvery - 1;
  const member_record* target = cross ? AnyOfOtherRegions() : NextOfRegion();
  if (!target)
    target = cross ? NextOfRegion() : AnyOfOtherRegions();
  if (target)
    Probe(target->known, {}, now);
}

// Regions that were cut off from each other find together by this: each side
// holds the other for dead, and the claim in the probe makes the target refute.
void detector::ProbeOneDead(base::time_point now) {
  const auto dead = core_.members.Dead();
  if (const member_record* target = core_.Pick(dead))
    ProbeWithClaim(target->known, now);
}

void detector::Probe(const peer& target,
                     updates carried,
                     base::time_point now) {
  if (!probes_.try_emplace(target.id).second)
    return;
  ++core_.counters.probes;
  core_.Call(target, ping{core_.digest.whole(), std::move(carried)},
             core_.TimeoutTo(target), direct_probe{target.id}, now);
}

// Goes through the region in random order, everyone once a round, which bounds
// the time until a failed member is probed.
const member_record* detector::NextOfRegion() {
  for (int refills = 0; refills < 2;) {
    if (round_.empty()) {
      ++refills;
      for (const auto* record : core_.members.LiveIn(core_.self().region))
        round_.push_back(record->known.id);
      for (std::size_t left = round_.size(); left > 1; --left)
        std::swap(round_[left - 1],
                  round_[base::RandomIndex(core_.random, left)]);
    }
    while (!round_.empty()) {
      const member_record* record = core_.members.Find(round_.back());
      round_.pop_back();
      if (record && IsLive(record->known.state))
        return record;
    }
  }
  return nullptr;
}

const member_record* detector::AnyOfOtherRegions() {
  std::vector<const member_record*> others;
  for (const member_record* record : core_.members.Live()) {
    if (!core_.IsOwnRegion(record->known))
      others.push_back(record);
  }
  return core_.Pick(others);
}

// One near this node, one near the target, one elsewhere, as far as there are;
// then any.
std::vector<peer> detector::Helpers(const peer& target) {
  std::vector<const member_record*> left;
  for (const member_record* record : core_.members.Live()) {
    if (record->known.state == peer_state::kAlive &&
        record->known.id != target.id)
      left.push_back(record);
  }
  std::vector<peer> helpers;
  const auto take_one = [&](auto wanted) {
    std::vector<const member_record*> fitting;
    std::copy_if(left.begin(), left.end(), std::back_inserter(fitting), wanted);
    if (const member_record* helper = core_.Pick(fitting)) {
      helpers.push_back(helper->known);
      std::erase(left, helper);
    }
  };
  take_one([&](auto* each) { return core_.IsOwnRegion(each->known); });
  take_one([&](auto* each) { return each->known.region == target.region; });
  take_one([&](auto* each) {
    return !core_.IsOwnRegion(each->known) &&
           each->known.region != target.region;
  });
  while (helpers.size() < kHelpers && !left.empty())
    take_one([](auto*) { return true; });
  return helpers;
}

void detector::OnReached(const base::node_id& target) {
  probes_.erase(target);
}

void detector::OnDirectFailed(const base::node_id& target,
                              base::time_point now) {
  const auto found = probes_.find(target);
  const member_record* record = core_.members.Find(target);
  if (found == probes_.end())
    return;
  if (!record || !IsLive(record->known.state)) {
    probes_.erase(found);
    return;
  }
  ++core_.counters.probes_failed;
  const peer unreached = record->known;
  const auto helpers = Helpers(unreached);
  found->second.helpers = helpers.size();
  for (const peer& helper : helpers)
    core_.Call(helper, indirect_ping{unreached}, core_.times.indirect_timeout,
               helper_probe{target}, now);
  if (helpers.empty())
    Suspect(target, now);
}

void detector::OnHelperFailed(const base::node_id& target,
                              base::time_point now) {
  const auto found = probes_.find(target);
  if (found == probes_.end() || found->second.helpers == 0)
    return;
  if (--found->second.helpers == 0)
    Suspect(target, now);
}

void detector::Suspect(const base::node_id& target, base::time_point now) {
  probes_.erase(target);
  const member_record* record = core_.members.Find(target);
  if (!record || record->known.state != peer_state::kAlive)
    return;
  peer claim = record->known;
  claim.state = peer_state::kSuspect;
  core_.ApplyMember(claim, now);
  ++core_.counters.suspicions;
  spreader_.SpreadMember(target);
}

void detector::ExpireSuspicions(base::time_point now) {
  std::vector<base::node_id> expired;
  for (const auto& [id, deadline] : core_.suspicions) {
    if (deadline <= now)
      expired.push_back(id);
  }
  for (const base::node_id& id : expired) {
    const member_record* record = core_.members.Find(id);
    FLAMINGOSHUNT_INVARIANT(record, id);
    peer claim = record->known;
    claim.state = peer_state::kDead;
    core_.ApplyMember(claim, now);
    ++core_.counters.deaths;
    // Every node that heard the suspicion comes to this by itself.
  }
}

}  // namespace flamingoshunt::membership
