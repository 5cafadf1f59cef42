// Defines the distribution of durations: counts in buckets whose bounds grow
// by a constant factor, kept by Boost.Histogram, changed by any thread without
// a lock.
#ifndef FLAMINGOSHUNT_TELEMETRY_HISTOGRAM_H_
#define FLAMINGOSHUNT_TELEMETRY_HISTOGRAM_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "base/clock.h"

namespace flamingoshunt::telemetry {

/// The span that a histogram resolves. Durations below land in its first
/// bucket, those above in an overflow bucket.
struct histogram_range {
  base::duration low = std::chrono::microseconds(100);
  base::duration high = std::chrono::minutes(2);
  unsigned buckets = 40;  ///< At most 200.
};

class histogram {
 public:
  /// @throws base::internal_error when the range is empty or has no buckets.
  explicit histogram(histogram_range range = {});
  ~histogram();
  histogram(const histogram&) = delete;
  histogram& operator=(const histogram&) = delete;

  /// Counts @p length; a negative one counts as zero.
  void Observe(base::duration length);

  /// One bucket: how many durations were at most @c upper_bound and above the
  /// bound of the bucket before.
  struct bucket {
    base::duration upper_bound{};
    std::uint64_t count = 0;
  };

  /// @return the buckets by rising bound, without the overflow bucket.
  std::vector<bucket> Buckets() const;

  std::uint64_t Count() const;
  base::duration Sum() const;

  /// @param fraction from 0 to 1, as in 0.99.
  /// @return the upper bound of the bucket that holds this quantile, hence too
  ///         high by at most one bucket; the range's high end for the overflow
  ///         bucket; zero when nothing was observed.
  base::duration Quantile(double fraction) const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace flamingoshunt::telemetry

#endif  // FLAMINGOSHUNT_TELEMETRY_HISTOGRAM_H_
