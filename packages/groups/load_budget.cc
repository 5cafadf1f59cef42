#include "groups/load_budget.h"

namespace flamingoshunt::groups {
namespace {

// The weight store measures its rate over windows of a few seconds.
constexpr base::duration kRateWindow = std::chrono::seconds(5);
// Share of the rate that is used. The rest covers loads that this node does not
// see: those started by an earlier leader, and orders that are executed late.
constexpr double kUsedRateShare = 0.85;

}  // namespace

bool load_budget::Allows(int count, base::time_point now) {
  if (!limiting_)
    return true;
  while (!starts_.empty() && now - starts_.front() >= kRateWindow)
    starts_.pop_front();
  const double max_starts = kUsedRateShare * per_second_ *
                            std::chrono::duration<double>(kRateWindow).count();
  return static_cast<double>(starts_.size()) + count <= max_starts;
}

void load_budget::Record(int count, base::time_point now) {
  if (!limiting_)
    return;
  for (int i = 0; i < count; ++i)
    starts_.push_back(now);
}

}  // namespace flamingoshunt::groups
