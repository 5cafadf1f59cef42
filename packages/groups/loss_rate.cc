#include "groups/loss_rate.h"

#include <algorithm>

namespace flamingoshunt::groups {
namespace {

constexpr base::duration kWindow = std::chrono::seconds(30);
// A domain that goes dark loses dozens at once, which says little of the next
// single loss.
constexpr base::duration kTogether = std::chrono::seconds(1);
constexpr int kMostTogether = 3;

}  // namespace

void loss_rate::Record(base::time_point now) {
  while (!losses_.empty() && now - losses_.front() >= kWindow)
    losses_.pop_front();
  const auto recent = std::count_if(
      losses_.begin(), losses_.end(),
      [&](base::time_point each) { return now - each < kTogether; });
  if (recent < kMostTogether)
    losses_.push_back(now);
}

double loss_rate::PerSecond(base::time_point now) const {
  const auto recent = std::count_if(
      losses_.begin(), losses_.end(),
      [&](base::time_point each) { return now - each < kWindow; });
  return static_cast<double>(recent) /
         std::chrono::duration<double>(kWindow).count();
}

}  // namespace flamingoshunt::groups
