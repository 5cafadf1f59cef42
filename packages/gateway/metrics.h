// Defines the counters and histograms of the request path.
#ifndef FLAMINGOSHUNT_GATEWAY_METRICS_H_
#define FLAMINGOSHUNT_GATEWAY_METRICS_H_

#include <array>

#include "gateway/estimate_errors.h"
#include "gateway/outcome_metrics.h"
#include "runtime/memory_budget.h"
#include "telemetry/counters.h"

namespace flamingoshunt::gateway {

struct metrics {
  explicit metrics(telemetry::metric_registry& registry);

  telemetry::counter& requests;
  telemetry::counter& complete;      ///< Answered completely by a replica.
  telemetry::counter& refused;       ///< Certainly not executed.
  telemetry::counter& rejected;      ///< Not allowed: 400, 401, 404.
  telemetry::counter& failed;        ///< Outcome unknown, or answer cut off.
  telemetry::counter& errors;        ///< Ended by an unexpected error.
  telemetry::counter& callers_gone;  ///< The caller disconnected.
  telemetry::counter& attempts;
  telemetry::counter& passed_on;   ///< Sent to a peer.
  telemetry::counter& taken_over;  ///< Received from a peer.
  telemetry::counter& resumed;     ///< Streams resumed on another replica.
  telemetry::counter& standbys;    ///< Second attempts beside a silent replica.
  telemetry::counter& standbys_taken;  ///< Of these, answered first.
  telemetry::counter& stalls;          ///< Replicas found stalled.
  telemetry::counter& leaves_read;  ///< Replicas whose answers said they leave.
  telemetry::counter& pauses_read;  ///< Rejections that asked for a pause.
  /// By runtime::bound_event.
  std::array<telemetry::counter*, runtime::kBoundEvents> bound_events;
  telemetry::gauge& waiting;
  telemetry::gauge& running;
  telemetry::gauge& cold;                  ///< Replicas that are cold.
  telemetry::gauge& running_in_evacuated;  ///< At evacuated replicas.
  telemetry::histogram& unread;       ///< From the last byte to its reading.
  telemetry::histogram& loop_delay;   ///< Of a timer of the I/O thread.
  telemetry::histogram& queue_wait;   ///< From arrival to a slot.
  telemetry::histogram& first_event;  ///< From arrival, streams.
  telemetry::histogram& event_gap;
  telemetry::histogram& request_duration;  ///< From arrival to the end.
  outcome_metrics outcomes;                ///< By route and workspace.
  estimate_errors errors_of_estimates;
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_METRICS_H_
