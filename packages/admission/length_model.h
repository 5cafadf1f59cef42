// Defines the estimate of the length of an answer, learned by entry, workspace
// and the magnitude of the caller's max_tokens, and the threshold between short
// and long work of an entry.
#ifndef FLAMINGOSHUNT_ADMISSION_LENGTH_MODEL_H_
#define FLAMINGOSHUNT_ADMISSION_LENGTH_MODEL_H_

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "admission/messages.h"

namespace flamingoshunt::admission {

struct length_estimate {
  double answer_tokens = 0;
  double cost = 0;  ///< Answer tokens plus the weighted prompt tokens.
  bool is_long = false;
};

class length_model {
 public:
  length_estimate Estimate(const slot_request& request) const;

  /// Updates the estimates by a finished answer of @p request.
  void RecordAnswer(const slot_request& request, double answer_tokens);

  /// @return tokens above which an answer of @p entry is long.
  double LongThreshold(const base::entry_name& entry) const;

  /// @return the cost of @p request if its answer has the median length.
  double TypicalCost(const slot_request& request) const;

  /// @return the cost of a request, in answer tokens.
  static double Cost(std::uint64_t prompt_tokens, double answer_tokens);

  std::size_t size() const { return means_.size(); }

 private:
  static std::uint64_t KeyOf(const slot_request& request);

  std::unordered_map<std::uint64_t, double> means_;
  std::deque<std::uint64_t> insertion_order_;
  std::unordered_map<base::entry_name, double>
      medians_;  ///< Bounded by the catalogue.
};

}  // namespace flamingoshunt::admission

#endif  // FLAMINGOSHUNT_ADMISSION_LENGTH_MODEL_H_
