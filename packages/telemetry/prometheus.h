// Defines the text of the /metrics answer in the Prometheus exposition format.
#ifndef FLAMINGOSHUNT_TELEMETRY_PROMETHEUS_H_
#define FLAMINGOSHUNT_TELEMETRY_PROMETHEUS_H_

#include <string>

#include "telemetry/counters.h"

namespace flamingoshunt::telemetry {

/// Media type to send with PrometheusText().
inline constexpr char kPrometheusContentType[] =
    "text/plain; version=0.0.4; charset=utf-8";

/// @return all metrics of @p registry; durations are in seconds.
std::string PrometheusText(const metric_registry& registry);

}  // namespace flamingoshunt::telemetry

#endif  // FLAMINGOSHUNT_TELEMETRY_PROMETHEUS_H_
