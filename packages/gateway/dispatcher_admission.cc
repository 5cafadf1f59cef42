// Serves the queue by what answers earn: decides at the submission whether a
// request can be on time, gives late requests the slots that are left, and
// refuses at once those whose wait can't end in time.
#include <algorithm>
#include <cstdlib>
#include <utility>

#include "base/milliseconds.h"
#include "gateway/dispatcher.h"
#include "gateway/urgent_room.h"

namespace flamingoshunt::gateway {
namespace {

using std::chrono::milliseconds;

// Nodes don't serve their queues in one order, so waits vary like the intervals
// between independent events: 98 in 100 are shorter than four times the mean.
constexpr double kWaitMargin = 4;
// First events come later than expected by up to this factor: prompts that
// other nodes send at the same moment, decode steps between prompts.
constexpr double kFirstEventMargin = 1.25;
// A request that waits already is refused only if a wait shorter than expected
// by this factor would be too long: forecasts waver, and a late refusal costs
// the caller the time it has waited.
constexpr int kHeldMargin = 2;
// A late request is sent where it would be answered within one part in this
// many of its target.
constexpr int kLatePart = 2;
// How often the wait of a queued request is forecast again.
constexpr milliseconds kReevaluationPeriod{25};
// Of each pool's slots, one in this many goes to a late request that is due.
constexpr int kGrantsPerDue = 4;
// Callers honour Retry-After up to this part of the time they have left.
constexpr int kHonouredPart = 3;
// An output token takes a decode step, a prompt token a part of a pass.
constexpr double kPromptTokensPerOutputToken = 10;
// Separates a pool from a priority in the names of queue lengths; builds that
// don't know it look up pools only.
constexpr char kPriorityMark = '#';
// Assumed service time of a plain service until a request completes.
constexpr double kInitialServiceMs = 100;

double SizeOf(double prompt_tokens, double output_tokens) {
  return prompt_tokens + kPromptTokensPerOutputToken * output_tokens;
}

// Expected output; callers that name only a bound get far less on average.
std::int64_t ExpectedOutput(const slot_request& request,
                            const engine_profile& profile) {
  if (!request.output_is_bound)
    return request.output_tokens;
  return std::min(request.output_tokens,
                  static_cast<std::int64_t>(profile.usual_answer_tokens));
}

base::duration TotalTime(const engine_profile& profile,
                         std::int64_t prompt_tokens,
                         std::int64_t output_tokens) {
  return EstimateWork(profile, 1, {}, prompt_tokens, output_tokens).total;
}

base::duration UsualTime(const engine_profile& profile) {
  return TotalTime(profile,
                   static_cast<std::int64_t>(profile.usual_prompt_tokens),
                   static_cast<std::int64_t>(profile.usual_answer_tokens));
}

// @return usual prompts that a busy replica prefills in a millisecond: between
//         two pieces it makes a decode step for all that run.
double PromptsPerMillisecond(const engine_profile& profile) {
  const double piece_ms = static_cast<double>(profile.prefill_chunk_tokens) /
                          profile.prefill_tokens_per_ms;
  const double step_ms =
      profile.step_ms + profile.slots * profile.step_per_sequence_ms;
  return static_cast<double>(profile.prefill_chunk_tokens) /
         (piece_ms + step_ms) / std::max(1.0, profile.usual_prompt_tokens);
}

}  // namespace

double dispatcher::MeanServiceMs(const std::string& pool,
                                 const engine_profile* profile) const {
  const auto it = pool_statistics_by_name_.find(pool);
  if (it != pool_statistics_by_name_.end() && it->second.mean_service_ms > 0)
    return it->second.mean_service_ms;
  return profile ? base::Milliseconds(UsualTime(*profile)) : kInitialServiceMs;
}

// @return the expected times on the replica that would be chosen now.
work_estimate dispatcher::EstimateOnBest(const slot_request& request,
                                         base::time_point now) const {
  const engine_profile* profile = FindProfile(request.service);
  work_estimate estimate;
  if (!profile) {
    const double service_ms =
        MeanServiceMs(PoolName(request.service, request.model), profile);
    estimate.first_event = base::FromMilliseconds(service_ms);
    estimate.total = estimate.first_event;
    return estimate;
  }
  std::optional<costed_grant> best;
  for (const target* replica : FindCandidates(request, now)) {
    costed_grant costed = Cost(request, *replica, profile, now);
    if (!best || costed.cost < best->cost)
      best = std::move(costed);
  }
  return best ? best->candidate.expected : estimate;
}

dispatcher::queued_request dispatcher::MakeQueued(slot_request request,
                                                  base::time_point now) const {
  queued_request queued;
  queued.submitted_at = now;
  queued.facts.priority = request.priority;
  queued.facts.on_time_deadline = request.on_time_deadline;
  queued.facts.has_begun = request.has_begun;
  if (options_.order == queue_order::kBenefit) {
    queued.expected = EstimateOnBest(request, now);
    queued.facts.first_event = base::FromMilliseconds(
        base::Milliseconds(queued.expected.first_event) * kFirstEventMargin);
    queued.facts.last_start =
        std::min(request.first_event_deadline - queued.expected.first_event,
                 request.deadline - queued.expected.total);
    if (const engine_profile* profile = FindProfile(request.service)) {
      const std::int64_t output = ExpectedOutput(request, *profile);
      queued.facts.cost = base::Milliseconds(TotalTime(
                              *profile, request.prompt_tokens, output)) /
                          base::Milliseconds(UsualTime(*profile));
      queued.facts.size =
          SizeOf(static_cast<double>(request.prompt_tokens),
                 static_cast<double>(output)) /
          SizeOf(profile->usual_prompt_tokens, profile->usual_answer_tokens);
    }
  }
  queued.request = std::move(request);
  return queued;
}

// Marks the late request of each pool that has waited longest, if it has waited
// for half of the time that its caller gives it or was expected to be on time,
// and if the pool's last slots went to others.
void dispatcher::FindDue(base::time_point now) {
  std::map<std::string, queued_request*> oldest_by_pool;
  for (queued_request& queued : waiting_) {
    const bool was_due = std::exchange(queued.facts.due, false);
    if (!(queued.rank.late || was_due) || queued.is_new ||
        now > queued.facts.last_start)
      continue;
    const bool waited = now - queued.submitted_at >=
                        (queued.facts.last_start - queued.submitted_at) / 2;
    if (!waited && queued.facts.expected_late)
      continue;
    queued_request*& oldest =
        oldest_by_pool[PoolName(queued.request.service, queued.request.model)];
    if (!oldest || queued.submitted_at < oldest->submitted_at)
      oldest = &queued;
  }
  for (const auto& [pool, oldest] : oldest_by_pool) {
    if (pool_statistics_by_name_[pool].granted_since_due >= kGrantsPerDue - 1)
      oldest->facts.due = true;
  }
}

// Within a priority the workspaces take turns by what they have been served.
void dispatcher::AssignRounds(base::time_point now) {
  if (waiting_.size() < 2)
    return;
  std::map<base::workspace_id, double> served;
  for (queued_request& queued : waiting_) {
    if (queued.facts.due)
      continue;
    const auto [it, added] = served.try_emplace(queued.request.workspace, 0);
    if (added)
      it->second = workspace_shares_.Served(queued.request.workspace, now);
    queued.rank.round = RoundOf(it->second);
    it->second += queued.facts.cost;
  }
  SortByRank();
}

void dispatcher::RecordGrant(const queued_request& queued,
                             base::time_point now) {
  if (options_.order != queue_order::kBenefit)
    return;
  workspace_shares_.Charge(queued.request.workspace, queued.facts.cost, now);
  int& granted_since_due =
      pool_statistics_by_name_[PoolName(queued.request.service,
                                        queued.request.model)]
          .granted_since_due;
  granted_since_due = queued.facts.due ? 0 : granted_since_due + 1;
}

std::string dispatcher::UrgentPoolName(const std::string& pool, int priority) {
  return pool + kPriorityMark + std::to_string(priority);
}

bool dispatcher::SharesPriorities(const std::string& pool) const {
  const auto it = pool_statistics_by_name_.find(pool);
  return options_.order == queue_order::kBenefit &&
         it != pool_statistics_by_name_.end() &&
         it->second.arrivals_by_priority.size() > 1;
}

std::map<std::string, dispatcher::lengths_by_priority> dispatcher::CountQueued()
    const {
  std::map<std::string, lengths_by_priority> lengths;
  for (const queued_request& queued : waiting_) {
    // A late one takes only slots that no other request waits for.
    if (!Yields(queued))
      ++lengths[PoolName(queued.request.service, queued.request.model)]
               [queued.request.priority];
  }
  return lengths;
}

// Less urgent requests here and at the peers don't count for the position of a
// request, as far as the peers name priorities.
dispatcher::queue_position dispatcher::PositionOf(
    const queued_request& queued,
    const lengths_by_priority& own) const {
  const int priority = queued.request.priority;
  queue_position position;
  position.pool = PoolName(queued.request.service, queued.request.model);
  position.peer_length = PeerQueueLength(position.pool);
  const bool shares = SharesPriorities(position.pool);
  for (const auto& [own_priority, length] : own) {
    if (!shares || own_priority <= priority)
      position.on_time_length += length;
  }
  position.own_length = position.on_time_length;
  if (!shares)
    return position;
  const std::string prefix = position.pool + kPriorityMark;
  for (auto it = peer_queue_lengths_.lower_bound(prefix);
       it != peer_queue_lengths_.end() && it->first.starts_with(prefix); ++it) {
    const int peer_priority = std::atoi(it->first.c_str() + prefix.size());
    if (peer_priority > priority)
      position.peer_length -= it->second;
    else if (peer_priority < priority)
      position.peers_more_urgent += it->second;
  }
  position.peer_length = std::max(0, position.peer_length);
  return position;
}

// Whether all free slots belong to requests that are served first: queued at
// other nodes, or about to arrive. A late request that finds replicas with many
// prompts to prefill would make the next ones late too.
bool dispatcher::MustYield(const queued_request& queued,
                           const queue_position& position,
                           base::time_point now) const {
  if (Yields(queued) && !CanPrefillSoon(queued, now))
    return true;
  const int first_served =
      Yields(queued) ? position.peer_length : position.peers_more_urgent;
  if (first_served == 0)
    return false;
  const engine_profile* profile = FindProfile(queued.request.service);
  int free = 0;
  for (const target* replica : FindCandidates(queued.request, now))
    free += FreeSlots(*replica, profile, now);
  return free <= first_served;
}

// Whether a request would find a replica that answers in less than the part of
// the target that leaves room for those that can be on time.
bool dispatcher::CanPrefillSoon(const queued_request& queued,
                                base::time_point now) const {
  if (!FindProfile(queued.request.service))
    return true;
  // A request that runs again has less of its target left.
  const bool knows_arrival = queued.request.arrived_at != base::time_point();
  const base::duration target =
      queued.facts.on_time_deadline -
      (knows_arrival ? queued.request.arrived_at : queued.submitted_at);
  return EstimateOnBest(queued.request, now).first_event * kLatePart <= target;
}

// Whether most slots of the pool are free and few prompts wait there, so that
// no forecast is a reason to refuse.
bool dispatcher::HasMuchRoom(const queued_request& queued,
                             base::time_point now) const {
  const engine_profile* profile = FindProfile(queued.request.service);
  int slots = 0;
  int free = 0;
  for (const target* replica : FindCandidates(queued.request, now)) {
    slots += std::max(1, profile ? profile->slots : replica->slots);
    free += FreeSlots(*replica, profile, now);
  }
  return free * 2 > slots && CanPrefillSoon(queued, now);
}

// @return the slots of each replica that are left to more urgent requests.
int dispatcher::KeptSlots(const slot_request& request,
                          const std::vector<const target*>& candidates,
                          base::time_point now) const {
  if (options_.order != queue_order::kBenefit || request.has_begun ||
      candidates.empty())
    return 0;
  const engine_profile* profile = FindProfile(request.service);
  return SlotsKeptForUrgent(
      FleetArrivalsUpTo(PoolName(request.service, request.model),
                        request.priority - 1, now),
      static_cast<int>(candidates.size()),
      std::max(1, profile ? profile->slots : candidates.front()->slots));
}

// @return arrivals at all nodes of requests with @p priority or a more urgent
//         one, assuming that all nodes are as busy as this one.
double dispatcher::FleetArrivalsUpTo(const std::string& pool,
                                     int priority,
                                     base::time_point now) const {
  const auto it = pool_statistics_by_name_.find(pool);
  if (it == pool_statistics_by_name_.end())
    return 0;
  double per_ms = 0;
  for (const auto& [each, arrivals] : it->second.arrivals_by_priority) {
    if (each >= 0 && each <= priority)
      per_ms += arrivals.At(now);
  }
  return per_ms * std::max(1, view_->live_nodes);
}

queue_outlook dispatcher::OutlookOf(const slot_request& request,
                                    const queue_position& position,
                                    base::time_point now) const {
  queue_outlook outlook;
  outlook.ahead = position.requests_ahead - position.late_ahead;
  outlook.own = position.on_time_length;
  outlook.peers = position.peer_length;
  outlook.late_ahead = position.late_ahead;
  outlook.nodes = std::max(1, view_->live_nodes);
  const engine_profile* profile = FindProfile(request.service);
  outlook.releases_per_ms = ReleasesPerMillisecond(
      request, MeanServiceMs(position.pool, profile), now);
  if (profile)
    outlook.releases_per_ms =
        std::min(outlook.releases_per_ms,
                 static_cast<double>(FindCandidates(request, now).size()) *
                     PromptsPerMillisecond(*profile));
  outlook.urgent_per_ms =
      FleetArrivalsUpTo(position.pool, request.priority - 1, now);
  outlook.arrivals_per_ms =
      FleetArrivalsUpTo(position.pool, request.priority, now);
  return outlook;
}

std::optional<refusal> dispatcher::EvaluateByBenefit(
    queued_request& queued,
    const queue_position& position,
    bool full,
    base::time_point now) {
  const slot_request& request = queued.request;
  if (!queued.is_new && now - queued.evaluated_at < kReevaluationPeriod)
    return std::nullopt;
  queued.evaluated_at = now;
  const queue_outlook outlook = OutlookOf(request, position, now);
  const bool was_new = std::exchange(queued.is_new, false);
  if (was_new) {
    const base::duration wait = ForecastWait(outlook);
    queued.facts.expected_late =
        now + base::FromMilliseconds(base::Milliseconds(wait) * kWaitMargin) +
            queued.facts.first_event >
        request.on_time_deadline;
    queued.rank.late = queued.facts.expected_late;
  }
  const base::duration late_wait = ForecastLateWait(outlook);
  const bool hopeless = now > queued.facts.last_start ||
                        (queued.rank.late && !HasMuchRoom(queued, now) &&
                         now + (was_new ? late_wait : late_wait / kHeldMargin) >
                             queued.facts.last_start);
  if (!full && !hopeless)
    return std::nullopt;
  const base::duration spacing =
      base::FromMilliseconds(outlook.nodes / outlook.releases_per_ms);
  const base::duration longest =
      std::clamp<base::duration>((request.deadline - now) / kHonouredPart,
                                 milliseconds(0), kMaxRetryAfter);
  return MakeRefusal(
      request, position,
      full ? refusal_reason::kQueueFull : refusal_reason::kWaitTooLong,
      pool_statistics_by_name_[position.pool].returns.Reserve(
          late_wait, spacing, longest, now, random_));
}

}  // namespace flamingoshunt::gateway
