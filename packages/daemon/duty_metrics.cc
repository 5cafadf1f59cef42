#include "daemon/duty_metrics.h"

namespace flamingoshunt::daemon {
namespace {

constexpr std::array kReasonNames = {
    "unknown_entry", "over_limit",   "queue_full",  "deadline", "no_replica",
    "quarantined",   "retry_budget", "unconfirmed", "stopping"};

}  // namespace

dispatch_metrics::dispatch_metrics(telemetry::metric_registry& registry)
    : waiting_(registry.AddGauge("flamingoshunt_waiting_requests",
                                 "Requests that wait for a place.")),
      granted_(registry.AddGauge("flamingoshunt_granted_places",
                                 "Places granted since the start.")),
      preempted_(registry.AddGauge("flamingoshunt_preempted_streams",
                                   "Streams preempted since the start.")) {
  for (std::size_t reason = 0; reason < kReasons; ++reason)
    refused_[reason] = &registry.AddGauge("flamingoshunt_refused_places",
                                          "Places refused since the start.",
                                          {{"reason", kReasonNames[reason]}});
}

void dispatch_metrics::Update(const admission::controller& machine) {
  const auto& counters = machine.counters();
  waiting_.Set(static_cast<std::int64_t>(machine.QueuedRequests()));
  granted_.Set(static_cast<std::int64_t>(counters.granted));
  preempted_.Set(static_cast<std::int64_t>(counters.preempted));
  for (std::size_t reason = 0; reason < kReasons; ++reason)
    refused_[reason]->Set(static_cast<std::int64_t>(counters.refused[reason]));
}

replica_metrics::replica_metrics(telemetry::metric_registry& registry)
    : serving(registry.AddGauge("flamingoshunt_serving_replicas",
                                "Replicas that take new work.")),
      instances(
          registry.AddGauge("flamingoshunt_listed_instances",
                            "Endpoint instances in the platform's list.")),
      orders(registry.AddCounter("flamingoshunt_orders_total",
                                 "Orders sent to instances.")),
      closures(registry.AddCounter("flamingoshunt_replica_closures_total",
                                   "Times that a replica stopped serving.")) {}

}  // namespace flamingoshunt::daemon
