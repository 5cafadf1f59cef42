#include "base/clock.h"

#include "base/errors.h"

namespace flamingoshunt::base {

time_point system_clock::Now() const {
  const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
  return time_point(std::chrono::duration_cast<duration>(since_start));
}

wall_time system_clock::WallNow() const {
  return std::chrono::time_point_cast<duration>(
      std::chrono::system_clock::now());
}

void virtual_clock::Advance(duration step) {
  FLAMINGOSHUNT_INVARIANT(step >= duration::zero(), step.count());
  now_ += step;
}

void virtual_clock::AdvanceTo(time_point when) {
  if (when > now_)
    now_ = when;
}

}  // namespace flamingoshunt::base
