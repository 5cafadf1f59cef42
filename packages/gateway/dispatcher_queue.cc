// Orders the dispatcher's queue, estimates waiting times, and refuses requests
// that would get a slot too late.
#include <algorithm>
#include <cmath>

#include "base/milliseconds.h"
#include "gateway/dispatcher.h"

namespace flamingoshunt::gateway {
namespace {

using std::chrono::milliseconds;

// Retry-After when no replica serves the pool: about the time to complete a
// broken group from a warm spare.
constexpr milliseconds kNoReplicaRetryAfter{900};
// Lower bound of Retry-After: the round trip to the caller.
constexpr milliseconds kMinRetryAfter{50};
// Assumed service time until the first request completes.
constexpr double kInitialServiceMs = 100;
// Maximum queued requests of one pool per slot of the pool.
constexpr int kMaxQueuedPerSlot = 4;
// Time constant of the arrival rate's exponential decay: shorter than a burst,
// long enough to cover a few dozen arrivals.
constexpr double kArrivalRateDecayMs = 1000;
// Slots become free at irregular intervals: a request counts as on time only if
// a wait longer than expected by this factor would still be.
constexpr double kWaitMargin = 1.25;
// With fewer queued requests than this, no trend in the arrivals is assumed.
constexpr int kMinQueueForTrend = 8;
constexpr double kMillisecondsPerSecond = 1000;
// Lower bound of the estimated fraction of slots left for late requests.
constexpr double kMinRemainingCapacity = 0.05;

}  // namespace

void dispatcher::arrival_rate::Add(base::time_point now) {
  per_ms = At(now) + 1 / kArrivalRateDecayMs;
  last_at = now;
}

double dispatcher::arrival_rate::At(base::time_point now) const {
  return per_ms *
         std::exp(-base::Milliseconds(now - last_at) / kArrivalRateDecayMs);
}

void dispatcher::SortByRank() {
  waiting_.sort([](const queued_request& a, const queued_request& b) {
    return a.rank < b.rank;
  });
}

void dispatcher::SortQueue(base::time_point now) {
  if (options_.order == queue_order::kBenefit)
    FindDue(now);
  for (queued_request& queued : waiting_)
    queued.rank = RankOf(options_.order, queued.facts, now);
  SortByRank();
  if (options_.order == queue_order::kBenefit)
    AssignRounds(now);
}

void dispatcher::RecordArrival(const slot_request& request,
                               base::time_point now) {
  pool_statistics& statistics =
      pool_statistics_by_name_[PoolName(request.service, request.model)];
  statistics.arrivals.Add(now);
  statistics.arrivals_by_priority[request.priority].Add(now);
}

// @return arrivals at all nodes, assuming that all are as busy as this one.
double dispatcher::FleetArrivalsPerMillisecond(const std::string& pool,
                                               base::time_point now) const {
  const auto it = pool_statistics_by_name_.find(pool);
  if (it == pool_statistics_by_name_.end())
    return 0;
  return it->second.arrivals.At(now) *
         std::max(1, view_ ? view_->live_nodes : 1);
}

// @return arrivals at all nodes per slot that becomes free.
double dispatcher::Utilization(const queue_position& position,
                               double releases_per_ms,
                               base::time_point now) const {
  return FleetArrivalsPerMillisecond(position.pool, now) / releases_per_ms;
}

// @return how many slots become free in a millisecond, as far as the replicas'
//         rate limits allow their use.
double dispatcher::ReleasesPerMillisecond(const slot_request& request,
                                          double mean_service_ms,
                                          base::time_point now) const {
  const engine_profile* profile = FindProfile(request.service);
  double releases_per_ms = 0;
  for (const target* replica : FindCandidates(request, now)) {
    const int slots = std::max(1, profile ? profile->slots : replica->slots);
    const double by_slots = slots / mean_service_ms;
    const auto limit = RateLimit(replica->instance, now);
    releases_per_ms +=
        limit ? std::min(by_slots, std::max(*limit, replica_limits::kMinRate) /
                                       kMillisecondsPerSecond)
              : by_slots;
  }
  return releases_per_ms > 0 ? releases_per_ms : 1 / mean_service_ms;
}

base::duration dispatcher::EstimateWait(const slot_request& request,
                                        const queue_position& position,
                                        base::duration first_event,
                                        base::time_point now) const {
  const auto it = pool_statistics_by_name_.find(position.pool);
  const double mean_service_ms =
      it == pool_statistics_by_name_.end() || it->second.mean_service_ms <= 0
          ? kInitialServiceMs
          : it->second.mean_service_ms;
  // Slots become free across the fleet, and the queues of the other nodes are
  // ordered like this one.
  const double requests_ahead =
      position.requests_ahead * (1 + static_cast<double>(position.peer_length) /
                                         std::max(1, position.own_length));
  const double releases_per_ms =
      ReleasesPerMillisecond(request, mean_service_ms, now);
  const double wait_ms = (requests_ahead + 1) / releases_per_ms;
  const auto first_event_at = now + first_event;
  if (first_event_at + base::FromMilliseconds(wait_ms * kWaitMargin) <=
          request.on_time_deadline ||
      position.own_length + position.peer_length < kMinQueueForTrend)
    return base::FromMilliseconds(wait_ms);
  // Requests that arrive meanwhile and can still be on time go first.
  const double remaining_capacity =
      1 - Utilization(position, releases_per_ms, now);
  return base::FromMilliseconds(
      wait_ms / std::max(kMinRemainingCapacity, remaining_capacity));
}

refusal dispatcher::MakeRefusal(const slot_request& request,
                                const queue_position& position,
                                refusal_reason reason,
                                base::duration retry_after) {
  return {
      request.ticket, reason,
      std::clamp<base::duration>(retry_after, kMinRetryAfter, kMaxRetryAfter),
      static_cast<std::size_t>(position.own_length)};
}

std::optional<refusal> dispatcher::Evaluate(queued_request& queued,
                                            const queue_position& position,
                                            base::time_point now) {
  const slot_request& request = queued.request;
  if (view_ && view_->configuration &&
      !view_->configuration->FindService(request.service))
    return MakeRefusal(request, position, refusal_reason::kUnknownService,
                       kNoReplicaRetryAfter);
  if (request.has_begun) {
    // Estimates are no reason to break off an answer: a slot may become free,
    // or a group open, while the caller waits.
    if (now < std::min(request.deadline, request.first_event_deadline))
      return std::nullopt;
    return MakeRefusal(request, position, refusal_reason::kWaitTooLong,
                       kMinRetryAfter);
  }
  const auto candidates = FindCandidates(request, now);
  if (candidates.empty()) {
    const auto pause_end = FirstPauseEnd(request.service, request.model, now);
    if (!pause_end)
      return MakeRefusal(request, position, refusal_reason::kNoReplica,
                         kNoReplicaRetryAfter);
    // Not before a replica accepts requests again, however late that is.
    refusal paused =
        MakeRefusal(request, position, refusal_reason::kPaused, {});
    paused.retry_after = *pause_end - now;
    return paused;
  }
  const engine_profile* profile = FindProfile(request.service);
  int slots = 0;
  for (const target* replica : candidates)
    slots += std::max(1, profile ? profile->slots : replica->slots);
  const bool full = position.requests_ahead >= slots * kMaxQueuedPerSlot;
  if (options_.order == queue_order::kBenefit)
    return EvaluateByBenefit(queued, position, full, now);
  work_estimate estimate;
  if (profile)
    estimate = EstimateWork(*profile, candidates.front()->time_factor, {},
                            request.prompt_tokens, request.output_tokens);
  const base::duration wait =
      EstimateWait(request, position, estimate.first_event, now);
  if (full)
    return MakeRefusal(request, position, refusal_reason::kQueueFull, wait);
  if (now + wait + estimate.total > request.deadline ||
      now + wait + estimate.first_event > request.first_event_deadline)
    return MakeRefusal(request, position, refusal_reason::kWaitTooLong, wait);
  return std::nullopt;
}

}  // namespace flamingoshunt::gateway
