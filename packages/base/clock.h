// Defines time as the product sees it: a monotonic time point that decision
// slices take as an argument, and the clock interface, the only place where
// time enters a process. Tests drive a virtual clock; the daemon a real one.
#ifndef FLAMINGOSHUNT_BASE_CLOCK_H_
#define FLAMINGOSHUNT_BASE_CLOCK_H_

#include <chrono>

namespace flamingoshunt::base {

// A clock tag of our own, so that a time point of virtual time and one of
// std::chrono::steady_clock cannot be mixed by accident.
struct monotonic_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<monotonic_clock, duration>;
};

using duration = monotonic_clock::duration;
using time_point = monotonic_clock::time_point;
using wall_time =
    std::chrono::time_point<std::chrono::system_clock, base::duration>;

/// The clock interface, one of the five outside interfaces.
class clock {
 public:
  virtual ~clock() = default;

  /// @return time since an arbitrary start; never goes back.
  virtual time_point Now() const = 0;

  /// @return time of day, for logs, spans and stored objects only; no decision
  ///         may depend on it, since it can jump.
  virtual wall_time WallNow() const = 0;
};

/// The operating system's clocks.
class system_clock final : public clock {
 public:
  time_point Now() const override;
  wall_time WallNow() const override;
};

/// A clock that a test moves by hand.
class virtual_clock final : public clock {
 public:
  time_point Now() const override { return now_; }
  wall_time WallNow() const override {
    return wall_time(now_.time_since_epoch());
  }

  /// Moves time forward by @p step; a negative step is an internal error.
  void Advance(duration step);

  /// Moves time forward to @p when; does nothing when that lies in the past.
  void AdvanceTo(time_point when);

 private:
  time_point now_{};
};

}  // namespace flamingoshunt::base

#endif  // FLAMINGOSHUNT_BASE_CLOCK_H_
