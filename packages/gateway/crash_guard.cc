#include "gateway/crash_guard.h"

#include <algorithm>
#include <string>

#include "base/hash.h"

namespace flamingoshunt::gateway {

base::fingerprint crash_guard::Fingerprint(std::string_view workspace,
                                           std::string_view path,
                                           std::string_view body) {
  return base::fingerprint(
      base::Hash64(body, base::Hash64(path, base::Hash64(workspace))));
}

bool crash_guard::Record(const crash_report& report, base::time_point now) {
  Expire(now);
  history& crashes = histories_by_request_[report.request];
  crashes.last_crash_at = now;
  return crashes.replicas.insert(report.replica).second;
}

std::size_t crash_guard::Crashes(base::fingerprint request) const {
  const auto it = histories_by_request_.find(request);
  return it == histories_by_request_.end() ? 0 : it->second.replicas.size();
}

bool crash_guard::ShouldRefuse(base::fingerprint request,
                               base::time_point now) const {
  const auto it = histories_by_request_.find(request);
  return it != histories_by_request_.end() &&
         it->second.replicas.size() >= kCrashesBeforeRefusal &&
         now - it->second.last_crash_at < kReportLifetime;
}

void crash_guard::Expire(base::time_point now) {
  if (histories_by_request_.size() < kMaxRequests)
    return;
  std::erase_if(histories_by_request_, [&](const auto& entry) {
    return now - entry.second.last_crash_at >= kReportLifetime;
  });
  while (histories_by_request_.size() >= kMaxRequests) {
    histories_by_request_.erase(std::min_element(
        histories_by_request_.begin(), histories_by_request_.end(),
        [](const auto& a, const auto& b) {
          return a.second.last_crash_at < b.second.last_crash_at;
        }));
  }
}

}  // namespace flamingoshunt::gateway
