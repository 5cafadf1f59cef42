#include "store/call_queue.h"

#include <algorithm>

namespace flamingoshunt::store {

std::optional<call> call_queue::Add(const call& request, base::time_point now) {
  const auto place = static_cast<std::size_t>(request.priority);
  const base::time_point deadline = now + request.timeout;
  const base::duration needed = std::min(kMinTimeLeft, request.timeout / 2);
  by_priority_[place].push_back({request, deadline, deadline - needed});
  if (size() <= limit_)
    return std::nullopt;
  for (std::size_t i = kPriorities; i-- > 0;) {
    if (by_priority_[i].empty())
      continue;
    call dropped = std::move(by_priority_[i].back().request);
    by_priority_[i].pop_back();
    return dropped;
  }
  return std::nullopt;
}

std::optional<call> call_queue::Take(base::time_point now,
                                     call_priority at_least) {
  for (std::size_t i = 0; i <= static_cast<std::size_t>(at_least); ++i) {
    if (by_priority_[i].empty())
      continue;
    waiting first = std::move(by_priority_[i].front());
    by_priority_[i].pop_front();
    first.request.timeout = first.deadline - now;
    return first.request;
  }
  return std::nullopt;
}

std::vector<call> call_queue::TakeExpired(base::time_point now) {
  std::vector<call> expired;
  for (auto& line : by_priority_) {
    std::erase_if(line, [&](waiting& each) {
      if (each.latest_start > now)
        return false;
      expired.push_back(std::move(each.request));
      return true;
    });
  }
  return expired;
}

std::optional<base::time_point> call_queue::FirstExpiry() const {
  std::optional<base::time_point> first;
  for (const auto& line : by_priority_) {
    for (const waiting& each : line)
      first = first ? std::min(*first, each.latest_start) : each.latest_start;
  }
  return first;
}

std::size_t call_queue::size() const {
  std::size_t total = 0;
  for (const auto& line : by_priority_)
    total += line.size();
  return total;
}

}  // namespace flamingoshunt::store
