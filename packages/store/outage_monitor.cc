#include "store/outage_monitor.h"

#include <algorithm>
#include <utility>

namespace flamingoshunt::store {

void outage_monitor::RecordFailure(base::time_point now,
                                   base::duration undetected) {
  if (!failing_since_)
    failing_since_ = std::max(last_success_, now - undetected);
}

std::optional<outage> outage_monitor::RecordSuccess(base::time_point now) {
  last_success_ = now;
  if (!failing_since_)
    return std::nullopt;
  return outage{*std::exchange(failing_since_, std::nullopt), now};
}

}  // namespace flamingoshunt::store
