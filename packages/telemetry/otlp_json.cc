#include "telemetry/otlp_json.h"

#include <boost/json.hpp>

#include <utility>

namespace flamingoshunt::telemetry {
namespace {

// Numbers of the OTLP enumerations.
constexpr int kOtlpKinds[] = {1, 2, 3};     // internal, server, client
constexpr int kOtlpStatuses[] = {0, 1, 2};  // unset, ok, error

boost::json::object Attribute(const std::string& name,
                              const std::string& value) {
  return {{"key", name}, {"value", {{"stringValue", value}}}};
}

// OTLP writes 64-bit numbers as strings.
std::string UnixNanoseconds(base::wall_time when) {
  return std::to_string(when.time_since_epoch().count());
}

boost::json::object Status(const span& source) {
  boost::json::object status;
  status["code"] = kOtlpStatuses[static_cast<int>(source.status)];
  if (!source.status_message.empty())
    status["message"] = source.status_message;
  return status;
}

boost::json::object Span(const span& source) {
  boost::json::array attributes;
  if (!source.request.empty())
    attributes.push_back(Attribute("request.id", source.request.str()));
  for (const span_attribute& each : source.attributes)
    attributes.push_back(Attribute(each.name, each.value));
  boost::json::object target{
      {"traceId", FormatTraceId(source.context.trace)},
      {"spanId", FormatSpanId(source.context.span)},
      {"name", source.name},
      {"kind", kOtlpKinds[static_cast<int>(source.kind)]},
      {"startTimeUnixNano", UnixNanoseconds(source.start)},
      {"endTimeUnixNano", UnixNanoseconds(source.end)},
      {"attributes", std::move(attributes)},
      {"status", Status(source)}};
  if (source.parent != span_id())
    target["parentSpanId"] = FormatSpanId(source.parent);
  return target;
}

}  // namespace

std::string OtlpJson(const base::node_id& node,
                     const std::vector<span>& spans) {
  boost::json::array converted;
  for (const span& each : spans)
    converted.push_back(Span(each));
  boost::json::object scope_spans{{"scope", {{"name", "flamingoshunt"}}},
                                  {"spans", std::move(converted)}};
  boost::json::array resource_attributes{
      Attribute("service.name", "flamingoshunt"),
      Attribute("service.instance.id", node.str())};
  boost::json::object resource_spans{
      {"resource", {{"attributes", std::move(resource_attributes)}}},
      {"scopeSpans", boost::json::array{std::move(scope_spans)}}};
  boost::json::object body{
      {"resourceSpans", boost::json::array{std::move(resource_spans)}}};
  return boost::json::serialize(body);
}

}  // namespace flamingoshunt::telemetry
