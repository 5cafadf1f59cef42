#include "stand_ins/endpoint_host.h"

#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

#include "base/checked_json.h"
#include "base/hash.h"
#include "endpoint/http_codec.h"

namespace flamingoshunt::stand_ins {
namespace {

namespace json = boost::json;

constexpr std::string_view kJsonType = "application/json";
constexpr std::int64_t kMaxTokens = 1'000'000;
constexpr auto kHang = std::chrono::minutes(10);

std::string HeaderOf(const runtime::http_request& request,
                     std::string_view name) {
  const auto value =
      request[boost::beast::string_view(name.data(), name.size())];
  return {value.data(), value.size()};
}

base::epoch EpochOf(const runtime::http_request& request) {
  const std::string text = HeaderOf(request, endpoint::kEpochHeader);
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return base::epoch(value);
}

std::uint64_t TokensAsked(const std::string& caller_body,
                          std::uint64_t fallback) {
  base::json_problems problems;
  const auto body = base::ParseJson(caller_body, problems);
  if (!body)
    return fallback;
  base::object_reader reader(*body, "", problems);
  return static_cast<std::uint64_t>(reader.Integer(
      "max_tokens", 1, kMaxTokens, static_cast<std::int64_t>(fallback)));
}

void RefuseNotRun(runtime::http_exchange& exchange, std::string_view why) {
  exchange.SendWhole(503, "text/plain", std::string(why),
                     {{std::string(endpoint::kNotRunHeader), "true"}});
}

// Counts a request as running as long as it lives.
class running_guard {
 public:
  explicit running_guard(endpoint_instance& instance) : instance_(instance) {
    instance_.AddRunning(1);
  }
  ~running_guard() { instance_.AddRunning(-1); }
  running_guard(const running_guard&) = delete;
  running_guard& operator=(const running_guard&) = delete;

