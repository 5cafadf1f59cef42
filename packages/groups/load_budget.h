// Limits how many model loads from the weight store may start: a rate per
// second and a number at once. Before the first request a load takes a fraction
// of its time, so the rate is not enforced and only the number at once counts.
#ifndef FLAMINGOSHUNT_GROUPS_LOAD_BUDGET_H_
#define FLAMINGOSHUNT_GROUPS_LOAD_BUDGET_H_

#include <deque>

#include "base/clock.h"

namespace flamingoshunt::groups {

class load_budget {
 public:
  /// @param per_second starts allowed per second, averaged over several
  ///         seconds.
  void SetRate(double per_second) { per_second_ = per_second; }

  /// Enforces the rate from now on. Cannot be undone.
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
