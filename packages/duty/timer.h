// Defines the one timer of a duty: it fires at the time the duty's machine
// names next, and sleeps otherwise.
#ifndef FLAMINGOSHUNT_DUTY_TIMER_H_
#define FLAMINGOSHUNT_DUTY_TIMER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>

#include "base/clock.h"

namespace flamingoshunt::duty {

class timer {
 public:
  /// @param fire called on the loop's thread when the armed time has come. If
  ///        it throws a std::exception before it has armed the timer again, it
  ///        is called once more a little later.
  timer(boost::asio::io_context& loop, std::function<void()> fire);

  /// Fires once at @p when, replacing any earlier time; nothing disarms it.
  void Arm(std::optional<base::time_point> when);

 private:
  void Fire();

  boost::asio::steady_timer timer_;
  std::function<void()> fire_;
  std::optional<base::time_point> armed_;
};

}  // namespace flamingoshunt::duty

#endif  // FLAMINGOSHUNT_DUTY_TIMER_H_