 private:
  endpoint_instance& instance_;
};

}  // namespace

std::string TokenText(std::string_view caller_body, std::uint64_t offset) {
  static constexpr std::string_view kWords[] = {
      " room", " ethylene", " ripen", " pallet",
      " cane", " frame",    " weave", " dry"};
  const std::uint64_t hash = base::Hash64(caller_body, offset);
  return std::string(kWords[hash % std::size(kWords)]);
}

endpoint_host::endpoint_host(boost::asio::io_context& loop,
                             endpoint_host_options options,
                             const base::clock& clock)
    : loop_(loop), options_(options), clock_(clock) {}

std::string endpoint_host::Add(const base::instance_id& id,
                               const std::string& address) {
  const auto [place, added] = instances_.emplace(
      id, hosted{endpoint_instance(id, options_.instance), nullptr, address});
  SetDead(place->second, false);
  return place->second.address;
}

std::string endpoint_host::Control(const std::string& address) {
  control_ = std::make_unique<runtime::http_server>(
      loop_, address, runtime::http_server_options{},
      [this](runtime::http_exchange& exchange) { HandleControl(exchange); });
  control_->Start();
  return control_->address();
}

void endpoint_host::Close() {
  for (auto& [id, each] : instances_) {
    if (each.server)
      each.server->CloseAll();
  }
  if (control_)
    control_->CloseAll();
}

void endpoint_host::SetDead(hosted& target, bool dead) {
  target.dead = dead;
  if (dead) {
    if (target.server)
      target.server->CloseAll();
    target.server.reset();
    return;
  }
  if (target.server)
    return;
  target.instance.Restart();
  target.server = std::make_unique<runtime::http_server>(
      loop_, target.address, runtime::http_server_options{},
      [this, &target](runtime::http_exchange& exchange) {
        Handle(target, exchange);
      });
  target.address = target.server->address();
  target.server->Start();
}

bool endpoint_host::MembersAlive(const hosted& self) const {
  const auto& members = self.instance.members();
  return std::all_of(members.begin(), members.end(), [&](const auto& member) {
    const auto found = instances_.find(member);
    return found != instances_.end() && !found->second.dead;
  });
}

void endpoint_host::Handle(hosted& self, runtime::http_exchange& exchange) {
  const auto target = exchange.request().target();
  const std::string_view path(target.data(), target.size());
  if (path == endpoint::kReportTarget) {
    const auto report = self.instance.Report(clock_.Now());
    exchange.SendWhole(200, kJsonType, endpoint::EncodeReport(report));
  } else if (path == endpoint::kOrderTarget) {
    HandleOrder(self, exchange);
  } else {
    HandleRequest(self, exchange);
  }
}

void endpoint_host::HandleOrder(hosted& self,
                                runtime::http_exchange& exchange) {
  try {
    const auto order = endpoint::DecodeOrder(exchange.request().body());
    const auto outcome = self.instance.Take(order, clock_.Now());
    const bool accepted = outcome == endpoint::order_outcome::kAccepted;
    exchange.SendWhole(accepted ? 200 : 409, kJsonType, "{}");
  } catch (const endpoint::malformed_message& error) {
    exchange.SendWhole(400, "text/plain", error.what());
  }
}

void endpoint_host::HandleRequest(hosted& self,
                                  runtime::http_exchange& exchange) {
  const auto& request = exchange.request();
  const base::replica_id replica(HeaderOf(request, endpoint::kReplicaHeader));
  if (!self.instance.Serves(replica, EpochOf(request), clock_.Now()) ||
      !MembersAlive(self)) {
    RefuseNotRun(exchange, "this replica does not serve here");
    return;
  }
  ++runs_[HeaderOf(request, endpoint::kRequestHeader)];
  if (!request.target().starts_with("/v1/"))
    ++service_runs_;
  const running_guard running(self.instance);
  if (request.target().starts_with("/v1/"))
    RunStream(self, exchange);
  else
    RunService(self, exchange);
}

void endpoint_host::RunStream(hosted& self, runtime::http_exchange& exchange) {
  const auto call = endpoint::DecodeEngineCall(exchange.request().body());
  const std::uint64_t total =
      TokensAsked(call.caller_body, options_.default_tokens);
  const std::uint64_t start = call.resume ? call.resume->offset : 0;
  stream_faults fault;
  if (faults_.times > 0) {
    --faults_.times;
    fault = faults_;
  }
  exchange.StartStream(200, "text/event-stream");
  for (std::uint64_t offset = start; offset < total; ++offset) {
    const std::uint64_t sent = offset - start;
    if (fault.hang_after_tokens > 0 && sent == fault.hang_after_tokens)
      boost::this_fiber::sleep_for(kHang);
    const bool cut =
        fault.break_after_tokens > 0 && sent == fault.break_after_tokens;
    if (cut || self.dead || !MembersAlive(self)) {
      exchange.Abort();
      return;
    }
    if (options_.token_delay > base::duration::zero())
      boost::this_fiber::sleep_for(options_.token_delay);
    if (!exchange.Write(endpoint::EncodeChunk(
            offset, 1, TokenText(call.caller_body, offset))))
      return;
  }
  exchange.Write(endpoint::EncodeEnd(total, "stop"));
  exchange.EndStream();
}

void endpoint_host::RunService(hosted& self, runtime::http_exchange& exchange) {
  const auto& request = exchange.request();
  json::object answer;
  answer["instance"] = self.instance.id().str();
  answer["method"] = std::string(request.method_string());
  answer["target"] = std::string(request.target());
  answer["run"] = runs_[HeaderOf(request, endpoint::kRequestHeader)];
  exchange.SendWhole(200, kJsonType, json::serialize(answer));
}

void endpoint_host::HandleControl(runtime::http_exchange& exchange) {
  try {
    if (exchange.request().target() == "/faults")
      SetFaults(exchange.request().body());
    exchange.SendWhole(200, kJsonType, LedgerJson());
  } catch (const base::user_error& error) {
    exchange.SendWhole(400, "text/plain", error.what());
  }
}

void endpoint_host::SetFaults(const std::string& body) {
  base::json_problems problems;
  const auto value = base::ParseJson(body, problems);
  if (!value)
    throw base::json_document_error(problems);
  base::object_reader reader(*value, "", problems);
  const base::instance_id id(reader.String("instance", ""));
  const bool dead = reader.Boolean("dead", false);
  const bool leaving = reader.Boolean("leaving", false);
  stream_faults faults;
  faults.times = static_cast<int>(reader.Integer("times", 0, 1'000'000, 0));
  faults.break_after_tokens = static_cast<std::uint64_t>(
      reader.Integer("break_after_tokens", 0, kMaxTokens, 0));
  faults.hang_after_tokens = static_cast<std::uint64_t>(
      reader.Integer("hang_after_tokens", 0, kMaxTokens, 0));
  reader.Finish();
  const auto found = instances_.find(id);
  if (!id.empty() && found == instances_.end())
    reader.Report("instance", "must be an instance of this stand-in");
  if (!problems.empty())
    throw base::json_document_error(problems);
  if (id.empty()) {
    faults_ = faults;
    return;
  }
  SetDead(found->second, dead);
  found->second.instance.SetLeaving(leaving);
}

std::string endpoint_host::LedgerJson() const {
  json::object runs;
  for (const auto& [request, count] : runs_)
    runs[request] = count;
  return json::serialize(
      json::object{{"runs", runs}, {"services", service_runs_}});
}

}  // namespace flamingoshunt::stand_ins
