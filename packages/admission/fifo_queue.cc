#include "admission/fifo_queue.h"

#include <algorithm>

namespace flamingoshunt::admission {

void fifo_queue::Push(queued_request queued) {
  total_cost_ += queued.cost;
  sequence_by_request_[queued.request.shape.request] = next_sequence_;
  queue_.emplace(next_sequence_++, std::move(queued));
}

queued_request fifo_queue::Extract(queue_map::iterator it) {
  queued_request queued = std::move(it->second);
  total_cost_ -= queued.cost;
  sequence_by_request_.erase(queued.request.shape.request);
  queue_.erase(it);
  return queued;
}

bool fifo_queue::StartOne(const start_callback& try_start) {
  for (auto it = queue_.begin(); it != queue_.end(); ++it) {
    switch (try_start(it->second)) {
      case start_result::kStarted:
        Extract(it);
        return true;
      case start_result::kStop:
        return false;
      case start_result::kSkip:
        break;
    }
  }
  return false;
}

std::optional<queued_request> fifo_queue::Remove(
    const base::request_id& request) {
  const auto position = sequence_by_request_.find(request);
  if (position == sequence_by_request_.end())
    return std::nullopt;
  return Extract(queue_.find(position->second));
}

std::size_t fifo_queue::SizeOfWorkspace(
    const base::workspace_id& workspace) const {
  return static_cast<std::size_t>(
      std::count_if(queue_.begin(), queue_.end(), [&](const auto& entry) {
        return entry.second.request.shape.workspace == workspace;
      }));
}

}  // namespace flamingoshunt::admission
