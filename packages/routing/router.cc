#include "routing/router.h"

#include <algorithm>
#include <chrono>

namespace flamingoshunt::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Replicas scanned per choice, unless none of them is available.
constexpr std::size_t kMaxScanned = 128;
/// Prefixes stored per node, of about 64 bytes each.
constexpr std::size_t kMaxPrefixes = 65'536;
/// Weight of the newest answer in the smoothed first-token time of a replica.
constexpr double kLatencyGain = 0.2;
constexpr double kTypicalLatencyGain = 0.02;
/// Consecutive failures after which a replica is ejected.
constexpr int kFailuresTolerated = 2;
constexpr base::duration kBaseEjectionTime = seconds(1);
constexpr int kMaxEjectionDoublings = 5;
/// Largest fraction of an entry's replicas that is ejected at the same time.
constexpr double kMaxEjectedFraction = 0.5;
/// Factor on the cache confidence after a gap in the cache events, and its
/// recovery per event.
constexpr double kGapConfidence = 0.5;
constexpr double kConfidenceGain = 0.05;

double Seconds(base::duration value) {
  return std::chrono::duration<double>(value).count();
}

}  // namespace

router::router(const router_settings& settings)
    : table_(settings.self),
      policy_(MakePolicy(settings.policy)),
      random_(settings.seed),
      prefixes_(kMaxPrefixes) {}

void router::Apply(const replica::serving_changed& changed) {
  table_.Apply(changed);
}

void router::Apply(const endpoint::report& report, base::time_point now) {
  table_.Apply(report, now);
}

void router::Apply(const membership::peers_changed& changed) {
  table_.Apply(changed);
}

void router::Apply(const endpoint::cache_event& event) {
  const auto position = table_.FindMember(event.instance);
  if (!position)
    return;
  replica_view& view = table_.At(*position);
  const bool is_gap =
      view.cache_sequence != 0 && event.sequence != view.cache_sequence + 1;
  view.cache_confidence =
      is_gap ? view.cache_confidence * kGapConfidence
             : std::min(1.0, view.cache_confidence + kConfidenceGain);
  view.cache_sequence = std::max(view.cache_sequence, event.sequence);
  for (const auto prefix : event.added)
    prefixes_.Add(prefix, *position);
  for (const auto prefix : event.removed)
    prefixes_.Remove(prefix, *position);
}

bool router::IsAvailable(const replica_view& view, base::time_point now) const {
  if (view.claimed_until > now || view.ejected_until > now)
    return false;
  const int slots = std::max(1, view.serving.slots);
  return policy_->UsesAllowance() ? view.own_running < view.allowance
                                  : view.own_running < slots;
}

bool router::IsEligible(const replica_view& view,
                        const request_shape& shape,
                        base::time_point now) const {
  const auto& excluded = shape.excluded;
  return view.IsServing() && IsAvailable(view, now) &&
         std::find(excluded.begin(), excluded.end(), view.serving.replica) ==
             excluded.end();
}

candidate router::MakeCandidate(replica_table::index position,
                                const request_shape& shape,
                                const matches& prefix_matches,
                                double typical_first_token) const {
  const replica_view& view = table_.At(position);
  candidate result;
  result.table_index = position;
  result.load = view.Load();
  result.own_running = view.own_running;
  result.long_share =
      static_cast<double>(view.own_long) / std::max(1, view.serving.slots);
  if (typical_first_token > 0 && view.first_token_seconds > 0)
    result.slowness = view.first_token_seconds / typical_first_token;
  result.is_nearby =
      view.serving.failure_domain == table_.self().failure_domain;
  for (const auto& match : prefix_matches) {
    if (match.replica == position)
      result.prefix_match = view.cache_confidence *
                            static_cast<double>(match.length) /
                            static_cast<double>(shape.prefix_hashes.size());
  }
  return result;
}

double router::TypicalFirstToken(const base::entry_name& entry) const {
  const auto it = typical_first_token_.find(entry);
  return it == typical_first_token_.end() ? 0 : it->second;
}

// Scans a random part of the replicas when there are many, and all of them only
// when none in that part is available.
void router::CollectCandidates(const request_shape& shape,
                               base::time_point now) {
  candidates_.clear();
  const std::size_t size = table_.Subset(shape.entry).size();
  if (size == 0)
    return;
  const matches prefix_matches = prefixes_.LongestMatch(shape.prefix_hashes);
  const bool is_large = size > kMaxScanned;
  const std::size_t first = is_large ? base::RandomIndex(random_, size) : 0;
  CollectCandidatesFrom(first, std::min(size, kMaxScanned), shape,
                        prefix_matches, now);
  if (candidates_.empty() && is_large)
    CollectCandidatesFrom(0, size, shape, prefix_matches, now);
}

void router::CollectCandidatesFrom(std::size_t first,
                                   std::size_t count,
                                   const request_shape& shape,
                                   const matches& prefix_matches,
                                   base::time_point now) {
  const auto& subset = table_.Subset(shape.entry);
  const double typical = TypicalFirstToken(shape.entry);
  for (std::size_t i = 0; i < count; ++i) {
    const auto position = subset[(first + i) % subset.size()];
    if (IsEligible(table_.At(position), shape, now))
      candidates_.push_back(
          MakeCandidate(position, shape, prefix_matches, typical));
  }
}

