#include "admission/entry_queue.h"

#include <algorithm>
#include <chrono>

namespace flamingoshunt::admission {

namespace {

constexpr double kThroughputGain = 0.02;
/// Seconds that one second of excess work takes to drain while new work keeps
/// arriving.
constexpr double kDrainFactor = 4;
/// Shortest retry-after sent to a refused caller.
constexpr base::duration kMinRetryAfter = std::chrono::seconds(1);

base::duration ToDuration(double seconds) {
  constexpr double kMaxForecastSeconds = 3'600;
  return std::chrono::duration_cast<base::duration>(
      std::chrono::duration<double>(std::min(seconds, kMaxForecastSeconds)));
}

int AvailableSlots(const queued_request& queued,
                   const routing::router::slot_usage& slots) {
  const int available =
      queued.is_long ? slots.slots : slots.slots - slots.running_long;
  return std::max(1, available);
}

}  // namespace

bool entry_queue::HasCapacityFor(const base::workspace_id& workspace) const {
  if (queue_->size() >= kMaxQueued)
    return false;
  constexpr double kMaxQueuedOfWorkspace = kMaxQueued * kMaxWorkspaceFraction;
  return static_cast<double>(queue_->SizeOfWorkspace(workspace)) <
         kMaxQueuedOfWorkspace;
}

void entry_queue::Push(queued_request queued) {
  if (queued.request.deadline)
    deadlines_.emplace(*queued.request.deadline, queued.request.shape.request);
  queue_->Push(std::move(queued));
}

std::optional<queued_request> entry_queue::Remove(
    const base::request_id& request) {
  auto removed = queue_->Remove(request);
  if (removed && removed->request.deadline)
    deadlines_.erase({*removed->request.deadline, request});
  return removed;
}

bool entry_queue::StartOne(const wait_queue::start_callback& try_start) {
  return queue_->StartOne([&](const queued_request& queued) {
    const start_result result = try_start(queued);
    if (result == start_result::kStarted && queued.request.deadline)
      deadlines_.erase(
          {*queued.request.deadline, queued.request.shape.request});
    return result;
  });
}

void entry_queue::RecordService(double cost, base::duration slot_time) {
  const double seconds = std::chrono::duration<double>(slot_time).count();
  if (seconds <= 0)
    return;
  const double sample = cost / seconds;
  cost_per_second_ =
      cost_per_second_ > 0
          ? cost_per_second_ + kThroughputGain * (sample - cost_per_second_)
          : sample;
}

base::duration entry_queue::EstimateWait(
    const queued_request& queued,
    const routing::router::slot_usage& slots) const {
  const bool has_slot = slots.running < slots.slots && queue_->size() == 0;
  if (cost_per_second_ <= 0 || has_slot)
    return base::duration::zero();
  return ToDuration(queue_->CostAhead(queued) /
                    (cost_per_second_ * AvailableSlots(queued, slots)));
}

base::duration entry_queue::EstimateRunTime(double cost) const {
  return cost_per_second_ > 0 ? ToDuration(cost / cost_per_second_)
                              : base::duration::zero();
}

base::duration entry_queue::NextRetryAfter(
    const queued_request& queued,
    base::duration excess,
    const routing::router::slot_usage& slots,
    base::time_point now) {
  const double excess_seconds = std::chrono::duration<double>(excess).count();
  const auto drained =
      now + std::max(kMinRetryAfter, ToDuration(excess_seconds * kDrainFactor));
  const auto service_time =
      EstimateRunTime(queued.cost) / AvailableSlots(queued, slots);
  last_retry_time_ = std::max(drained, last_retry_time_ + service_time);
  return last_retry_time_ - now;
}

std::vector<base::request_id> entry_queue::ExpiredRequests(
    base::time_point now) const {
  std::vector<base::request_id> expired;
  for (const auto& [when, request] : deadlines_) {
    if (when > now)
      break;
    expired.push_back(request);
  }
  return expired;
}

std::optional<base::time_point> entry_queue::NextDeadline() const {
  if (deadlines_.empty())
    return std::nullopt;
  return deadlines_.begin()->first;
}

}  // namespace flamingoshunt::admission
