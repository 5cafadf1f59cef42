// Counts the replicas that are lost, to say how many more are likely to be lost
// while weights load.
#ifndef FLAMINGOSHUNT_GROUPS_LOSS_RATE_H_
#define FLAMINGOSHUNT_GROUPS_LOSS_RATE_H_

#include <deque>

#include "base/clock.h"

namespace flamingoshunt::groups {

class loss_rate {
 public:
  void Record(base::time_point now);

  /// @return losses a second over the last half minute; those that come
  ///         together, as of a whole fabric domain, count as a few.
  double PerSecond(base::time_point now) const;

 private:
  std::deque<base::time_point> losses_;
};

}  // namespace flamingoshunt::groups

#endif  // FLAMINGOSHUNT_GROUPS_LOSS_RATE_H_
