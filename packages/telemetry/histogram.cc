#include "telemetry/histogram.h"

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <algorithm>
#include <atomic>
#include <cmath>

#include "base/errors.h"

namespace flamingoshunt::telemetry {
namespace {

constexpr unsigned kMaxBuckets = 200;

using log_axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
// The second argument makes each cell an atomic.
using cell = boost::histogram::accumulators::count<std::uint64_t, true>;
using storage = boost::histogram::dense_storage<cell>;
using cells = boost::histogram::histogram<std::tuple<log_axis>, storage>;

double Nanoseconds(base::duration length) {
  return static_cast<double>(length.count());
}

log_axis MakeAxis(const histogram_range& range) {
  FLAMINGOSHUNT_INVARIANT(range.low > base::duration::zero(),
                          range.low.count());
  FLAMINGOSHUNT_INVARIANT(range.high > range.low, range.high.count());
  FLAMINGOSHUNT_INVARIANT(range.buckets > 0 && range.buckets <= kMaxBuckets,
                          range.buckets);
  return {range.buckets, Nanoseconds(range.low), Nanoseconds(range.high)};
}

}  // namespace

struct histogram::state {
  explicit state(const histogram_range& range)
      : low(range.low),
        high(range.high),
        counts(std::make_tuple(MakeAxis(range)), storage{}) {}

  int Size() const { return counts.axis(0).size(); }
  std::uint64_t At(int index) const { return counts.at(index).value(); }

  base::duration UpperBound(int index) const {
    if (index + 1 >= Size())
      return high;
    return base::duration(std::llround(counts.axis(0).bin(index).upper()));
  }

  base::duration low;
  base::duration high;
  cells counts;
  std::atomic<base::duration::rep> sum = 0;
};

histogram::histogram(histogram_range range)
    : state_(std::make_unique<state>(range)) {}

histogram::~histogram() = default;

void histogram::Observe(base::duration length) {
  const base::duration positive = std::max(length, base::duration::zero());
  // The logarithm has no place for zero; short ones share the first bucket.
  const base::duration placed = std::max(positive, state_->low);
  state_->counts(Nanoseconds(placed));
  state_->sum.fetch_add(positive.count(), std::memory_order_relaxed);
}

std::vector<histogram::bucket> histogram::Buckets() const {
  std::vector<bucket> buckets;
  for (int index = 0; index < state_->Size(); ++index)
    buckets.push_back({state_->UpperBound(index), state_->At(index)});
  return buckets;
}

std::uint64_t histogram::Count() const {
  std::uint64_t count = 0;
  for (int index = 0; index <= state_->Size(); ++index)
    count += state_->At(index);
  return count;
}

base::duration histogram::Sum() const {
  return base::duration(state_->sum.load(std::memory_order_relaxed));
}

base::duration histogram::Quantile(double fraction) const {
  const std::uint64_t count = Count();
  if (count == 0)
    return base::duration::zero();
  const double rank = std::clamp(fraction, 0.0, 1.0) * double(count);
  std::uint64_t below = 0;
  for (int index = 0; index < state_->Size(); ++index) {
    below += state_->At(index);
    if (below > 0 && double(below) >= rank)
      return state_->UpperBound(index);
  }
  return state_->high;
}

}  // namespace flamingoshunt::telemetry
