// Defines the metrics of the control duties, copied from their machines' own
// counters whenever a machine has acted.
#ifndef FLAMINGOSHUNT_DAEMON_DUTY_METRICS_H_
#define FLAMINGOSHUNT_DAEMON_DUTY_METRICS_H_

#include <array>

#include "admission/controller.h"
#include "telemetry/counters.h"

namespace flamingoshunt::daemon {

/// Gauges of the dispatch duty; totals since the start are gauges too, since
/// the machine counts them.
class dispatch_metrics {
 public:
  explicit dispatch_metrics(telemetry::metric_registry& registry);

  /// Called on the dispatch thread.
  void Update(const admission::controller& machine);

 private:
  static constexpr std::size_t kReasons = 9;  // of admission::refusal_reason

  telemetry::gauge& waiting_;
  telemetry::gauge& granted_;
  telemetry::gauge& preempted_;
  std::array<telemetry::gauge*, kReasons> refused_{};
};

/// Metrics of the replica duty.
struct replica_metrics {
  explicit replica_metrics(telemetry::metric_registry& registry);

  telemetry::gauge& serving;
  telemetry::gauge& instances;
  telemetry::counter& orders;
  telemetry::counter& closures;
};

}  // namespace flamingoshunt::daemon

#endif  // FLAMINGOSHUNT_DAEMON_DUTY_METRICS_H_
