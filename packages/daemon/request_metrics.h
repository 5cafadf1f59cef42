// Defines the metrics of the request path, registered once for all I/O threads.
#ifndef FLAMINGOSHUNT_DAEMON_REQUEST_METRICS_H_
#define FLAMINGOSHUNT_DAEMON_REQUEST_METRICS_H_

#include "telemetry/counters.h"

namespace flamingoshunt::daemon {

struct request_metrics {
  explicit request_metrics(telemetry::metric_registry& registry);

  telemetry::counter& received;
  telemetry::counter& completed;
  telemetry::counter& refused;  ///< Answered as surely not run.
  telemetry::counter& failed;   ///< Answered as unknown, or cut.
  telemetry::counter& callers_gone;
  telemetry::counter& attempts;
  telemetry::counter& broken_attempts;
  telemetry::counter& resumed_streams;
  telemetry::counter& tokens;
  telemetry::gauge& in_progress;
  telemetry::histogram& first_token;
  telemetry::histogram& between_tokens;
  telemetry::histogram& duration;
};

}  // namespace flamingoshunt::daemon

#endif  // FLAMINGOSHUNT_DAEMON_REQUEST_METRICS_H_
