#include "stand_ins/native/native_replica.h"

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <utility>

#include "runtime/fiber_scheduler.h"

namespace flamingoshunt::stand_ins {
namespace {

namespace json = boost::json;

constexpr char kKind[] = "servers";
constexpr int kEventsPerStream = 20;   // Length of every stream.
constexpr int kQueuedConnections = 2;  // Fill the queue of a silent gate.

std::string Field(const runtime::http_request& request, const char* name) {
  return std::string(request[name]);
}

}  // namespace

native_replica::native_replica(boost::asio::io_context& loop,
                               native_replica_options options,
                               entry_registry& entries)
    : options_(std::move(options)), entries_(entries), loop_(loop) {
  for (int i = 0; i < options_.gates; ++i) {
    gates_.push_back(std::make_unique<gate_state>());
    Open(*gates_.back(), "127.0.0.1:0");
  }
}

void native_replica::Open(gate_state& gate, const std::string& address) {
  gate.server = std::make_unique<runtime::http_server>(
      loop_, address, runtime::http_server_options{},
      [this, &gate](auto& exchange) { Handle(gate, exchange); });
  gate.address = gate.server->address();
}

void native_replica::Start() {
  for (const auto& gate : gates_)
    gate->server->Start();
  Publish();
}

void native_replica::Cut(int index, cut_kind kind) {
  gate_state& gate = *gates_[static_cast<std::size_t>(index)];
  const auto endpoint = runtime::ParseAddress(gate.address);
  const auto bind = [&] {
    auto bound = std::make_unique<runtime::tcp::acceptor>(loop_);
    bound->open(endpoint.protocol());
    bound->set_option(runtime::tcp::acceptor::reuse_address(true));
    bound->bind(endpoint);
    return bound;
  };
  if (kind == cut_kind::kReset) {
    gate.server->CloseAll();
    gate.reserved = bind();
    return;
  }
  gate.silent = true;
  gate.server->StopAccepting();
  gate.reserved = bind();
  // Packets that open a connection are dropped while this queue is full.
  gate.blocked = bind();
  gate.blocked->listen(0);
  for (int i = 0; i < kQueuedConnections; ++i) {
    gate.queued.push_back(std::make_unique<runtime::tcp::socket>(loop_));
    gate.queued.back()->async_connect(endpoint,
                                      [](boost::system::error_code) {});
  }
}

void native_replica::Reconnect(int index) {
  gate_state& gate = *gates_[static_cast<std::size_t>(index)];
  gate.silent = false;
  gate.queued.clear();
  gate.blocked.reset();
  retired_.push_back(std::move(gate.server));
  Open(gate, gate.address);
  gate.reserved.reset();
  gate.server->Start();
}

// Returns when the gate lets bytes through.
void native_replica::Pass(const gate_state& gate) const {
  while (gate.silent && !crashed_)
    boost::this_fiber::sleep_for(options_.event_interval);
}

json::object native_replica::EncodeState() const {
  json::object state{
      {"stage", "both"}, {"seq", order_count_}, {"born", options_.started_ms}};
  if (options_.domain.empty())
    return state;
  state["domain"] = options_.domain;
  state["staged"] =
      model_.empty() ? json::array() : json::array{json::string(model_)};
  state["models"] =
      model_.empty()
          ? json::array()
          : json::array{json::object{{"name", model_}, {"version", 1}}};
  if (!state_.empty()) {
    const auto rank = std::find(members_.begin(), members_.end(), options_.id) -
                      members_.begin();
    state["group"] = json::object{
        {"name", group_}, {"epoch", epoch_}, {"rank", rank}, {"state", state_}};
  }
  return state;
}

json::object native_replica::EncodeRuns() const {
  json::object runs;
  for (const auto& [id, count] : runs_)
    runs[id] = count;
  return runs;
}

void native_replica::Publish() {
  if (crashed_)
    return;
  json::object entry = EncodeState();
  entry["seq"] = renewals_;  // Counts orders in reports only.
  entry["service"] = options_.service;
  entry["address"] = address();
  entry["zone"] = options_.zone;
  entry["version"] = "v1";
  entry["slots"] = options_.slots;
  entry["state"] = draining_ ? "draining" : "ready";
  entries_.Put(kKind, options_.id, std::move(entry));
}

void native_replica::Crash() {
  crashed_ = true;
  state_.clear();
  for (const auto& gate : gates_)
    gate->server->CloseAll();
}

void native_replica::Drain() {
  draining_ = true;
  Publish();
}

void native_replica::RenewEntry() {
  ++renewals_;
  Publish();
}

void native_replica::Unregister() {
  entries_.Delete(kKind, options_.id);
}

void native_replica::Handle(gate_state& gate,
                            runtime::http_exchange& exchange) {
  Pass(gate);
  WaitWhileFrozen();
  const auto& request = exchange.request();
  const auto expected = Field(request, "X-Flamingoshunt-Expect-Instance");
  if (!expected.empty() && expected != options_.id) {
    exchange.SendWhole(421, "", "", {{"At-Server", options_.id}});
    return;
  }
  if (request.target() == "/-/report")
    exchange.SendWhole(200, "application/json", json::serialize(EncodeState()),
                       WithLeaving({}));
  else if (request.target() == "/-/order")
    HandleOrder(exchange);
  else if (request.target() == "/-/runs")
    exchange.SendWhole(200, "application/json", json::serialize(EncodeRuns()));
  else
    Serve(gate, exchange);
}

void native_replica::WaitWhileFrozen() const {
  while (frozen && !crashed_)
    boost::this_fiber::sleep_for(options_.event_interval);
}

runtime::http_fields native_replica::WithLeaving(
    runtime::http_fields fields) const {
  if (says_leaving)
    fields.emplace_back("Server-Leaving", "1");
  return fields;
}

void native_replica::HandleOrder(runtime::http_exchange& exchange) {
  const auto order = json::parse(exchange.request().body()).as_object();
  const auto fence = order.at("fencing_token").to_number<std::uint64_t>();
  int status = 412;
  if (fence >= highest_fence_) {
    highest_fence_ = fence;
    status = Execute(order);
  }
  exchange.SendWhole(status, "", "", WithLeaving({}));
  Publish();
}

int native_replica::Execute(const json::object& order) {
  const std::string op(order.at("op").as_string());
  if (op == "stage") {
    ++order_count_;
    model_ = std::string(order.at("model").as_string());
    return 202;
  }
  const std::string group(order.at("group").as_string());
  const auto epoch = order.at("epoch").to_number<std::uint64_t>();
  const auto* expected = order.if_contains("expected");
  if (expected && expected->to_number<std::uint64_t>() != order_count_)
    return 409;
  if (op == "join") {
    if (epoch < epoch_)
      return 412;
    if (group == group_ && epoch == epoch_ && !state_.empty())
      return 200;
    ++order_count_;
    group_ = group;
    epoch_ = epoch;
    model_ = std::string(order.at("model").as_string());
    members_.clear();
    for (const auto& member : order.at("members").as_array())
      members_.emplace_back(member.as_string());
    state_ = "joining";
    runtime::SpawnFiber([this, epoch] {
      boost::this_fiber::sleep_for(options_.join_time);
      if (epoch == epoch_ && state_ == "joining")
        state_ = "ready";
      Publish();
    });
    return 202;
  }
  if (group != group_ || epoch != epoch_ || state_.empty())
    return 409;
  if (op == "open" && state_ == "joining")
    return 409;
  ++order_count_;
  if (op == "leave")
    state_.clear();
  else
    state_ = op == "close" ? "ready" : "open";
  return 202;
}

void native_replica::Serve(const gate_state& gate,
                           runtime::http_exchange& exchange) {
  const auto id = Field(exchange.request(), "X-Flamingoshunt-Request-Id");
  const bool engine = !options_.domain.empty();
  if (shedding || (engine && !open())) {
    exchange.SendWhole(503, "", "",
                       WithLeaving({{"X-Flamingoshunt-Not-Executed", "1"},
                                    {"At-Server", options_.id}}));
    return;
  }
  if (pauses_to_name > 0) {
    --pauses_to_name;
    exchange.SendWhole(503, "", "",
                       WithLeaving({{"X-Flamingoshunt-Not-Executed", "1"},
                                    {"At-Server", options_.id},
                                    {"Retry-After", pause_seconds}}));
    return;
  }
  ++runs_[id];
  if (engine) {
    StreamEvents(gate, exchange);
    return;
  }
  std::string answer = "done by " + options_.id + " for " +
                       Field(exchange.request(), "X-Flamingoshunt-Tenant");
  answer.resize(std::max(answer.size(), options_.answer_bytes), '.');
  exchange.SendWhole(200, "text/plain", std::move(answer),
                     WithLeaving({{"X-Flamingoshunt-Request-Id", id},
                                  {"X-Flamingoshunt-Response-Signature",
                                   "sig." + options_.id}}));
}

void native_replica::StreamEvents(const gate_state& gate,
                                  runtime::http_exchange& exchange) {
  const auto& request = exchange.request();
  exchange.StartStream(
      200, "text/event-stream",
      WithLeaving(
          {{"X-Flamingoshunt-Request-Id",
            Field(request, "X-Flamingoshunt-Request-Id")},
           {"X-Flamingoshunt-Response-Signature", "sig." + options_.id}}));
  const auto prompt = Field(request, "X-Flamingoshunt-Prompt-Prefix");
  if (!crashing_part.empty() && prompt.find(crashing_part) != prompt.npos) {
    ++crashes_;
    exchange.Abort();
    return;
  }
  const auto last_event = Field(request, "Last-Event-Id");
  for (int event = last_event.empty() ? 1 : std::stoi(last_event) + 1;
       event <= kEventsPerStream; ++event) {
    while (stalled && !crashed_)
      boost::this_fiber::sleep_for(options_.event_interval);
    WaitWhileFrozen();
    Pass(gate);
    if (crashed_ ||
        !exchange.Write("id: " + std::to_string(event) + "\ndata: token\n\n")) {
      exchange.Abort();
      return;
    }
    boost::this_fiber::sleep_for(options_.event_interval);
  }
  exchange.EndStream();
}

}  // namespace flamingoshunt::stand_ins
