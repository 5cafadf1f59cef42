// Defines exponential back-off with full jitter: the n-th wait is uniform
// between zero and low * 2^n, at most high. Full jitter spreads the nodes of a
// fleet evenly, so that the platform's return meets no crowd.
#ifndef FLAMINGOSHUNT_STORE_BACKOFF_H_
#define FLAMINGOSHUNT_STORE_BACKOFF_H_

#include <algorithm>
#include <chrono>

#include "base/clock.h"
#include "base/random.h"

namespace flamingoshunt::store {

class backoff {
 public:
  backoff(base::duration low, base::duration high) : low_(low), high_(high) {}

  /// @return the next wait; each call doubles the range of the one after it.
  base::duration Next(base::random_engine& random) {
    const base::duration range =
        std::min(high_, base::duration(low_ * (1LL << doublings_)));
    if (range < high_)
      ++doublings_;
    return std::chrono::duration_cast<base::duration>(range *
                                                      base::RandomUnit(random));
  }

  void Reset() { doublings_ = 0; }

 private:
  base::duration low_;
  base::duration high_;
  int doublings_ = 0;
};

}  // namespace flamingoshunt::store

#endif  // FLAMINGOSHUNT_STORE_BACKOFF_H_
