#include "admission/length_model.h"

#include <algorithm>
#include <bit>

#include "base/hash.h"

namespace flamingoshunt::admission {

namespace {

/// Answer tokens assumed before an entry has finished any request.
constexpr double kDefaultAnswerTokens = 128;
/// An answer of more than this many times the median length is long.
constexpr double kLongFactor = 4;
/// Prompt tokens that cost as much as one answer token.
constexpr double kPromptTokensPerAnswerToken = 20;
constexpr double kMeanGain = 0.05;
constexpr double kMedianGain = 0.02;
/// Stored means, of about 64 bytes each.
constexpr std::size_t kMaxMeans = 8'192;

}  // namespace

double length_model::Cost(std::uint64_t prompt_tokens, double answer_tokens) {
  return 1 + answer_tokens +
         static_cast<double>(prompt_tokens) / kPromptTokensPerAnswerToken;
}

std::uint64_t length_model::KeyOf(const slot_request& request) {
  const auto max_tokens_bits =
      static_cast<std::uint64_t>(std::bit_width(request.max_tokens));
  return base::Hash64(request.shape.workspace.str(),
                      base::Hash64(request.shape.entry.str(), max_tokens_bits));
}

double length_model::LongThreshold(const base::entry_name& entry) const {
  const auto median = medians_.find(entry);
  return kLongFactor *
         (median == medians_.end() ? kDefaultAnswerTokens : median->second);
}

double length_model::TypicalCost(const slot_request& request) const {
  const auto median = medians_.find(request.shape.entry);
  return Cost(request.prompt_tokens,
              median == medians_.end() ? kDefaultAnswerTokens : median->second);
}

length_estimate length_model::Estimate(const slot_request& request) const {
  const auto mean = means_.find(KeyOf(request));
  const auto median = medians_.find(request.shape.entry);
  double tokens = kDefaultAnswerTokens;
  if (mean != means_.end())
    tokens = mean->second;
  else if (median != medians_.end())
    tokens = median->second;
  if (request.max_tokens > 0)
    tokens = std::min(tokens, static_cast<double>(request.max_tokens));
  return {tokens, Cost(request.prompt_tokens, tokens),
          tokens > LongThreshold(request.shape.entry)};
}

void length_model::RecordAnswer(const slot_request& request,
                                double answer_tokens) {
  const auto key = KeyOf(request);
  const auto [mean, is_new] = means_.try_emplace(key, answer_tokens);
  if (is_new) {
    insertion_order_.push_back(key);
    if (insertion_order_.size() > kMaxMeans) {
      means_.erase(insertion_order_.front());
      insertion_order_.pop_front();
    }
  } else {
    mean->second += kMeanGain * (answer_tokens - mean->second);
  }
  auto& median = medians_.try_emplace(request.shape.entry, kDefaultAnswerTokens)
                     .first->second;
  // Stochastic estimate of the median: a step up for each longer answer and a
  // step down for each shorter one converge where both are equally frequent.
  median *= answer_tokens > median ? 1 + kMedianGain : 1 - kMedianGain;
  median = std::max(1.0, median);
}

}  // namespace flamingoshunt::admission
