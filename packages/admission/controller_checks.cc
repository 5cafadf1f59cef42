// The checks that a slot request must pass before it is queued, and the
// estimates that it is queued with.
#include "admission/controller.h"

#include <algorithm>
#include <chrono>

namespace flamingoshunt::admission {

namespace {

using std::chrono::seconds;

/// Short work may overtake a request for this multiple of its run time.
constexpr int kOvertakingFactor = 2;
/// A retry goes before work of the same kind that arrived up to this earlier.
constexpr base::duration kRetryAdvance = seconds(5);

}  // namespace

std::optional<refusal> controller::CheckState(const slot_request& message,
                                              base::time_point now) {
  const auto refuse = [&message](refusal_reason reason) {
    return refusal{message.shape.request, reason, std::nullopt};
  };
  // Requests admitted before continue, whatever the state of this node.
  if (message.attempt > 1 || message.preempted)
    return std::nullopt;
  if (is_stopping_)
    return refuse(refusal_reason::kStopping);
  if (!catalogue_ || !is_confirmed_)
    return refuse(refusal_reason::kConfigurationUnconfirmed);
  if (!catalogue_->entries.contains(message.shape.entry))
    return refuse(refusal_reason::kUnknownEntry);
  if (message.deadline && *message.deadline <= now)
    return refuse(refusal_reason::kDeadline);
  return std::nullopt;
}

bool controller::HasReplica(const routing::request_shape& shape) {
  return router_.HasServingReplica(shape.entry, shape.excluded);
}

std::optional<refusal> controller::CheckRules(const slot_request& message,
                                              base::time_point now) {
  const auto& shape = message.shape;
  if (quarantine_.Classify(shape.fingerprint, now) ==
      routing::quarantine_state::kQuarantined)
    return refusal{shape.request, refusal_reason::kQuarantined,
                   quarantine_.Remaining(shape.fingerprint, now)};
  if (!HasReplica(shape))
    return refusal{shape.request, refusal_reason::kNoReplica, std::nullopt};
  if (message.attempt > 1 && !message.preempted &&
      !retry_budget_.TryConsume(now))
    return refusal{shape.request, refusal_reason::kRetryBudget,
                   retry_budget_.TimeUntilNext()};
  return std::nullopt;
}

std::optional<refusal> controller::CheckQueue(const queued_request& queued,
                                              base::time_point now) {
  const auto& shape = queued.request.shape;
  entry_queue& queue = QueueOf(shape.entry);
  const auto slots = router_.SlotUsage(shape.entry);
  const base::duration wait = queue.EstimateWait(queued, slots);
  if (!queue.HasCapacityFor(shape.workspace))
    return refusal{shape.request, refusal_reason::kQueueFull,
                   queue.NextRetryAfter(queued, wait, slots, now)};
  if (!settings_.forecast_deadlines || !queued.request.deadline)
    return std::nullopt;
  const base::duration time_left = *queued.request.deadline - now;
  const double typical = length_model_.TypicalCost(queued.request);
  const base::duration run_time =
      queue.EstimateRunTime(std::min(queued.cost, typical));
  const base::duration excess = wait + run_time - time_left;
  if (wait <= base::duration::zero() || excess <= base::duration::zero())
    return std::nullopt;
  return refusal{shape.request, refusal_reason::kDeadline,
                 queue.NextRetryAfter(queued, excess, slots, now)};
}

queued_request controller::MakeQueuedRequest(const slot_request& message,
                                             base::time_point now) const {
  const length_estimate length = length_model_.Estimate(message);
  const auto queue = queues_.find(message.shape.entry);
  const base::duration run_time =
      queue == queues_.end() ? base::duration::zero()
                             : queue->second.EstimateRunTime(length.cost);
  // A deadline before the end of the estimated run means that the caller
  // expects short work; if it turns out long, it is reclassified while it runs.
  const bool expects_short =
      message.deadline && *message.deadline < now + run_time;
  const bool is_long = (length.is_long && !expects_short) || message.preempted;
  queued_request queued{message, length.cost, is_long, 1, now, now};
  queued.request.shape.cost = length.cost;
  queued.request.shape.expected_long = is_long;
  if (catalogue_) {
    const auto workspace = catalogue_->workspaces.find(message.shape.workspace);
    if (workspace != catalogue_->workspaces.end())
      queued.weight = workspace->second.weight;
  }
  if (!expects_short)
    queued.order_time +=
        std::min(kMaxOvertakingTime, run_time * kOvertakingFactor);
  if (message.preempted)
    queued.order_time = std::max(queued.order_time, now + kMaxOvertakingTime);
  else if (message.attempt > 1)
    queued.order_time -= kRetryAdvance;
  return queued;
}

}  // namespace flamingoshunt::admission
