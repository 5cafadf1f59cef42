// Defines which requests crash the replicas that run them. Every node counts
// the crashes that it saw and those that its peers tell of; from the third on
// the request is refused everywhere.
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
  bool operator==(const crash_report&) const = default;
};

class crash_guard {
 public:
  /// Crashes at different replicas before a request is refused. Bystanders of
  /// two crashes go on; the rules bound what may follow the third.
  static constexpr std::size_t kCrashesBeforeRefusal = 3;
  /// How long a sighting counts.
  static constexpr base::duration kReportLifetime = std::chrono::minutes(5);
  /// Requests remembered; beyond that the oldest sightings go.
  static constexpr std::size_t kMaxRequests = 4096;

  /// @return what names a request that comes again.
  static base::fingerprint Fingerprint(std::string_view workspace,
                                       std::string_view path,
                                       std::string_view body);

  /// @return whether this sighting is new, hence worth telling peers.
  bool Record(const crash_report& report, base::time_point now);

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
