#include "fleet/relay.h"

#include <algorithm>
#include <utility>

namespace flamingoshunt::fleet {
namespace {

// Bounds what one digest repeats of a kind; the rest follows with the members'
// next full reports.
constexpr std::size_t kMaxListed = 256;

template <class Entry>
void Append(std::vector<Entry>& to, const std::vector<Entry>& from) {
  for (const Entry& each : from) {
    if (to.size() >= kMaxListed)
      return;
    if (std::find(to.begin(), to.end(), each) == to.end())
      to.push_back(each);
  }
}

}  // namespace

bool relay::TakeReport(const peer_status& report, base::time_point now) {
  if (!members_.Apply(report, now))
    return false;
  changed_ = true;
  member_details& details = details_[report.node];
  const relay_member before = details.member;
  details.reported_at = now;
  details.sequence_changed = true;
  details.member.node = report.node;
  details.member.sequence = report.sequence;
  details.member.incarnation = report.incarnation;
  details.member.complete = true;
  if (!report.partial) {
    details.member.stopping = report.stopping;
    details.member.store_reachable = report.store_reachable;
    details.member.cores = report.cores;
    details.member.cut_off_services = report.cut_off_services;
  }
  relay_member expected = before;
  expected.sequence = report.sequence;
  details.details_changed =
      details.details_changed || !(expected == details.member);
  KeepForAll(report);
  return !report.suspects.empty() || !report.crashes.empty() ||
         !report.leaving.empty() || !report.answered_parts.empty() ||
         !report.blamed_parts.empty() || !report.answered_requests.empty() ||
         !report.blamed_requests.empty() || !report.cold.empty() ||
         pending_.evacuated;
}

void relay::KeepForAll(const peer_status& report) {
  Append(pending_.suspects, report.suspects);
  Append(pending_.crashes, report.crashes);
  Append(pending_.answered_parts, report.answered_parts);
  Append(pending_.blamed_parts, report.blamed_parts);
  Append(pending_.answered_requests, report.answered_requests);
  Append(pending_.blamed_requests, report.blamed_requests);
  Append(pending_.leaving, report.leaving);
  for (const cold_report& each : report.cold) {
    std::erase_if(pending_.cold, [&](const cold_report& older) {
      return older.replica == each.replica;
    });
    if (pending_.cold.size() < kMaxListed)
      pending_.cold.push_back(each);
  }
  KeepEvacuations(report);
  for (limit_report limit : report.limits) {
    limit.reporter = report.node;
    std::erase_if(pending_.limits, [&](const limit_report& older) {
      return older.reporter == limit.reporter && older.replica == limit.replica;
    });
    pending_.limits.push_back(std::move(limit));
  }
}

void relay::KeepEvacuations(const peer_status& report) {
  const auto& read = report.evacuated;
  if (!read || (evacuated_ && !IsNewer(*read, *evacuated_)))
    return;
  // Later states with the same domains follow in the next full digest.
  if (!evacuated_ || evacuated_->domains != read->domains)
    pending_.evacuated = read;
  evacuated_ = read;
}

void relay::RemoveMember(const base::node_id& node) {
  if (details_.erase(node) == 0)
    return;
  members_.Remove(node);
  changed_ = true;
}

std::vector<base::node_id> relay::Members(base::time_point now) const {
  std::vector<base::node_id> members;
  for (const auto& [node, details] : details_) {
    if (node != self_ && now - details.reported_at < kMemberTimeout)
      members.push_back(node);
  }
  return members;
}

void relay::DropSilentMembers(base::time_point now) {
  for (auto it = details_.begin(); it != details_.end();) {
    if (now - it->second.reported_at < kMemberTimeout) {
      ++it;
      continue;
    }
    members_.Remove(it->first);
    it = details_.erase(it);
  }
}

peer_status relay::TakeDigest(bool full, base::time_point now) {
  DropSilentMembers(now);
  peer_status digest = std::exchange(pending_, {});
  digest.kind = status_kind::kDigest;
  digest.node = self_;
  digest.partial = !full;
  digest.seen_requests = members_.AnyPeerSeenRequests();
  digest.queue_lengths = members_.QueueLengths(now, kMemberTimeout);
  for (const auto& [instance, load] :
       members_.TakeChangedLoads(now, kMemberTimeout)) {
    if (load.running > 0)
      sums_[instance] = load;
    else
      sums_.erase(instance);
    digest.loads[instance] = load;
  }
  if (full) {
    digest.loads = sums_;
    digest.evacuated = evacuated_;
  }
  for (auto& [node, details] : details_) {
    if (!full && !details.sequence_changed)
      continue;
    relay_member member = details.member;
    member.complete = full || details.details_changed;
    digest.members.push_back(std::move(member));
    details.sequence_changed = false;
    details.details_changed = false;
  }
  changed_ = false;
  return digest;
}

}  // namespace flamingoshunt::fleet
