// Detects requests that crash the replicas running them. Every node counts the
// crashes that it observed and those that its peers report; after the third the
// request is refused on all nodes.
#ifndef FLAMINGOSHUNT_GATEWAY_CRASH_GUARD_H_
#define FLAMINGOSHUNT_GATEWAY_CRASH_GUARD_H_

#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace flamingoshunt::gateway {

/// A request was in flight at a replica when that replica crashed.
struct crash_report {
  base::fingerprint request;
  base::instance_id replica;
  /// Of the prompt, if the connection closed before the first event: any of
  /// them may be the cause. Otherwise empty.
  std::vector<base::fingerprint> prompt_parts = {};
  base::duration attempt_duration{};  ///< From sending to the crash.
  base::duration age{};               ///< Since the crash.
  bool operator==(const crash_report&) const = default;
};

/// Counts crashes per request fingerprint.
class crash_guard {
 public:
  /// Crashes of different replicas before a request is refused. A request that
  /// was merely in flight at two crashes is still served; the deployment's
  /// rules limit the crashes that may follow the third.
  static constexpr std::size_t kCrashesBeforeRefusal = 3;
  /// How long a crash report counts.
  static constexpr base::duration kReportLifetime = std::chrono::minutes(5);
  /// Requests tracked; beyond that the oldest histories are evicted.
  static constexpr std::size_t kMaxRequests = 4096;

  /// @return a hash that identifies a repeated request.
  static base::fingerprint Fingerprint(std::string_view workspace,
                                       std::string_view path,
                                       std::string_view body);

  /// @return whether this report is new and should be sent to the peers.
  bool Record(const crash_report& report, base::time_point now);

  /// @return the replicas that crashed while they ran @p request.
  std::size_t Crashes(base::fingerprint request) const;

  /// @return whether @p request has crashed too many replicas.
  bool ShouldRefuse(base::fingerprint request, base::time_point now) const;

 private:
  struct history {
    std::set<base::instance_id> replicas;
    base::time_point last_crash_at{};
  };

  void Expire(base::time_point now);

  std::unordered_map<base::fingerprint, history> histories_by_request_;
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_CRASH_GUARD_H_
