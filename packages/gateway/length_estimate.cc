#include "gateway/length_estimate.h"

#include <algorithm>
#include <bit>
#include <cmath>

#include "base/hash.h"

namespace flamingoshunt::gateway {
namespace {

// A histogram holds about the last 200 answers: a few seconds of a busy node.
constexpr double kRetention = 1 - 1.0 / 200;
// Answers that the wider group's distribution weighs in a narrower one.
constexpr double kParentAnswers = 8;
// Standard deviation of the initial distribution, in octaves: callers'
// estimates are often off by a factor of two and more.
constexpr double kPriorOctaves = 1;
// Most of a histogram that answers of one workspace may make up, unless another
// one has as many, and while the others have at least this many answers there.
constexpr double kMaxWorkspaceShare = 0.25;
constexpr double kMinOtherAnswers = 4;
// Retention at an answer beyond that share: the others' answers fade slowly, so
// that a workspace that stays alone is learned in the end.
constexpr double kSlowRetention = 1 - 1.0 / 4000;
constexpr double kMedianQuantile = 0.5;
constexpr double kHighQuantile = 0.9;
constexpr int kAnyMagnitude = -1;

}  // namespace

// @return the tokens that a ratio of 1 stands for.
double length_estimator::Reference(const length_query& query) {
  return std::max(1.0, query.hinted_tokens > 0
                           ? static_cast<double>(query.hinted_tokens)
                           : query.usual_tokens);
}

length_estimator::group length_estimator::GroupOf(const length_query& query) {
  const bool hinted = query.hinted_tokens > 0;
  const std::int64_t size = hinted ? query.hinted_tokens : query.max_tokens;
  const auto magnitude = std::bit_width(
      static_cast<std::uint64_t>(std::max<std::int64_t>(size, 0)));
  return {query.pool, hinted, static_cast<int>(magnitude)};
}

std::size_t length_estimator::BinOf(double ratio) {
  constexpr double kCenter = static_cast<double>(kBins) / 2;
  const double bin = std::log2(ratio) * kBinsPerOctave + kCenter;
  return static_cast<std::size_t>(
      std::clamp(std::floor(bin + 0.5), 0.0, static_cast<double>(kBins - 1)));
}

// @return the ratio that each bin stands for.
const std::array<double, length_estimator::kBins>&
length_estimator::BinValues() {
  static const auto values = [] {
    std::array<double, kBins> computed{};
    for (std::size_t i = 0; i < kBins; ++i)
      computed[i] =
          std::exp2((static_cast<double>(i) - kBins / 2.0) / kBinsPerOctave);
    return computed;
  }();
  return values;
}

// @return the distribution assumed before any answer; its sum is 1.
const std::array<double, length_estimator::kBins>& length_estimator::Prior() {
  static const auto distribution = [] {
    std::array<double, kBins> computed{};
    double sum = 0;
    for (std::size_t i = 0; i < kBins; ++i) {
      const double octaves =
          (static_cast<double>(i) - kBins / 2.0) / kBinsPerOctave;
      computed[i] =
          std::exp(-octaves * octaves / 2 / (kPriorOctaves * kPriorOctaves));
      sum += computed[i];
    }
    for (double& each : computed)
      each /= sum;
    return computed;
  }();
  return distribution;
}

const length_estimator::histogram* length_estimator::Find(
    const group& key) const {
  const auto it = histograms_.find(key);
  return it == histograms_.end() ? nullptr : &it->second;
}

length_distribution length_estimator::Estimate(
    const length_query& query) const {
  group key = GroupOf(query);
  const histogram* narrow = Find(key);
  key.magnitude = kAnyMagnitude;
  const histogram* wide = Find(key);
  // Each level counts like a few answers in the next narrower one.
  const double wide_total = (wide ? wide->total : 0) + kParentAnswers;
  const double total = (narrow ? narrow->total : 0) + kParentAnswers;
  const double reference = Reference(query);
  const double most = query.max_tokens > 0
                          ? static_cast<double>(query.max_tokens)
                          : reference * BinValues().back();
  length_distribution result{0, 0, 0};
  double below = 0;
  for (std::size_t i = 0; i < kBins; ++i) {
    const double from_wide =
        ((wide ? wide->bins[i] : 0) + kParentAnswers * Prior()[i]) / wide_total;
    const double weight =
        ((narrow ? narrow->bins[i] : 0) + kParentAnswers * from_wide) / total;
    const double tokens = std::clamp(reference * BinValues()[i], 1.0, most);
    below += weight;
    result.mean += weight * tokens;
    if (result.median == 0 && below >= kMedianQuantile)
      result.median = tokens;
    if (result.high == 0 && below >= kHighQuantile)
      result.high = tokens;
  }
  return result;
}

void length_estimator::histogram::Record(std::size_t bin,
                                         std::size_t workspace_slot) {
  const double own = by_workspace[workspace_slot];
  double largest_other = 0;
  for (std::size_t i = 0; i < kWorkspaceSlots; ++i) {
    if (i != workspace_slot)
      largest_other = std::max(largest_other, by_workspace[i]);
  }
  const bool over_share =
      own > std::max(kMaxWorkspaceShare * total, largest_other) &&
      total - own >= kMinOtherAnswers;
  const double retention = over_share ? kSlowRetention : kRetention;
  for (double& each : bins)
    each *= retention;
  for (double& each : by_workspace)
    each *= retention;
  total *= retention;
  if (over_share)
    return;
  bins[bin] += 1;
  by_workspace[workspace_slot] += 1;
  total += 1;
}

void length_estimator::Update(const group& key,
                              std::size_t bin,
                              std::size_t workspace_slot) {
  if (histograms_.size() >= kMaxHistograms && !histograms_.contains(key))
    histograms_.erase(std::min_element(histograms_.begin(), histograms_.end(),
                                       [](const auto& a, const auto& b) {
                                         return a.second.updated_at <
                                                b.second.updated_at;
                                       }));
  histogram& counts = histograms_[key];
  counts.updated_at = records_;
  counts.Record(bin, workspace_slot);
}

void length_estimator::Record(const length_query& query,
                              const base::workspace_id& workspace,
                              double tokens) {
  ++records_;
  const std::size_t bin = BinOf(std::max(1.0, tokens) / Reference(query));
  const std::size_t slot = base::Hash64(workspace.str()) % kWorkspaceSlots;
  group key = GroupOf(query);
  Update(key, bin, slot);
  key.magnitude = kAnyMagnitude;
  Update(key, bin, slot);
}

}  // namespace flamingoshunt::gateway
