#include "groups/model_demand.h"

#include <algorithm>
#include <cmath>

namespace flamingoshunt::groups {
namespace {

// Part of a group's slots that requests should take: beyond it they wait for
// each other.
constexpr double kUsedSlots = 0.75;
constexpr base::duration kRiseTime = std::chrono::seconds(2);
constexpr base::duration kFallTime = std::chrono::seconds(8);
// Nodes send their loads several times a second.
constexpr base::duration kLongestAge = std::chrono::seconds(3);

}  // namespace

void model_demand::Record(const model_loads& loads,
                          int slots,
                          base::time_point now) {
  const bool starts_anew = !sampled_at_ || now - *sampled_at_ > kLongestAge;
  const double elapsed =
      starts_anew ? 0
                  : std::chrono::duration<double>(now - *sampled_at_).count();
  if (starts_anew)
    groups_.clear();
  for (const auto& [model, load] : loads) {
    const double sample =
        (load.running + load.queued) / (kUsedSlots * std::max(1, slots));
    const auto [it, added] = groups_.try_emplace(model, sample);
    if (added)
      continue;
    const base::duration time = sample > it->second ? kRiseTime : kFallTime;
    const double part =
        1 - std::exp(-elapsed / std::chrono::duration<double>(time).count());
    it->second += part * (sample - it->second);
  }
  sampled_at_ = now;
}

std::optional<double> model_demand::Groups(const std::string& model,
                                           base::time_point now) const {
  const auto it = groups_.find(model);
  const auto age = Age(now);
  if (it == groups_.end() || !age || *age > kLongestAge)
    return std::nullopt;
  return it->second;
}

std::optional<base::duration> model_demand::Age(base::time_point now) const {
  if (!sampled_at_)
    return std::nullopt;
  return now - *sampled_at_;
}

}  // namespace flamingoshunt::groups
