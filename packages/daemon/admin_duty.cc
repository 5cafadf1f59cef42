#include "daemon/admin_duty.h"

#include <boost/fiber/operations.hpp>

#include <utility>

#include "runtime/fiber_scheduler.h"
#include "telemetry/otlp_json.h"
#include "telemetry/prometheus.h"

namespace flamingoshunt::daemon {
namespace {

constexpr std::string_view kJson = "application/json";
constexpr std::string_view kExplainPrefix = "/admin/explain?";
constexpr std::string_view kTracePrefix = "/admin/trace/";
constexpr std::string_view kQuarantine = "/admin/quarantine";
constexpr std::size_t kMaxBodyBytes = 64 * 1024;
constexpr std::size_t kMaxHeldBytes = 16 * 1024 * 1024;  // of all connections
constexpr auto kExportPeriod = std::chrono::seconds(1);
constexpr std::size_t kExportBatch = 512;  // spans
constexpr auto kExportTimeout = std::chrono::seconds(2);

boost::json::object ToJson(const telemetry::span& span) {
  boost::json::object object;
  object["trace"] = telemetry::FormatTraceId(span.context.trace);
  object["span"] = telemetry::FormatSpanId(span.context.span);
  object["parent"] = telemetry::FormatSpanId(span.parent);
  object["request"] = span.request.str();
  object["name"] = span.name;
  const auto micros = [](base::wall_time when) {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               when.time_since_epoch())
        .count();
  };
  object["start_us"] = micros(span.start);
  object["duration_us"] = micros(span.end) - micros(span.start);
  object["ok"] = span.status == telemetry::span_status::kOk;
  object["message"] = span.status_message;
  boost::json::object attributes;
  for (const auto& attribute : span.attributes)
    attributes[attribute.name] = attribute.value;
  object["attributes"] = std::move(attributes);
  return object;
}

// Operators and peers; far more than a fleet asks at once.
runtime::http_server_options ServerOptions() {
  runtime::http_server_options options;
  options.max_body_bytes = kMaxBodyBytes;
  options.budget = std::make_shared<runtime::memory_budget>(
      runtime::budget_bounds{.bytes = kMaxHeldBytes});
  return options;
}

}  // namespace

admin_duty::admin_duty(base::node_id self,
                       const std::string& address,
                       std::string otlp_address,
                       telemetry::metric_registry& metrics,
                       telemetry::span_ring& spans)
    : self_(std::move(self)),
      otlp_address_(std::move(otlp_address)),
      thread_("admin"),
      metrics_(metrics),
      spans_(spans),
      pool_(thread_.loop()) {
  server_ = std::make_unique<runtime::http_server>(
      thread_.loop(), address, ServerOptions(),
      [this](runtime::http_exchange& exchange) { Handle(exchange); });
}

void admin_duty::AddDuty(std::string section,
                         boost::asio::io_context& duty_loop,
                         status_link::answerer answer) {
  duties_[std::move(section)] = std::make_unique<status_link>(
      thread_.loop(), duty_loop, std::move(answer));
}

void admin_duty::Start(const std::atomic<bool>& ready) {
  ready_ = &ready;
  thread_.Start([this](boost::asio::io_context& loop) {
    runtime::RunFibers(loop, [this] {
      server_->Start();
      if (!otlp_address_.empty())
        runtime::SpawnFiber([this] { ExportLoop(); });
      runtime::fiber_signal forever;
      forever.Wait();
    });
  });
}

void admin_duty::Handle(runtime::http_exchange& exchange) {
  const std::string path(exchange.request().target());
  const bool ready = ready_->load();
  if (path == "/health/live") {
    exchange.SendWhole(200, "text/plain", "ok\n");
  } else if (path == "/health/ready") {
    exchange.SendWhole(ready ? 200 : 503, "text/plain",
                       ready ? "ok\n" : "no\n");
  } else if (path == "/metrics") {
    exchange.SendWhole(200, telemetry::kPrometheusContentType,
                       telemetry::PrometheusText(metrics_));
  } else if (path == "/admin/status") {
    HandleStatus(exchange);
  } else if (path == "/admin/configuration") {
    HandleConfiguration(exchange);
  } else if (path.starts_with(kExplainPrefix)) {
    HandleExplain(exchange, path.substr(kExplainPrefix.size()));
  } else if (path.starts_with(kTracePrefix)) {
    HandleTrace(exchange, path.substr(kTracePrefix.size()));
  } else if (path.starts_with(kQuarantine)) {
    const std::size_t skip = kQuarantine.size() + 1;
    HandleQuarantine(exchange, path.size() > skip ? path.substr(skip) : "");
  } else {
    exchange.SendWhole(404, "text/plain", "no such page\n");
  }
}

void admin_duty::HandleConfiguration(runtime::http_exchange& exchange) {
  const auto fleet = duties_.find(kFleetSection);
  const boost::json::value held =
      fleet == duties_.end() ? nullptr : fleet->second->Ask("configuration");
  exchange.SendWhole(held.is_null() ? 404 : 200, kJson,
                     boost::json::serialize(held));
}

void admin_duty::HandleExplain(runtime::http_exchange& exchange,
                               std::string query) {
  const auto entry = duties_.find(kEntrySection);
  const boost::json::value explanation =
      entry == duties_.end() ? nullptr
                             : entry->second->Ask("explain", std::move(query));
  exchange.SendWhole(explanation.is_null() ? 404 : 200, kJson,
                     boost::json::serialize(explanation));
}

void admin_duty::HandleStatus(runtime::http_exchange& exchange) {
  boost::json::object status;
  status["node"] = self_.str();
  status["ready"] = ready_->load();
  for (const auto& [section, duty] : duties_)
    status[section] = duty->Ask("status");
  exchange.SendWhole(200, kJson, boost::json::serialize(status));
}

void admin_duty::HandleTrace(runtime::http_exchange& exchange, std::string id) {
  const auto trace = telemetry::ParseTraceId(id);
  const auto spans = trace
                         ? spans_.FindTrace(*trace)
                         : spans_.FindRequest(base::request_id(std::move(id)));
  boost::json::array list;
  for (const auto& span : spans)
    list.push_back(ToJson(span));
  exchange.SendWhole(spans.empty() ? 404 : 200, kJson,
                     boost::json::serialize(list));
}

void admin_duty::HandleQuarantine(runtime::http_exchange& exchange,
                                  const std::string& fingerprint) {
  const bool lift =
      exchange.request().method() == boost::beast::http::verb::delete_;
  const auto found = duties_.find("dispatch");
  if (found == duties_.end() || (lift && fingerprint.empty())) {
    exchange.SendWhole(400, "text/plain", "name a fingerprint\n");
    return;
  }
  const boost::json::value list =
      found->second->Ask(lift ? "lift" : "quarantine", fingerprint);
  exchange.SendWhole(200, kJson, boost::json::serialize(list));
}

void admin_duty::ExportLoop() {
  while (true) {
    boost::this_fiber::sleep_for(kExportPeriod);
    const auto spans = spans_.TakeUnexported(kExportBatch);
    if (spans.empty())
      continue;
    try {
      runtime::Fetch(pool_, otlp_address_,
                     runtime::MakeRequest("POST", "/v1/traces", otlp_address_,
                                          telemetry::OtlpJson(self_, spans),
                                          telemetry::kOtlpContentType),
                     kExportTimeout);
    } catch (const runtime::transport_error&) {
      // Spans are for looking into; serving never waits for their collector.
    }
  }
}

void admin_duty::Stop() {
  thread_.Stop();
}

}  // namespace flamingoshunt::daemon
