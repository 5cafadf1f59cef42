// Spreads refused callers over the time at which slots are free: each refusal
// reserves a later moment than the one before, no later than its caller
// honours.
//
// Load pattern: a burst is refused within a second. With equal times all its
// callers return together, meet each other, and are refused for good.
#ifndef FLAMINGOSHUNT_GATEWAY_RETURN_SCHEDULE_H_
#define FLAMINGOSHUNT_GATEWAY_RETURN_SCHEDULE_H_

#include "base/clock.h"
#include "base/random.h"

namespace flamingoshunt::gateway {

/// The refused callers of one pool at one node.
class return_schedule {
 public:
  /// @param earliest until a slot is expected to be free.
  /// @param spacing  between two slots that this node may promise.
  /// @param longest  that the caller waits as asked; a later promise is none.
  /// @return when to come back, from @p now on.
  base::duration Reserve(base::duration earliest,
                         base::duration spacing,
                         base::duration longest,
                         base::time_point now,
                         base::random_engine& random);

 private:
  base::time_point last_reserved_{};
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_RETURN_SCHEDULE_H_
