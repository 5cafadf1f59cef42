// Defines the call budget of one node: a token bucket in virtual time. The
// platform counts every call and every started watch as one; so does this.
#ifndef FLAMINGOSHUNT_STORE_TOKEN_BUCKET_H_
#define FLAMINGOSHUNT_STORE_TOKEN_BUCKET_H_

#include <algorithm>
#include <chrono>

#include "base/clock.h"

namespace flamingoshunt::store {

class token_bucket {
 public:
  /// @param rate tokens a second.
  /// @param burst most tokens that can be saved up.
  token_bucket(double rate, double burst)
      : rate_(rate), burst_(burst), tokens_(burst) {}

  /// Takes one token if there is one.
  bool Take(base::time_point now) {
    Refill(now);
    if (tokens_ < 1 - kRounding)
      return false;
    tokens_ -= 1;
    return true;
  }

  /// Forgets saved tokens, so that a return from an outage starts at the rate
  /// and not with a burst.
  void Empty(base::time_point now) {
    Refill(now);
    tokens_ = std::min(tokens_, 1.0);
  }

  /// @return when the next token will be there.
  base::time_point NextToken(base::time_point now) {
    Refill(now);
    if (tokens_ >= 1 - kRounding)
      return now;
    const std::chrono::duration<double> wait((1 - tokens_) / rate_);
    return now + std::chrono::ceil<std::chrono::microseconds>(wait);
  }

 private:
  // Sums of refills fall short of a whole token by rounding alone.
  static constexpr double kRounding = 1e-6;  // tokens

  void Refill(base::time_point now) {
    const std::chrono::duration<double> passed = now - refilled_;
    tokens_ = std::min(burst_, tokens_ + std::max(0.0, passed.count()) * rate_);
    refilled_ = std::max(refilled_, now);
  }

  double rate_;
  double burst_;
  double tokens_;
  base::time_point refilled_{};
};

}  // namespace flamingoshunt::store

#endif  // FLAMINGOSHUNT_STORE_TOKEN_BUCKET_H_
