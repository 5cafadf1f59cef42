// Grants, progress, preemption and release of slots.
#include "admission/controller.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace flamingoshunt::admission {

namespace {

/// Engine priorities: steps of ten per class, with long work behind short.
constexpr int kPriorityPerClass = 10;
constexpr int kLongPriority = 5;
/// Fraction of a node's slots that long work keeps while short work is queued.
constexpr double kMinLongFraction = 0.1;

}  // namespace

void controller::Dispatch(const base::entry_name& entry, base::time_point now) {
  const auto it = queues_.find(entry);
  if (it == queues_.end())
    return;
  entry_queue& queue = it->second;
  while (queue.size() > 0 && queue.StartOne([&](const queued_request& queued) {
    return TryStart(queued, now);
  })) {
  }
  if (settings_.allow_preemption && queue.ShortCount() > 0)
    PreemptFor(entry, now);
}

// Preempts long work for queued short work. Long requests with the least work
// to repeat go first; those whose deadline leaves no time to queue again stay.
void controller::PreemptFor(const base::entry_name& entry,
                            base::time_point now) {
  std::vector<running_attempt*> candidates;
  std::size_t preempting = 0;
  std::size_t long_running = 0;
  for (auto& [request, attempt] : running_) {
    if (attempt.request.shape.entry != entry || !attempt.is_long)
      continue;
    ++long_running;
    if (attempt.is_preempted)
      ++preempting;
    else if (attempt.request.resumable && !attempt.is_isolated &&
             (!attempt.request.deadline ||
              *attempt.request.deadline > now + kMaxOvertakingTime))
      candidates.push_back(&attempt);
  }
  const auto slots = static_cast<double>(router_.SlotUsage(entry).slots);
  const auto reserved = static_cast<std::size_t>(slots * kMinLongFraction);
  const std::size_t needed = QueueOf(entry).ShortCount();
  std::sort(candidates.begin(), candidates.end(),
            [](const running_attempt* left, const running_attempt* right) {
              return std::pair(left->tokens, left->request.shape.request) <
                     std::pair(right->tokens, right->request.shape.request);
            });
  for (running_attempt* attempt : candidates) {
    if (preempting >= needed || long_running - preempting <= reserved)
      return;
    ++preempting;
    attempt->is_preempted = true;
    ++counters_.preempted;
    effects_.emplace_back(preemption{attempt->request.shape.request,
                                     attempt->replica, attempt->epoch});
  }
}

void controller::DispatchAll(base::time_point now) {
  for (const auto& [entry, queue] : queues_)
    Dispatch(entry, now);
}

start_result controller::TryStart(const queued_request& queued,
                                  base::time_point now) {
  const auto& shape = queued.request.shape;
  if (!limits_.CanStart(shape))
    return start_result::kSkip;
  if (queued.is_long && settings_.queue == queue_kind::kFair) {
    const auto slots = router_.SlotUsage(shape.entry);
    const double max_long = slots.slots * (1 - settings_.short_reserve);
    if (slots.running_long > 0 && slots.running_long + 1 > max_long)
      return start_result::kSkip;
  }
  const auto placement = router_.Choose(shape, now);
  if (!placement) {
    return shape.excluded.empty() ? start_result::kStop : start_result::kSkip;
  }
  queued_entries_.erase(shape.request);
  limits_.AdjustWaiting(shape, -1);
  limits_.TryStart(shape);
  Grant(queued, *placement, false, now);
  return start_result::kStarted;
}

void controller::Grant(const queued_request& queued,
                       const routing::placement& placement,
                       bool is_isolated,
                       base::time_point now) {
  const auto& shape = queued.request.shape;
  router_.AttemptStarted(shape, placement, now);
  quarantine_.RecordStart(shape.fingerprint);
  running_.emplace(
      shape.request,
      running_attempt{queued.request, placement.replica, placement.epoch,
                      queued.cost, length_model_.LongThreshold(shape.entry), 0,
                      queued.is_long, is_isolated});
  ++counters_.granted;
  const int priority =
      static_cast<int>(queued.request.work) * kPriorityPerClass +
      (queued.is_long ? kLongPriority : 0);
  effects_.emplace_back(grant{shape.request, placement, priority});
}

