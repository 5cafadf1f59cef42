// Defines the retry budget of one node. Each first attempt earns a fraction of
// a retry, so that retries stay a fixed fraction of the load of the fleet,
// however many nodes it has, and cannot amplify an outage.
#ifndef FLAMINGOSHUNT_ROUTING_RETRY_BUDGET_H_
#define FLAMINGOSHUNT_ROUTING_RETRY_BUDGET_H_

#include <algorithm>
#include <chrono>

#include "base/clock.h"

namespace flamingoshunt::routing {

class retry_budget {
 public:
  /// Retries earned by one first attempt.
  static constexpr double kTokensPerAttempt = 0.1;
  /// Retries per second earned without any traffic.
  static constexpr double kMinTokensPerSecond = 0.2;
  /// Retries that can accumulate; the failure of a failure domain needs this
  /// many at once.
  static constexpr double kMaxTokens = 64;

  void RecordFirstAttempt() {
    tokens_ = std::min(kMaxTokens, tokens_ + kTokensPerAttempt);
  }

  /// @return whether a retry is allowed; it is then charged.
  bool TryConsume(base::time_point now) {
    Refill(now);
    if (tokens_ < 1)
      return false;
    tokens_ -= 1;
    return true;
  }

  /// @return time until kMinTokensPerSecond alone has earned the next retry.
  base::duration TimeUntilNext() const {
    const double seconds = std::max(0.0, 1 - tokens_) / kMinTokensPerSecond;
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(seconds));
  }

 private:
  void Refill(base::time_point now) {
    const double elapsed_seconds =
        std::chrono::duration<double>(now - refilled_).count();
    tokens_ =
        std::min(kMaxTokens, tokens_ + elapsed_seconds * kMinTokensPerSecond);
    refilled_ = now;
  }

  double tokens_ = kMaxTokens;
  base::time_point refilled_{};
};

}  // namespace flamingoshunt::routing

#endif  // FLAMINGOSHUNT_ROUTING_RETRY_BUDGET_H_
