#include "runtime/memory_budget.h"

#include <utility>

namespace flamingoshunt::runtime {

memory_share::~memory_share() {
  budget_.Remove(*this);
}

memory_budget::memory_budget(budget_bounds bounds,
                             std::function<void(bound_event)> observe)
    : bounds_(bounds),
      large_bound_(static_cast<std::size_t>(static_cast<double>(bounds.bytes) *
                                            kLargePart)),
      observe_(std::move(observe)) {}

std::unique_ptr<memory_share> memory_budget::Admit(std::function<void()> close,
                                                   base::time_point now) {
  while (connections_ >= bounds_.connections ||
         held_ + kConnectionBytes > bounds_.bytes) {
    if (!CloseForOrdinary(now, nullptr)) {
      Report(bound_event::kConnectionRefused);
      return nullptr;
    }
  }
  std::unique_ptr<memory_share> share(
      new memory_share(*this, std::move(close)));
  ++connections_;
  held_ += kConnectionBytes;
  share->last_progress_ = now;
  share->queue_ = queue::kIdle;
  auto& idle = Queue(queue::kIdle);
  share->place_ = idle.insert(idle.end(), share.get());
  return share;
}

bool memory_budget::Resize(memory_share& share,
                           std::size_t bytes,
                           base::time_point now) {
  if (share.closed_)
    return false;
  const std::size_t large_before = Large(share.held_);
  const std::size_t large_after = Large(bytes);
  if (large_after > large_before) {
    while (held_ - share.held_ + bytes > bounds_.bytes ||
           large_ - large_before + large_after > large_bound_) {
      if (!CloseForLarge(now, &share))
        return false;
    }
  } else if (bytes > share.held_) {
    while (held_ - share.held_ + bytes > bounds_.bytes) {
      if (!CloseForOrdinary(now, &share))
        return false;
    }
  }
  held_ += bytes - share.held_;
  large_ += large_after - large_before;
  share.held_ = bytes;
  // Between the two queues of readers.
  if ((large_before > 0) != (large_after > 0))
    SetPhase(share, share.phase_, share.last_progress_);
  return true;
}

void memory_budget::SetPhase(memory_share& share,
                             connection_phase phase,
                             base::time_point now) {
  if (share.closed_)
    return;
  share.phase_ = phase;
  share.last_progress_ = now;
  const queue to = QueueOf(share);
  auto& from = Queue(std::exchange(share.queue_, to));
  Queue(to).splice(Queue(to).end(), from, share.place_);
}

bool memory_budget::CloseOne(base::time_point now) {
  return CloseForOrdinary(now, nullptr);
}

// An incomplete request that has stalled goes before a connection that waits
// for its next request, since that one's caller has kept every bound.
bool memory_budget::CloseForOrdinary(base::time_point now,
                                     const memory_share* except) {
  struct candidate {
    queue where;
    base::duration at_least;
  };
  constexpr std::array<candidate, 6> kOrder{
      {{queue::kReadingLarge, kStalledRead},
       {queue::kReading, kStalledRead},
       {queue::kIdle, base::duration::zero()},
       {queue::kReading, base::duration::zero()},
       {queue::kReadingLarge, base::duration::zero()},
       {queue::kWriting, kStalledWrite}}};
  for (const candidate& each : kOrder) {
    if (memory_share* oldest = Oldest(each.where, each.at_least, now, except)) {
      Close(*oldest);
      return true;
    }
  }
  return false;
}

bool memory_budget::CloseForLarge(base::time_point now,
                                  const memory_share* except) {
  memory_share* oldest =
      Oldest(queue::kReadingLarge, kStalledRead, now, except);
  if (!oldest)
    oldest = Oldest(queue::kWriting, kStalledWrite, now, except);
  if (oldest)
    Close(*oldest);
  return oldest != nullptr;
}

memory_share* memory_budget::Oldest(queue which,
                                    base::duration at_least,
                                    base::time_point now,
                                    const memory_share* except) {
  for (memory_share* share : Queue(which)) {
    if (now - share->last_progress_ < at_least)
      return nullptr;
    if (share != except)
      return share;
  }
  return nullptr;
}

void memory_budget::Close(memory_share& share) {
  const connection_phase phase = share.phase_;
  Remove(share);
  Report(phase == connection_phase::kIdle      ? bound_event::kIdleClosed
         : phase == connection_phase::kReading ? bound_event::kReadingClosed
                                               : bound_event::kWritingClosed);
  share.close_();
}

memory_share::queue memory_budget::QueueOf(const memory_share& share) {
  switch (share.phase_) {
    case connection_phase::kIdle:
      return queue::kIdle;
    case connection_phase::kReading:
      return Large(share.held_) > 0 ? queue::kReadingLarge : queue::kReading;
    case connection_phase::kWriting:
      return queue::kWriting;
    case connection_phase::kServing:
      break;
  }
  return queue::kNone;
}

void memory_budget::Remove(memory_share& share) {
  if (std::exchange(share.closed_, true))
    return;
  Queue(share.queue_).erase(share.place_);
  --connections_;
  held_ -= kConnectionBytes + share.held_;
  large_ -= Large(share.held_);
}

}  // namespace flamingoshunt::runtime
