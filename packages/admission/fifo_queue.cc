#include "admission/fifo_queue.h"

#include <algorithm>

namespace flamingoshunt::admission {

void arrival_queue::Push(waiting each) {
  cost_ += each.cost;
  places_[each.request.shape.request] = next_;
  queue_.emplace(next_++, std::move(each));
}

waiting arrival_queue::Take(queue::iterator at) {
  waiting each = std::move(at->second);
  cost_ -= each.cost;
  places_.erase(each.request.shape.request);
  queue_.erase(at);
  return each;
}

bool arrival_queue::StartOne(const start& try_start) {
  for (auto at = queue_.begin(); at != queue_.end(); ++at) {
    switch (try_start(at->second)) {
      case start_result::kStarted:
        Take(at);
        return true;
      case start_result::kStop:
        return false;
      case start_result::kSkip:
        break;
    }
  }
  return false;
}

std::optional<waiting> arrival_queue::Remove(const base::request_id& request) {
  const auto place = places_.find(request);
  if (place == places_.end())
    return std::nullopt;
  return Take(queue_.find(place->second));
}

std::size_t arrival_queue::SizeOf(const base::workspace_id& workspace) const {
  return static_cast<std::size_t>(
      std::count_if(queue_.begin(), queue_.end(), [&](const auto& each) {
        return each.second.request.shape.workspace == workspace;
      }));
}

}  // namespace flamingoshunt::admission
