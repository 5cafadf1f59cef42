// Defines the counters and distributions of the request path.
#ifndef FLAMINGOSHUNT_GATEWAY_METRICS_H_
#define FLAMINGOSHUNT_GATEWAY_METRICS_H_

#include "telemetry/counters.h"

namespace flamingoshunt::gateway {

struct metrics {
  explicit metrics(telemetry::metric_registry& registry);

  telemetry::counter& requests;
  telemetry::counter& complete;      ///< Answered by a replica, whole.
  telemetry::counter& refused;       ///< Surely not run.
  telemetry::counter& rejected;      ///< Not allowed: 400, 401, 404.
  telemetry::counter& failed;        ///< Outcome unknown, or broken off.
  telemetry::counter& callers_gone;  ///< The caller went away.
  telemetry::counter& attempts;
  telemetry::counter& resumed;  ///< Streams continued at another replica.
  telemetry::counter& stalls;   ///< Silences taken for a standing replica.
  telemetry::gauge& waiting;
  telemetry::gauge& running;
  telemetry::histogram& queue_wait;   ///< From arrival to a place.
  telemetry::histogram& first_event;  ///< From arrival, streams.
  telemetry::histogram& event_gap;
  telemetry::histogram& request_duration;  ///< From arrival to the end.
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_METRICS_H_
