// Defines how many loads from the weight store may start: so many a second and
// so many at once. Before the first request loads are cheap and uncounted, and
// only the number at once matters.
#ifndef FLAMINGOSHUNT_GROUPS_LOAD_BUDGET_H_
#define FLAMINGOSHUNT_GROUPS_LOAD_BUDGET_H_

#include <deque>

#include "base/clock.h"

namespace flamingoshunt::groups {

class load_budget {
 public:
  /// @param per_second starts allowed in the long run.
  void SetRate(double per_second) { per_second_ = per_second; }

  /// Loads count from now on; never undone.
  void StartLimiting() { limiting_ = true; }

  /// @return whether @p count more loads may start now.
  bool Allows(int count, base::time_point now);

  void Record(int count, base::time_point now);

 private:
  double per_second_ = 1;
  bool limiting_ = false;
  std::deque<base::time_point> starts_;
};

}  // namespace flamingoshunt::groups

#endif  // FLAMINGOSHUNT_GROUPS_LOAD_BUDGET_H_
