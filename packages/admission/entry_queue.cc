#include "admission/entry_queue.h"

#include <algorithm>
#include <chrono>

namespace flamingoshunt::admission {

namespace {

constexpr double kSpeedGain = 0.02;
/// Time that a surplus of one second of work takes to drain while new work
/// goes on arriving.
constexpr double kDrainFactor = 4;
/// Shortest time after which a refused caller is told to come back.
constexpr base::duration kLeastRetryAfter = std::chrono::seconds(1);

base::duration Length(double seconds) {
  constexpr double kLongestForecast = 3'600;
  return std::chrono::duration_cast<base::duration>(
      std::chrono::duration<double>(std::min(seconds, kLongestForecast)));
}

int SlotsFor(const waiting& each, const routing::router::occupancy& slots) {
  const int left =
      each.is_long ? slots.slots : slots.slots - slots.running_long;
  return std::max(1, left);
}

}  // namespace

bool entry_line::HasRoomFor(const base::workspace_id& workspace) const {
  if (queue_->size() >= kMaxWaiting)
    return false;
  constexpr double kMaxOfWorkspace = kMaxWaiting * kMaxWorkspacePart;
  return static_cast<double>(queue_->SizeOf(workspace)) < kMaxOfWorkspace;
}

void entry_line::Push(waiting each) {
  if (each.request.deadline)
    deadlines_.emplace(*each.request.deadline, each.request.shape.request);
  queue_->Push(std::move(each));
}

std::optional<waiting> entry_line::Remove(const base::request_id& request) {
  auto removed = queue_->Remove(request);
  if (removed && removed->request.deadline)
    deadlines_.erase({*removed->request.deadline, request});
  return removed;
}

bool entry_line::StartOne(const wait_queue::start& try_start) {
  return queue_->StartOne([&](const waiting& each) {
    const start_result result = try_start(each);
    if (result == start_result::kStarted && each.request.deadline)
      deadlines_.erase({*each.request.deadline, each.request.shape.request});
    return result;
  });
}

void entry_line::Learn(double cost, base::duration total) {
  const double seconds = std::chrono::duration<double>(total).count();
  if (seconds <= 0)
    return;
  const double sample = cost / seconds;
  cost_per_second_ =
      cost_per_second_ > 0
          ? cost_per_second_ + kSpeedGain * (sample - cost_per_second_)
          : sample;
}

base::duration entry_line::Wait(const waiting& each,
                                const routing::router::occupancy& slots) const {
  const bool has_slot = slots.running < slots.slots && queue_->size() == 0;
  if (cost_per_second_ <= 0 || has_slot)
    return base::duration::zero();
  return Length(queue_->CostAhead(each) /
                (cost_per_second_ * SlotsFor(each, slots)));
}

base::duration entry_line::RunTime(double cost) const {
  return cost_per_second_ > 0 ? Length(cost / cost_per_second_)
                              : base::duration::zero();
}

base::duration entry_line::Promise(const waiting& each,
                                   base::duration excess,
                                   const routing::router::occupancy& slots,
                                   base::time_point now) {
  const double excess_seconds = std::chrono::duration<double>(excess).count();
  const auto drained =
      now + std::max(kLeastRetryAfter, Length(excess_seconds * kDrainFactor));
  const auto turn = RunTime(each.cost) / SlotsFor(each, slots);
  promised_ = std::max(drained, promised_ + turn);
  return promised_ - now;
}

std::vector<base::request_id> entry_line::Overdue(base::time_point now) const {
  std::vector<base::request_id> all;
  for (const auto& [when, request] : deadlines_) {
    if (when > now)
      break;
    all.push_back(request);
  }
  return all;
}

std::optional<base::time_point> entry_line::NextDeadline() const {
  if (deadlines_.empty())
    return std::nullopt;
  return deadlines_.begin()->first;
}

}  // namespace flamingoshunt::admission
