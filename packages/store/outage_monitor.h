// Defines how a client tells an outage of the platform from a lost connection:
// an outage lasts from the first failure until the next success, and a short
// one can't have made leased objects lapse.
#ifndef FLAMINGOSHUNT_STORE_OUTAGE_MONITOR_H_
#define FLAMINGOSHUNT_STORE_OUTAGE_MONITOR_H_

#include <optional>

#include "base/clock.h"

namespace flamingoshunt::store {

/// A period in which no call and no watch succeeded.
struct outage {
  base::time_point began{};
  base::time_point ended{};
  base::duration length() const { return ended - began; }
  bool operator==(const outage&) const = default;
};

/// Follows the results of all calls and watches of one client.
class outage_monitor {
 public:
  /// @param undetected how long the platform may have been silent before the
  ///        failure was found.
  void RecordFailure(base::time_point now, base::duration undetected);

  /// @return the outage that this success ended, if any.
  std::optional<outage> RecordSuccess(base::time_point now);

  /// @return when the current outage began; empty if there is none.
  std::optional<base::time_point> failing_since() const {
    return failing_since_;
  }

 private:
  std::optional<base::time_point> failing_since_;
  base::time_point last_success_ = base::time_point::min();
};

}  // namespace flamingoshunt::store

#endif  // FLAMINGOSHUNT_STORE_OUTAGE_MONITOR_H_
