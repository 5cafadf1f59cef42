#include "gateway/wait_forecast.h"

#include <algorithm>

#include "base/milliseconds.h"

namespace flamingoshunt::gateway {
namespace {

// Lower bound of the fraction of slots left by requests that are served first.
constexpr double kMinRemainingCapacity = 0.05;

// @param ahead requests served first, the request included.
// @param first_per_ms requests that arrive meanwhile and are served first.
base::duration WaitFor(double ahead,
                       double first_per_ms,
                       double releases_per_ms) {
  const double remaining_capacity =
      std::max(kMinRemainingCapacity, 1 - first_per_ms / releases_per_ms);
  return base::FromMilliseconds(ahead / releases_per_ms / remaining_capacity);
}

}  // namespace

base::duration ForecastWait(const queue_outlook& outlook) {
  // The middle of the request's position here, in the queue of the fleet.
  const int own = std::max(1, outlook.own);
  const double position = (outlook.ahead + 0.5) / own;
  const double ahead = position * (own + outlook.peers) + 0.5;
  return WaitFor(ahead, outlook.urgent_per_ms, outlook.releases_per_ms);
}

base::duration ForecastLateWait(const queue_outlook& outlook) {
  const double late_ahead = (outlook.late_ahead + 0.5) * outlook.nodes + 0.5;
  const double ahead = outlook.own + outlook.peers + late_ahead;
  return WaitFor(ahead, outlook.arrivals_per_ms, outlook.releases_per_ms);
}

}  // namespace flamingoshunt::gateway
