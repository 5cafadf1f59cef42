// Counts how requests end by route and by workspace, so that an operator sees
// who is served when not all can be. The number of counters is bounded: routes
// and workspaces beyond the first ones are counted together.
#ifndef FLAMINGOSHUNT_GATEWAY_OUTCOME_METRICS_H_
#define FLAMINGOSHUNT_GATEWAY_OUTCOME_METRICS_H_

#include <array>
#include <cstddef>
#include <map>
#include <string>

#include "telemetry/counters.h"

namespace flamingoshunt::gateway {

enum class request_outcome {
  kQueued,   ///< Waited for a slot.
  kOnTime,   ///< Complete, first answer and gaps on time.
  kLate,     ///< Complete, not on time.
  kRefused,  ///< Certainly not executed.
  kReturned  ///< Came with less time left than its route allows.
};
inline constexpr std::size_t kRequestOutcomes = 5;

/// Used by one thread; the registry may be read by any.
class outcome_metrics {
 public:
  /// Routes, and workspaces, that are counted by themselves.
  static constexpr std::size_t kMaxNames = 64;

  /// @param registry outlives this.
  explicit outcome_metrics(telemetry::metric_registry& registry)
      : registry_(registry) {}

  /// @param route     of the configuration in force.
  /// @param workspace of it; empty for an anonymous caller.
  void Count(request_outcome outcome,
             const std::string& route,
             const std::string& workspace);

 private:
  using outcome_counters = std::array<telemetry::counter*, kRequestOutcomes>;
  using counters_by_name = std::map<std::string, outcome_counters>;

  outcome_counters& Find(counters_by_name& known,
                         const std::string& kind,
                         const std::string& name);

  telemetry::metric_registry& registry_;
  counters_by_name routes_;
  counters_by_name workspaces_;
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_OUTCOME_METRICS_H_
