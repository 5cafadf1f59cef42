// Defines the rate limiter of one node: a token bucket whose rate may change at
// any time, and which promises each refused caller a later moment than the one
// before, so that callers who wait as told don't come back all at once.
#ifndef FLAMINGOSHUNT_ADMISSION_TOKEN_BUCKET_H_
#define FLAMINGOSHUNT_ADMISSION_TOKEN_BUCKET_H_

#include <algorithm>
#include <chrono>
#include <limits>

#include "base/clock.h"

namespace flamingoshunt::admission {

class token_bucket {
 public:
  /// Tokens gather for this long, in seconds, at the rate in force.
  static constexpr double kBurstSeconds = 1;

  /// @param rate tokens a second.
  void SetRate(double rate, base::time_point now) {
    Refill(now);
    rate_ = rate;
    // Points that were given away take their gathered tokens with them.
    tokens_ = is_new_ ? Capacity() : std::min(tokens_, Capacity());
    is_new_ = false;
  }

  /// @return whether @p amount could be taken; more than the capacity passes
  ///         when the bucket is full, and leaves a debt.
  bool TryConsume(double amount, base::time_point now) {
    Refill(now);
    if (tokens_ < std::min(amount, Capacity()) || rate_ <= 0)
      return false;
    tokens_ -= amount;
    return true;
  }

  /// Takes back @p amount that turned out not to be used, or (when negative)
  /// charges what was used beyond the estimate.
  void Adjust(double amount) {
    tokens_ = std::min(Capacity(), tokens_ + amount);
  }

  /// @return when @p amount can next be had, behind earlier promises.
  base::duration NextRetryAfter(double amount, base::time_point now) {
    Refill(now);
    if (rate_ <= 0)
      return std::chrono::seconds(1);
    const double missing =
        std::max(0.0, std::min(amount, Capacity()) - tokens_);
    const auto refill = ToDuration(missing / rate_);
    const auto after_previous = last_retry_time_ + ToDuration(amount / rate_);
    last_retry_time_ = std::max(now + refill, after_previous);
    return last_retry_time_ - now;
  }

 private:
  static base::duration ToDuration(double seconds) {
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(seconds));
  }

  double Capacity() const { return rate_ * kBurstSeconds; }

  void Refill(base::time_point now) {
    const double elapsed_seconds =
        std::chrono::duration<double>(now - refilled_).count();
    tokens_ = std::min(Capacity(), tokens_ + elapsed_seconds * rate_);
    refilled_ = now;
  }

  bool is_new_ = true;
  double rate_ = 0;
  double tokens_ = 0;
  base::time_point refilled_{};
  base::time_point last_retry_time_{};
};

}  // namespace flamingoshunt::admission

#endif  // FLAMINGOSHUNT_ADMISSION_TOKEN_BUCKET_H_
