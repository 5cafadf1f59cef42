// Remembers the largest number of nodes known lately: nodes that are cut off
// are missing among the live ones, and send requests all the same.
#ifndef FLAMINGOSHUNT_FLEET_FLEET_SIZE_H_
#define FLAMINGOSHUNT_FLEET_FLEET_SIZE_H_

#include <cstddef>

#include "base/clock.h"

namespace flamingoshunt::fleet {

/// Uses no sockets and no clock.
class fleet_size {
 public:
  /// Longer than a cut or an outage of the store usually lasts.
  static constexpr base::duration kRemembered = std::chrono::seconds(60);

  /// @param known nodes known now.
  /// @return whether the number to count on changed.
  bool Update(std::size_t known, base::time_point now) {
    if (known < largest_ && now - largest_at_ <= kRemembered)
      return false;
    const bool changed = known != largest_;
    largest_ = known;
    largest_at_ = now;
    return changed;
  }

  /// @return the largest number known lately; zero if none is.
  std::size_t largest() const { return largest_; }

 private:
  std::size_t largest_ = 0;
  base::time_point largest_at_{};
};

}  // namespace flamingoshunt::fleet

#endif  // FLAMINGOSHUNT_FLEET_FLEET_SIZE_H_
