// Defines the rate limiter of one node: a token bucket whose rate may change at
// any time, and which gives each refused caller a later retry time than the one
// before, so that callers who follow it don't retry all at once.
#ifndef FLAMINGOSHUNT_ADMISSION_TOKEN_BUCKET_H_
#define FLAMINGOSHUNT_ADMISSION_TOKEN_BUCKET_H_

#include <algorithm>
#include <chrono>
#include <limits>

#include "base/clock.h"

namespace flamingoshunt::admission {

class token_bucket {
 public:
  /// Capacity of the bucket, in seconds of the current rate.
  static constexpr double kBurstSeconds = 1;

  /// @param rate in tokens per second.
  void SetRate(double rate, base::time_point now) {
    Refill(now);
    rate_ = rate;
    // A lower rate also drops the tokens above the new capacity, since the
    // share of the limit that earned them now belongs to another node.
    tokens_ = is_new_ ? Capacity() : std::min(tokens_, Capacity());
    is_new_ = false;
  }

  /// @return whether @p amount was taken. An amount above the capacity is taken
  ///         from a full bucket and leaves a negative balance.
  bool TryConsume(double amount, base::time_point now) {
    Refill(now);
    if (tokens_ < std::min(amount, Capacity()) || rate_ <= 0)
      return false;
    tokens_ -= amount;
    return true;
  }

  /// Refunds @p amount that was not used or, when negative, charges what was
  /// used beyond the estimate.
  void Adjust(double amount) {
    tokens_ = std::min(Capacity(), tokens_ + amount);
  }

  /// @return the time until @p amount is available, after all retry times that
  ///         were returned before.
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
