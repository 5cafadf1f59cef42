// Defines the OTLP/HTTP JSON body (POST /v1/traces) that carries spans to a
// trace collector.
#ifndef FLAMINGOSHUNT_TELEMETRY_OTLP_JSON_H_
#define FLAMINGOSHUNT_TELEMETRY_OTLP_JSON_H_

#include <string>
#include <vector>

#include "base/ids.h"
#include "telemetry/span.h"

namespace flamingoshunt::telemetry {

/// Media type to send with OtlpJson().
inline constexpr char kOtlpContentType[] = "application/json";

/// @param node names the process ("service.instance.id").
/// @return an ExportTraceServiceRequest.
std::string OtlpJson(const base::node_id& node, const std::vector<span>& spans);

}  // namespace flamingoshunt::telemetry

#endif  // FLAMINGOSHUNT_TELEMETRY_OTLP_JSON_H_
