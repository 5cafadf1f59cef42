// Detects requests that crash the replicas running them and come again as they
// were. A crash, here, is any answer that breaks off, whatever the cause; a
// sound request is answered by the next replica, and that clears it.
#ifndef FLAMINGOSHUNT_GATEWAY_CRASH_GUARD_H_
#define FLAMINGOSHUNT_GATEWAY_CRASH_GUARD_H_

#include <optional>
#include <string_view>

#include "gateway/crash_attribution.h"

namespace flamingoshunt::gateway {

/// What a request is recognized by when it comes again.
struct request_identity {
  /// Of the workspace, the path without the query, and the body.
  base::fingerprint request;
  /// Of the method and the query, too.
  base::fingerprint exact_request;
};

/// What the report of a crash changed.
struct crash_count {
  bool counted = false;     ///< The crash is new and should reach the peers.
  std::size_t crashes = 0;  ///< Since the last answer, of this request.
  std::optional<base::fingerprint> blamed;  ///< Refused from now on.
};

/// Attributes crashes to requests. The crashes of an exact request also count
/// for all requests with its path and body, which are refused together unless
/// answers tell them apart.
class crash_guard : public crash_attribution {
 public:
  /// Crashes before a request is refused that was never answered. A request
  /// that was merely in flight at two crashes is still served; the deployment's
  /// rules limit the crashes that may follow the third.
  static constexpr std::size_t kCrashesBeforeRefusal = kMinCrashes;
  /// How long a crash report counts.
  static constexpr base::duration kReportLifetime = kEvidenceLifetime;
  /// Fingerprints tracked; beyond that those unused for longest are evicted.
  static constexpr std::size_t kMaxRequests = 4096;
  /// Older reports of peers don't count: this node may have started since and
  /// not know the answers that followed. It learns what peers refuse instead.
  static constexpr base::duration kMaxReportAge =
      std::chrono::milliseconds(1500);

  /// Between two lists of answers for the peers, which many different requests
  /// would fill while replicas lose answers.
  static constexpr base::duration kListingPeriod =
      std::chrono::milliseconds(250);

  crash_guard()
      : crash_attribution({.max_keys = kMaxRequests,
                           .trusts_own_order = true,
                           .repeats_answers = false,
                           .min_reported_crashes = 2,
                           .listing_period = kListingPeriod}) {}

  /// @return a hash that identifies a repeated request.
  static base::fingerprint Fingerprint(std::string_view workspace,
                                       std::string_view path,
                                       std::string_view body);

  /// @param target the path and the query.
  static request_identity Identify(std::string_view workspace,
                                   std::string_view method,
                                   std::string_view target,
                                   std::string_view body);

  /// Counts a crash that this node observed.
  /// @return whether this report is new and should be sent to the peers.
  bool Record(const crash_report& report, base::time_point now) {
    return Count(report, true, now).counted;
  }

  /// Counts a crash that this node (@p own) or a peer observed.
  crash_count Count(const crash_report& report, bool own, base::time_point now);

  /// A replica answered the whole request.
  /// @return whether it is refused no longer.
  bool RecordWholeAnswer(const request_identity& request, base::time_point now);

  /// @return whether @p request has crashed too many replicas.
  bool ShouldRefuse(base::fingerprint request, base::time_point now) const {
    return FindBlamed({request}, now).has_value();
  }
  bool ShouldRefuse(const request_identity& request,
                    base::time_point now) const {
    return ShouldRefuse(request.request, now) ||
           ShouldRefuse(request.exact_request, now);
  }

  /// @return whether this refused request may run after all, to find out
  ///         whether it still crashes replicas.
  bool TakeTrial(const request_identity& request, base::time_point now);
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_CRASH_GUARD_H_
