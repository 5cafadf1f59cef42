#include "duty/timer.h"

#include <chrono>
#include <exception>
#include <utility>

#include "telemetry/log.h"

namespace flamingoshunt::duty {
namespace {

// A duty whose work has failed would otherwise sleep until something else wakes
// it; the delay keeps a lasting failure from taking the whole thread.
constexpr base::duration kRetryAfterFailure = std::chrono::milliseconds(100);

}  // namespace

timer::timer(boost::asio::io_context& loop, std::function<void()> fire)
    : timer_(loop), fire_(std::move(fire)) {}

void timer::Arm(std::optional<base::time_point> when) {
  if (when == armed_)
    return;
  armed_ = when;
  if (!when) {
    timer_.cancel();
    return;
  }
  // The system clock's time points count from the steady clock's own start.
  timer_.expires_at(std::chrono::steady_clock::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          when->time_since_epoch())));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error)
      return;
    armed_.reset();
    Fire();
  });
}

void timer::Fire() {
  try {
    fire_();
  } catch (const std::exception& error) {
    telemetry::LogChange("duty", "timer_failed", {{"why", error.what()}},
                         telemetry::log_level::kError);
    if (!armed_)
      Arm(base::system_clock().Now() + kRetryAfterFailure);
  }
}

}  // namespace flamingoshunt::duty
