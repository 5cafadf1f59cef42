// How the dispatcher orders those who wait, and whom it tells at once that
// their turn would come too late.
#include <algorithm>
#include <cmath>
#include <tuple>

#include "base/milliseconds.h"
#include "gateway/dispatcher.h"

namespace flamingoshunt::gateway {
namespace {

using std::chrono::milliseconds;

// Asks a caller to return when the pool has nothing at all: about the time in
// which a broken group is completed from a warm spare.
constexpr milliseconds kReturnWhenNothingServes{900};
// Retry-After is never less than this: the way to the caller and back.
constexpr milliseconds kShortestReturn{50};
constexpr milliseconds kLongestReturn{3000};
// How long a request takes when none has been seen to end.
constexpr double kUnknownServiceMs = 100;
// Waiting requests of one pool for each slot of the pool.
constexpr int kLinePerSlot = 4;
// Time over which arrivals are counted: shorter than a wave, long enough for a
// few dozen of them.
constexpr double kArrivalMemoryMs = 1000;
// Turns come unevenly; one that is this much later than expected must still be
// on time.
constexpr double kTurnMargin = 1.25;
// Fewer waiting requests than this say nothing about what follows them.
constexpr int kTrend = 8;
// Places left to late work are never taken to be fewer than this part.
constexpr double kLeastLeft = 0.05;

}  // namespace

void dispatcher::Order(base::time_point now) {
  waiting_.sort([&](const ask& a, const ask& b) {
    const bool a_late = a.on_time_until < now;
    const bool b_late = b.on_time_until < now;
    return std::tie(a.priority, a_late, a.on_time_until) <
           std::tie(b.priority, b_late, b.on_time_until);
  });
}

void dispatcher::NoteArrival(const ask& request, base::time_point now) {
  pool_pace& of = paces_[PoolName(request.service, request.model)];
  const double passed = base::Milliseconds(now - of.arrived_at);
  of.arrivals_per_ms =
      of.arrivals_per_ms * std::exp(-passed / kArrivalMemoryMs) +
      1 / kArrivalMemoryMs;
  of.arrived_at = now;
}

// @return arrivals at all nodes, taken to be as busy as this one, for each
//         place that comes free.
double dispatcher::Utilization(const queue_position& position,
                               double frees_per_ms,
                               base::time_point now) const {
  const auto found = paces_.find(position.pool);
  if (found == paces_.end())
    return 0;
  const pool_pace& of = found->second;
  const double passed = base::Milliseconds(now - of.arrived_at);
  return of.arrivals_per_ms * std::exp(-passed / kArrivalMemoryMs) *
         std::max(1, view_ ? view_->live_nodes : 1) / frees_per_ms;
}

base::duration dispatcher::TurnIn(const ask& request,
                                  const queue_position& position,
                                  base::duration first_event,
                                  base::time_point now) const {
  const engine_pace* pace = PaceOf(request.service);
  double slots = 0;
  for (const target* each : Candidates(request, now))
    slots += std::max(1, pace ? pace->slots : each->slots);
  const auto learned = paces_.find(position.pool);
  const double mean_ms = learned == paces_.end() || learned->second.mean_ms <= 0
                             ? kUnknownServiceMs
                             : learned->second.mean_ms;
  // Places come free over the whole fleet, and the lines of the others are
  // ordered like this one.
  const double before =
      position.ahead *
      (1 + static_cast<double>(position.others) / std::max(1, position.line));
  const double frees_per_ms = std::max(1.0, slots) / mean_ms;
  const double turn_ms = (before + 1) / frees_per_ms;
  const auto due = now + first_event;
  if (due + base::FromMilliseconds(turn_ms * kTurnMargin) <=
          request.on_time_until ||
      position.line + position.others < kTrend)
    return base::FromMilliseconds(turn_ms);
  // What comes while it waits, and can still be on time, goes before it.
  const double left = 1 - Utilization(position, frees_per_ms, now);
  return base::FromMilliseconds(turn_ms / std::max(kLeastLeft, left));
}

std::optional<refusal> dispatcher::JudgeWait(const ask& request,
                                             const queue_position& position,
                                             base::time_point now) const {
  const auto refuse = [&](refusal_reason reason, base::duration back) {
    return refusal{
        request.ticket, reason,
        std::clamp<base::duration>(back, kShortestReturn, kLongestReturn),
        static_cast<std::size_t>(position.line)};
  };
  if (view_ && view_->configuration &&
      !view_->configuration->FindService(request.service))
    return refuse(refusal_reason::kUnknownService, kReturnWhenNothingServes);
  const auto fit = Candidates(request, now);
  if (fit.empty())
    return refuse(refusal_reason::kNoReplica, kReturnWhenNothingServes);
  const engine_pace* pace = PaceOf(request.service);
  int slots = 0;
  for (const target* each : fit)
    slots += std::max(1, pace ? pace->slots : each->slots);
  work_estimate needed;
  if (pace)
    needed = EstimateWork(*pace, fit.front()->pace, {}, request.prompt_tokens,
                          request.output_tokens);
  const base::duration turn =
      TurnIn(request, position, needed.first_event, now);
  if (position.ahead >= slots * kLinePerSlot)
    return refuse(refusal_reason::kLineFull, turn);
  if (now + turn + needed.whole > request.give_up_at ||
      now + turn + needed.first_event > request.first_event_by)
    return refuse(refusal_reason::kWaitTooLong, turn);
  return std::nullopt;
}

}  // namespace flamingoshunt::gateway
