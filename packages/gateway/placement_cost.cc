#include "gateway/placement_cost.h"

#include <algorithm>

#include "base/milliseconds.h"

namespace flamingoshunt::gateway {
namespace {

// A first event that is surely late costs as much as this wait: a late answer
// is worth a quarter of one on time, which takes about a second.
constexpr double kLateMs = 1000;
// Expected times up to this part of the target are on time, and from this
// multiple on late; the chance grows evenly between them.
constexpr double kSurelyOnTime = 0.7;
constexpr double kSurelyLate = 1.3;

// @return the chance that a target is missed.
double ChanceOfMissing(double expected_ms, double target_ms) {
  return std::clamp(
      (expected_ms / target_ms - kSurelyOnTime) / (kSurelyLate - kSurelyOnTime),
      0.0, 1.0);
}

// The time of a plain request and of those that share its endpoint.
placement_cost EvaluatePlain(const expected_request& request,
                             const replica_state& replica,
                             base::time_point now) {
  placement_cost result;
  const double slots = std::max(1, replica.slots);
  result.own_ms =
      replica.time_factor * (base::Milliseconds(replica.usual_work) +
                             base::Milliseconds(replica.pending_work) / slots);
  const double slack_ms = base::Milliseconds(request.on_time_deadline - now);
  if (slack_ms > 0)
    result.late_ms = kLateMs * ChanceOfMissing(result.own_ms, slack_ms);
  return result;
}

}  // namespace

placement_cost EvaluatePlacement(const engine_profile* profile,
                                 const expected_request& request,
                                 const replica_state& replica,
                                 base::time_point now) {
  if (!profile)
    return EvaluatePlain(request, replica, now);
  placement_cost result;
  const placed_load& load = replica.load;
  const double factor = replica.time_factor;
  const double prompt_tokens = static_cast<double>(request.prompt_tokens);
  result.expected = EstimateQueuedWork(
      *profile, factor, load, request.prompt_tokens, request.output.mean);
  const base::duration engine_first = result.expected.first_event;
  result.expected.first_event = base::FromMilliseconds(
      base::Milliseconds(engine_first) * replica.first_event_ratio);
  result.expected.total += result.expected.first_event - engine_first;
  const double first_ms = base::Milliseconds(result.expected.first_event);
  result.own_ms = first_ms + base::Milliseconds(result.expected.total);
  // What is late anyhow is placed for the good of the others.
  const double slack_ms = base::Milliseconds(request.on_time_deadline - now);
  if (slack_ms > 0)
    result.late_ms = kLateMs * ChanceOfMissing(first_ms, slack_ms);

  const double running = std::max(0, load.running);
  const double shared_steps =
      std::min(MeanPendingOutput(load), request.output.mean);
  result.others_ms =
      running *
      (base::Milliseconds(EstimatePrefill(*profile, factor, prompt_tokens)) +
       shared_steps * profile->step_per_sequence_ms * factor);
  // A replica that runs nothing takes any request that it can hold at all.
  result.fits_memory =
      profile->kv_cache_tokens <= 0 || load.running <= 0 ||
      replica.kv_tokens + prompt_tokens + request.output.high <=
          static_cast<double>(profile->kv_cache_tokens);
  return result;
}

std::size_t ChooseByLevel(const std::vector<rising_cost>& costs,
                          double concurrent,
                          base::random_engine& random) {
  // The level up to which the candidates are filled by all these requests.
  const double requests = 1 + std::max(0.0, concurrent);
  double level = 0;
  double slope = 0;
  double weighted_costs = 0;
  std::size_t filled = 0;
  while (filled < costs.size() && (filled == 0 || costs[filled].cost < level)) {
    slope += 1 / costs[filled].increment;
    weighted_costs += costs[filled].cost / costs[filled].increment;
    level = (requests + weighted_costs) / slope;
    ++filled;
  }
  if (concurrent <= 0)
    return costs.front().candidate;
  double drawn = base::RandomUnit(random) * requests;
  for (std::size_t i = 0; i < filled; ++i) {
    drawn -= (level - costs[i].cost) / costs[i].increment;
    if (drawn < 0)
      return costs[i].candidate;
  }
  return costs.front().candidate;
}

}  // namespace flamingoshunt::gateway