placement router::PlacementOn(replica_table::index position) const {
  const auto& serving = table_.At(position).serving;
  return {serving.replica, serving.epoch, serving.address,
          serving.failure_domain};
}

std::optional<placement> router::Choose(const request_shape& shape,
                                        base::time_point now) {
  CollectCandidates(shape, now);
  if (candidates_.empty())
    return std::nullopt;
  return PlacementOn(
      candidates_[policy_->Pick(candidates_, random_)].table_index);
}

std::optional<placement> router::ChooseForIsolation(const request_shape& shape,
                                                    base::time_point now) {
  std::optional<replica_table::index> best;
  for (const auto position : table_.Subset(shape.entry)) {
    const replica_view& view = table_.At(position);
    const bool is_excluded =
        std::find(shape.excluded.begin(), shape.excluded.end(),
                  view.serving.replica) != shape.excluded.end();
    if (!view.IsServing() || view.claimed_until > now || is_excluded)
      continue;
    if (!best || view.Outstanding() < table_.At(*best).Outstanding())
      best = position;
  }
  if (!best)
    return std::nullopt;
  return PlacementOn(*best);
}

bool router::IsEmpty(const base::replica_id& replica) const {
  const auto position = table_.Find(replica);
  return position && table_.At(*position).Outstanding() == 0;
}

bool router::IsStillServing(const placement& target) const {
  const auto position = table_.Find(target.replica);
  return position && table_.At(*position).IsServing() &&
         table_.At(*position).serving.epoch == target.epoch;
}

void router::Claim(const base::replica_id& replica, base::time_point until) {
  if (const auto position = table_.Find(replica))
    table_.At(*position).claimed_until = until;
}

void router::AttemptStarted(const request_shape& shape,
                            const placement& target,
                            base::time_point now) {
  running_.emplace(shape.request, running_attempt{target.replica, target.epoch,
                                                  shape.expected_long});
  const auto position = table_.Find(target.replica);
  if (!position)
    return;
  table_.RecordStart(*position, shape.expected_long, now);
  for (const auto prefix : shape.prefix_hashes)
    prefixes_.Add(prefix, *position);
}

bool router::AttemptFinished(const attempt_finished& finished,
                             base::time_point now) {
  const auto [begin, end] = running_.equal_range(finished.request);
  const auto it = std::find_if(begin, end, [&](const auto& entry) {
    return entry.second.replica == finished.replica &&
           entry.second.epoch == finished.epoch;
  });
  if (it == end)
    return false;
  const running_attempt attempt = it->second;
  running_.erase(it);
  const auto position = table_.Find(attempt.replica);
  if (position && table_.At(*position).serving.epoch == attempt.epoch) {
    table_.RecordEnd(*position, attempt.is_long, now);
    RecordResult(*position, finished, now);
  }
  return true;
}

void router::RecordResult(replica_table::index position,
                          const attempt_finished& finished,
                          base::time_point now) {
  replica_view& view = table_.At(position);
  switch (finished.result) {
    case attempt_result::kCancelled:
      return;
    case attempt_result::kSlow:
    case attempt_result::kBroken:
    case attempt_result::kNotStarted:
      if (++view.failures_in_a_row >= kFailuresTolerated)
        Eject(view, now);
      return;
    case attempt_result::kCompleted:
      break;
  }
  view.failures_in_a_row = 0;
  const double sample = Seconds(finished.to_first_token);
  const auto smooth = [sample](double& value, double gain) {
    value = value > 0 ? value + gain * (sample - value) : sample;
  };
  smooth(view.first_token_seconds, kLatencyGain);
  smooth(typical_first_token_[view.serving.entry], kTypicalLatencyGain);
}

void router::Eject(replica_view& view, base::time_point now) {
  const auto& subset = table_.Subset(view.serving.entry);
  const auto ejected = std::count_if(
      subset.begin(), subset.end(),
      [&](auto position) { return table_.At(position).ejected_until > now; });
  if (static_cast<double>(ejected + 1) >
      kMaxEjectedFraction * static_cast<double>(subset.size()))
    return;
  const int doublings = std::min(view.failures_in_a_row - kFailuresTolerated,
                                 kMaxEjectionDoublings);
  view.ejected_until = now + kBaseEjectionTime * (1 << doublings);
}

void router::Reclassify(const base::request_id& request) {
  const auto [begin, end] = running_.equal_range(request);
  for (auto it = begin; it != end; ++it) {
    const auto position = table_.Find(it->second.replica);
    if (it->second.is_long || !position ||
        table_.At(*position).serving.epoch != it->second.epoch)
      continue;
    it->second.is_long = true;
    table_.RecordReclassified(*position);
  }
}

bool router::HasServingReplica(const base::entry_name& entry,
                               const std::vector<base::replica_id>& excluded) {
  const auto& subset = table_.Subset(entry);
  return std::any_of(subset.begin(), subset.end(), [&](auto position) {
    return std::find(excluded.begin(), excluded.end(),
                     table_.At(position).serving.replica) == excluded.end();
  });
}

router::slot_usage router::SlotUsage(const base::entry_name& entry) {
  slot_usage usage;
  for (const auto position : table_.Subset(entry)) {
    const replica_view& view = table_.At(position);
    usage.slots += std::max(view.own_running, view.allowance);
    usage.running += view.own_running;
    usage.running_long += view.own_long;
  }
  return usage;
}

}  // namespace flamingoshunt::routing
