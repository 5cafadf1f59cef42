// Estimates how many tokens the answer of a request will have, as a
// distribution learned from finished answers of the same route and model: by
// how far they were off the caller's estimate, or, without one, off the usual
// answer. It uses no sockets and no clock.
//
// Load pattern: requests that look alike have answers that differ by a factor
// of ten and more; half of the callers give no estimate, and the estimates of
// the others are right at the median only. One workspace may send many requests
// with false estimates.
#ifndef FLAMINGOSHUNT_GATEWAY_LENGTH_ESTIMATE_H_
#define FLAMINGOSHUNT_GATEWAY_LENGTH_ESTIMATE_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "base/ids.h"

namespace flamingoshunt::gateway {

/// What is known of an answer before it is written.
struct length_query {
  std::string pool;                ///< Route and model.
  std::int64_t max_tokens = 0;     ///< Allowed by the caller; 0 if unknown.
  std::int64_t hinted_tokens = 0;  ///< The caller's estimate; 0 without one.
  double usual_tokens = 100;       ///< Published mean of the service.
};

/// Output tokens; each at least 1.
struct length_distribution {
  double median = 1;
  double mean = 1;
  double high = 1;  ///< Exceeded by one answer in ten.
};

/// Learns the lengths of answers; its memory is bounded.
class length_estimator {
 public:
  /// Histograms that are kept, of about 700 bytes each.
  static constexpr std::size_t kMaxHistograms = 512;

  length_distribution Estimate(const length_query& query) const;

  /// Records a finished answer.
  /// @param workspace of the caller: one workspace has a bounded weight.
  void Record(const length_query& query,
              const base::workspace_id& workspace,
              double tokens);

  std::size_t size() const { return histograms_.size(); }

 private:
  /// Bins of log2(tokens / reference).
  static constexpr int kBinsPerOctave = 4;
  static constexpr int kOctaves = 20;
  static constexpr std::size_t kBins = kBinsPerOctave * kOctaves;
  static constexpr std::size_t kWorkspaceSlots = 16;

  /// Counts that decay with every record.
  struct histogram {
    std::array<double, kBins> bins{};
    double total = 0;
    /// Part of the total by a hash of the workspace.
    std::array<double, kWorkspaceSlots> by_workspace{};
    std::uint64_t updated_at = 0;  ///< Number of the last record.

    void Record(std::size_t bin, std::size_t workspace_slot);
  };
  /// A group of similar requests.
  struct group {
    std::string pool;
    bool hinted = false;
    int magnitude = 0;  ///< Of the estimate or the allowed maximum; -1: any.
    auto operator<=>(const group&) const = default;  // NOLINT
  };

  static double Reference(const length_query& query);
  static group GroupOf(const length_query& query);
  static std::size_t BinOf(double ratio);
  static const std::array<double, kBins>& BinValues();
  static const std::array<double, kBins>& Prior();
  const histogram* Find(const group& key) const;
  void Update(const group& key, std::size_t bin, std::size_t workspace_slot);

  std::map<group, histogram> histograms_;
  std::uint64_t records_ = 0;
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_LENGTH_ESTIMATE_H_
