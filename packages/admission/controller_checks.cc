// What an ask must pass before it may wait, and how it is described then.
#include "admission/controller.h"

#include <algorithm>
#include <chrono>

namespace flamingoshunt::admission {

namespace {

using std::chrono::seconds;

/// Work is overtaken for this multiple of the time it takes.
constexpr int kOvertakingFactor = 2;
/// A retry goes before work of the same kind that arrived this much earlier.
constexpr base::duration kRetryAdvance = seconds(5);

}  // namespace

std::optional<refusal> machine::CheckState(const ask& given,
                                           base::time_point now) {
  const auto refuse = [&given](refusal_reason reason) {
    return refusal{given.shape.request, reason, std::nullopt};
  };
  // What has been admitted before goes on whatever the state of this node.
  if (given.attempt > 1 || given.preempted)
    return std::nullopt;
  if (is_stopping_)
    return refuse(refusal_reason::kStopping);
  if (!catalogue_ || !is_confirmed_)
    return refuse(refusal_reason::kConfigurationUnconfirmed);
  if (!catalogue_->entries.contains(given.shape.entry))
    return refuse(refusal_reason::kUnknownEntry);
  if (given.deadline && *given.deadline <= now)
    return refuse(refusal_reason::kDeadline);
  return std::nullopt;
}

bool machine::HasReplica(const routing::request_shape& shape) {
  return router_.AnyServing(shape.entry, shape.excluded);
}

std::optional<refusal> machine::CheckRules(const ask& given,
                                           base::time_point now) {
  const auto& shape = given.shape;
  if (quarantine_.Judge(shape.fingerprint, now) ==
      routing::verdict::kQuarantined)
    return refusal{shape.request, refusal_reason::kQuarantined,
                   quarantine_.Remaining(shape.fingerprint, now)};
  if (!HasReplica(shape))
    return refusal{shape.request, refusal_reason::kNoReplica, std::nullopt};
  if (given.attempt > 1 && !given.preempted && !retries_.Take(now))
    return refusal{shape.request, refusal_reason::kRetryBudget,
                   retries_.UntilNext()};
  return std::nullopt;
}

std::optional<refusal> machine::CheckLine(const waiting& each,
                                          base::time_point now) {
  const auto& shape = each.request.shape;
  entry_line& line = LineOf(shape.entry);
  const auto slots = router_.Occupancy(shape.entry);
  const base::duration wait = line.Wait(each, slots);
  if (!line.HasRoomFor(shape.workspace))
    return refusal{shape.request, refusal_reason::kQueueFull,
                   line.Promise(each, wait, slots, now)};
  if (!settings_.forecasts || !each.request.deadline)
    return std::nullopt;
  const base::duration left = *each.request.deadline - now;
  const double usual = lengths_.UsualCost(each.request);
  const base::duration run = line.RunTime(std::min(each.cost, usual));
  const base::duration excess = wait + run - left;
  if (wait <= base::duration::zero() || excess <= base::duration::zero())
    return std::nullopt;
  return refusal{shape.request, refusal_reason::kDeadline,
                 line.Promise(each, excess, slots, now)};
}

waiting machine::Describe(const ask& given, base::time_point now) const {
  const length_estimate length = lengths_.Estimate(given);
  const auto line = lines_.find(given.shape.entry);
  const base::duration run = line == lines_.end()
                                 ? base::duration::zero()
                                 : line->second.RunTime(length.cost);
  // A caller that wants its answer before long work could end expects short
  // work; if it is wrong, the request is reclassified while it runs.
  const bool expects_short = given.deadline && *given.deadline < now + run;
  const bool is_long = (length.is_long && !expects_short) || given.preempted;
  waiting each{given, length.cost, is_long, 1, now, now};
  each.request.shape.cost = length.cost;
  each.request.shape.expected_long = is_long;
  if (catalogue_) {
    const auto found = catalogue_->workspaces.find(given.shape.workspace);
    if (found != catalogue_->workspaces.end())
      each.weight = found->second.weight;
  }
  if (!expects_short)
    each.order += std::min(kMostOvertaking, run * kOvertakingFactor);
  if (given.preempted)
    each.order = std::max(each.order, now + kMostOvertaking);
  else if (given.attempt > 1)
    each.order -= kRetryAdvance;
  return each;
}

}  // namespace flamingoshunt::admission
