#include "daemon/request_metrics.h"

namespace flamingoshunt::daemon {

request_metrics::request_metrics(telemetry::metric_registry& registry)
    : received(registry.AddCounter("flamingoshunt_requests_total",
                                   "Caller requests that passed the checks.")),
      completed(registry.AddCounter("flamingoshunt_completed_total",
                                    "Requests answered whole.")),
      refused(registry.AddCounter("flamingoshunt_refused_total",
                                  "Requests answered as not run.")),
      failed(registry.AddCounter("flamingoshunt_failed_total",
                                 "Requests whose outcome is unknown.")),
      callers_gone(registry.AddCounter("flamingoshunt_callers_gone_total",
                                       "Callers that left before the end.")),
      attempts(registry.AddCounter("flamingoshunt_attempts_total",
                                   "Attempts started at endpoints.")),
      broken_attempts(
          registry.AddCounter("flamingoshunt_broken_attempts_total",
                              "Attempts that ended without an answer.")),
      resumed_streams(
          registry.AddCounter("flamingoshunt_resumed_streams_total",
                              "Attempts that continued a broken stream.")),
      tokens(registry.AddCounter("flamingoshunt_tokens_total",
                                 "Tokens passed on to callers.")),
      in_progress(registry.AddGauge("flamingoshunt_requests_in_progress",
                                    "Requests in this node now.")),
      first_token(
          registry.AddHistogram("flamingoshunt_first_token_seconds",
                                "From the request to its first token.")),
      between_tokens(
          registry.AddHistogram("flamingoshunt_between_tokens_seconds",
                                "Between two pieces of one answer.")),
      duration(registry.AddHistogram("flamingoshunt_request_seconds",
                                     "From the request to its end.")) {}

}  // namespace flamingoshunt::daemon
