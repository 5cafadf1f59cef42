#include "gateway/metrics.h"

namespace flamingoshunt::gateway {
namespace {

// In the order of runtime::bound_event.
std::array<telemetry::counter*, runtime::kBoundEvents> AddBoundEvents(
    telemetry::metric_registry& registry) {
  constexpr std::array<const char*, runtime::kBoundEvents> kNames{
      "idle_closed",        "reading_closed",     "writing_closed",
      "connection_refused", "request_refused",    "framing_refused",
      "too_slow",           "answer_not_buffered"};
  std::array<telemetry::counter*, runtime::kBoundEvents> counters{};
  for (std::size_t i = 0; i < kNames.size(); ++i)
    counters[i] = &registry.AddCounter(
        "gateway_bounds_total",
        "Refusals and closes that keep callers within the instance's memory "
        "and descriptors",
        {{"event", kNames[i]}});
  return counters;
}

}  // namespace

metrics::metrics(telemetry::metric_registry& registry)
    : requests(registry.AddCounter("gateway_requests_total",
                                   "Requests read from callers")),
      complete(registry.AddCounter("gateway_complete_total",
                                   "Requests with a replica's whole answer")),
      refused(registry.AddCounter("gateway_refused_total",
                                  "Requests refused as surely not run")),
      rejected(registry.AddCounter("gateway_rejected_total",
                                   "Requests that no configuration allows")),
      failed(registry.AddCounter("gateway_failed_total",
                                 "Requests that may have run and failed")),
      errors(registry.AddCounter("gateway_errors_total",
                                 "Requests ended by an unexpected error")),
      callers_gone(registry.AddCounter("gateway_left_total",
                                       "Requests whose caller went away")),
      attempts(registry.AddCounter("gateway_attempts_total",
                                   "Requests sent to replicas")),
      passed_on(registry.AddCounter("gateway_passed_on_total",
                                    "Requests sent to a peer")),
      taken_over(registry.AddCounter("gateway_taken_over_total",
                                     "Requests received from peers")),
      resumed(registry.AddCounter("gateway_resumed_total",
                                  "Streams continued at another replica")),
      standbys(registry.AddCounter(
          "gateway_standbys_total",
          "Second attempts started beside a silent replica")),
      standbys_taken(
          registry.AddCounter("gateway_standbys_taken_total",
                              "Second attempts that answered first")),
      stalls(registry.AddCounter("gateway_stalls_total",
                                 "Silences taken for a standing replica")),
      leaves_read(registry.AddCounter(
          "gateway_leaves_read_total",
          "Replicas whose answers said that they are leaving")),
      pauses_read(registry.AddCounter("gateway_pauses_read_total",
                                      "Rejections that asked for a pause")),
      bound_events(AddBoundEvents(registry)),
      waiting(registry.AddGauge("gateway_waiting", "Requests in the line")),
      running(registry.AddGauge("gateway_running", "Requests in the node")),
      cold(registry.AddGauge("gateway_cold_replicas",
                             "Replicas that take few requests while cold")),
      running_in_evacuated(registry.AddGauge(
          "gateway_evacuated_running",
          "Requests of this node that run in evacuated failure domains")),
      unread(
          registry.AddHistogram("gateway_unread_seconds",
                                "From a request's last byte to its reading")),
      loop_delay(
          registry.AddHistogram("gateway_loop_delay_seconds",
                                "How late timers of the I/O thread fire")),
      queue_wait(registry.AddHistogram("gateway_wait_seconds",
                                       "From arrival to a place")),
      first_event(registry.AddHistogram("gateway_first_event_seconds",
                                        "From arrival to the first event")),
      event_gap(registry.AddHistogram("gateway_event_gap_seconds",
                                      "Between events of a stream")),
      request_duration(
          registry.AddHistogram("gateway_whole_seconds",
                                "From arrival to the end of the answer")),
      outcomes(registry),
      errors_of_estimates(registry) {}

}  // namespace flamingoshunt::gateway
