// Detects parts of prompts that crash the replicas which begin to write an
// answer on them. Requests that contain such a part need have nothing else in
// common, and share their other parts with requests that are served; so the
// crashes are counted by part, and answers vouch for the parts that they were
// written on.
#ifndef FLAMINGOSHUNT_GATEWAY_PROMPT_PART_GUARD_H_
#define FLAMINGOSHUNT_GATEWAY_PROMPT_PART_GUARD_H_

#include <optional>

#include "gateway/crash_attribution.h"

namespace flamingoshunt::gateway {

/// Attributes crashes to prompt parts.
class prompt_part_guard : public crash_attribution {
 public:
  /// Parts tracked; beyond that those unused for longest are evicted.
  static constexpr std::size_t kMaxParts = 8192;

  prompt_part_guard() : crash_attribution({.max_keys = kMaxParts}) {}

  /// Counts a crash. Of several parts that could be the cause, the most
  /// specific one is blamed, whose refusal affects the fewest requests.
  /// @return the part that is blamed from now on, if any.
  std::optional<base::fingerprint> RecordCrash(const crash_report& report,
                                               base::time_point now);
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_PROMPT_PART_GUARD_H_
