#include "gateway/metrics.h"

namespace flamingoshunt::gateway {

metrics::metrics(telemetry::metric_registry& registry)
    : requests(registry.AddCounter("gateway_requests_total",
                                   "Requests read from callers")),
      complete(
          registry.AddCounter("gateway_complete_total",
                              "Requests answered completely by a replica")),
      refused(
          registry.AddCounter("gateway_refused_total",
                              "Requests refused and certainly not executed")),
      rejected(
          registry.AddCounter("gateway_rejected_total",
                              "Requests not allowed by the configuration")),
      failed(registry.AddCounter(
          "gateway_failed_total",
          "Requests that failed and may have been executed")),
      callers_gone(registry.AddCounter("gateway_left_total",
                                       "Requests whose caller disconnected")),
      attempts(registry.AddCounter("gateway_attempts_total",
                                   "Requests sent to replicas")),
      resumed(registry.AddCounter("gateway_resumed_total",
                                  "Streams resumed on another replica")),
      stalls(registry.AddCounter("gateway_stalls_total",
                                 "Replicas found stalled")),
      waiting(registry.AddGauge("gateway_waiting", "Requests in the queue")),
      running(registry.AddGauge("gateway_running",
                                "Requests in progress at the node")),
      queue_wait(registry.AddHistogram("gateway_wait_seconds",
                                       "From arrival to a slot")),
      first_event(registry.AddHistogram("gateway_first_event_seconds",
                                        "From arrival to the first event")),
      event_gap(registry.AddHistogram("gateway_event_gap_seconds",
                                      "Between events of a stream")),
      request_duration(
          registry.AddHistogram("gateway_whole_seconds",
                                "From arrival to the end of the answer")) {}

}  // namespace flamingoshunt::gateway