void controller::On(const progress& message, base::time_point) {
  const auto [begin, end] = running_.equal_range(message.request);
  for (auto it = begin; it != end; ++it) {
    running_attempt& attempt = it->second;
    attempt.tokens += static_cast<double>(message.tokens);
    const double cost =
        length_model::Cost(attempt.request.prompt_tokens, attempt.tokens);
    const auto& shape = attempt.request.shape;
    if (cost > attempt.charged) {
      // Charged in doubling steps, so that a request beyond its estimate is
      // charged while it still runs.
      QueueOf(shape.entry)
          .Charge(shape.workspace, attempt.request.work, attempt.charged);
      attempt.charged *= 2;
    }
    if (!attempt.is_long && attempt.tokens > attempt.long_threshold) {
      attempt.is_long = true;
      ++counters_.reclassified;
      router_.Reclassify(message.request);
    }
  }
}

void controller::On(const release& message, base::time_point now) {
  const auto& finished = message.finished;
  const auto [begin, end] = running_.equal_range(finished.request);
  const auto it = std::find_if(begin, end, [&](const auto& entry) {
    return entry.second.replica == finished.replica &&
           entry.second.epoch == finished.epoch;
  });
  if (it == end)
    return;
  const running_attempt attempt = std::move(it->second);
  running_.erase(it);
  Finish(attempt, finished, now);
  DispatchAll(now);
}

void controller::Finish(const running_attempt& attempt,
                        const routing::attempt_finished& finished,
                        base::time_point now) {
  const auto& shape = attempt.request.shape;
  const auto tokens =
      std::max(attempt.tokens, static_cast<double>(finished.tokens));
  const double cost = length_model::Cost(attempt.request.prompt_tokens, tokens);
  entry_queue& queue = QueueOf(shape.entry);
  router_.AttemptFinished(finished, now);
  limits_.RecordFinished(shape, shape.cost - cost);
  queue.Charge(shape.workspace, attempt.request.work, cost - attempt.charged);
  if (finished.result == routing::attempt_result::kBroken)
    quarantine_.RecordCrash(shape.fingerprint, attempt.replica, attempt.epoch,
                            now);
  if (finished.result == routing::attempt_result::kCompleted) {
    length_model_.RecordAnswer(
        attempt.request,
        static_cast<double>(attempt.request.tokens_done) + tokens);
    queue.RecordService(cost, finished.total);
    quarantine_.RecordCompletion(shape.fingerprint, now);
  }
  quarantine_.RecordEnd(shape.fingerprint);
  if (attempt.is_isolated) {
    router_.Claim(attempt.replica, now);
    quarantine_.WithdrawClaim(shape.fingerprint);
  }
}

void controller::ServeIsolated(base::time_point now) {
  if (isolated_.size() == 0)
    return;
  // One step may grant several requests; each is counted before the check of
  // the next.
  const auto can_start = [this](const routing::request_shape& shape) {
    return limits_.TryStart(shape);
  };
  for (auto& outcome : isolated_.Step(quarantine_, router_, can_start, now)) {
    const auto& shape = outcome.request.request.shape;
    if (outcome.placement)
      Grant(outcome.request, *outcome.placement, true, now);
    else if (outcome.is_expired)
      Refuse({shape.request, refusal_reason::kDeadline, std::nullopt});
    else if (outcome.state == routing::quarantine_state::kQuarantined)
      Refuse({shape.request, refusal_reason::kQuarantined,
              quarantine_.Remaining(shape.fingerprint, now)});
    else
      Enqueue(std::move(outcome.request), now);
  }
}

}  // namespace flamingoshunt::admission
