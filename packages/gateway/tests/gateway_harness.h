// Runs a gateway with real sockets on one thread, between callers and replicas
// scripted by a test.
#ifndef FLAMINGOSHUNT_GATEWAY_TESTS_GATEWAY_HARNESS_H_
#define FLAMINGOSHUNT_GATEWAY_TESTS_GATEWAY_HARNESS_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/fiber/operations.hpp>

#include <functional>
#include <list>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "gateway/entry.h"
#include "runtime/fiber_scheduler.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"

namespace flamingoshunt::gateway::testing {

using std::chrono::milliseconds;

/// A protocol for tests with plain field names and no encodings.
class plain_protocol final : public protocol {
 public:
  /// Called while an attempt or an answer is coded, to throw; none if empty.
  std::function<void()> fail_attempt;
  std::function<void()> fail_answer;

  caller_head ReadCaller(const runtime::http_request& request) const override {
    caller_head head;
    head.id = base::request_id(Text(request["Id"]));
    head.key = Text(request["Key"]);
    head.model = Text(request["Model"]);
    head.prompt_tokens = Number(request["Prompt"]).value_or(0);
    head.max_output_tokens = Number(request["Output"]).value_or(0);
    if (const auto ms = Number(request["Patience"]))
      head.time_budget = milliseconds(*ms);
    if (const auto last_event = Number(request["Last"]))
      head.resume_after = static_cast<std::uint64_t>(*last_event);
    std::istringstream parts(Text(request["Parts"]));
    for (std::uint64_t part = 0; parts >> part;)
      head.shared_prompt_parts.emplace_back(part);
    return head;
  }

  runtime::http_request WriteAttempt(
      const runtime::http_request& request,
      const attempt_head& attempt) const override {
    if (fail_attempt)
      fail_attempt();
    runtime::http_request out = request;
    out.erase("Key");
    out.set("Instance", attempt.instance.str());
    out.set("Workspace", attempt.workspace.str());
    if (attempt.resume_after)
      out.set("Last", std::to_string(*attempt.resume_after));
    return out;
  }

  answer_head ReadAnswer(
      const runtime::http_response_head& head) const override {
    if (fail_answer)
      fail_answer();
    answer_head answer;
    answer.status = head.status;
    for (const auto& [name, value] : head.fields) {
      if (name == "Id")
        answer.request_id = value;
      else if (name == "Not-Run")
        answer.not_run = true;
      else if (name == "Signature")
        answer.signed_body = true;
      else if (name == "Content-Encoding")
        answer.content_encoded = true;
      else if (name == "Leaving")
        answer.leaving = true;
      else if (name == "Pause-Ms")
        answer.pause = milliseconds(std::stoll(value));
      else if (name == "Limit")
        answer.rate_limit = std::stod(value);
    }
    return answer;
  }

  runtime::http_fields ForwardedFields(
      const runtime::http_response_head& head) const override {
    runtime::http_fields out;
    for (const auto& [name, value] : head.fields) {
      if (name == "Signature")
        out.emplace_back(name, value);
    }
    return out;
  }

  runtime::http_fields GatewayAnswerFields(
      const base::request_id&,
      std::optional<base::duration> retry_after) const override {
    if (!retry_after)
      return {};
    return {
        {"Retry-After",
         std::to_string(std::chrono::duration<double>(*retry_after).count())}};
  }

 private:
  static std::string Text(boost::beast::string_view text) {
    return {text.data(), text.size()};
  }
  static std::optional<std::int64_t> Number(boost::beast::string_view text) {
    if (text.empty())
      return std::nullopt;
    return std::stoll(Text(text));
  }
};

/// The answer as a caller received it.
struct caller_answer {
  int status = 0;  ///< 0 when the connection ended without a head.
  std::string body;
  bool complete = false;
  runtime::http_fields fields;
};

class gateway_harness {
 public:
  using replica_script = std::function<void(runtime::http_exchange&)>;

  /// Runs @p test in a fiber of a loop with everything started.
  explicit gateway_harness(const std::function<void(gateway_harness&)>& test) {
    // The thread's fiber scheduler must end before the loop, and the loop must
    // not run out of work between two steps of a test.
    const auto work = boost::asio::make_work_guard(loop_);
    std::thread thread([&] { runtime::RunFibers(loop_, [&] { Run(test); }); });
    thread.join();
  }

  /// Starts a replica that runs @p script for each request.
  /// @return its target.
  target AddReplica(const std::string& name, replica_script script) {
    replicas_.push_back(std::make_unique<runtime::http_server>(
        loop_, "127.0.0.1:0", runtime::http_server_options{},
        [this, name, script = std::move(script)](auto& exchange) {
          ++arrivals[name];
          last_request = exchange.request();
          script(exchange);
        }));
    replicas_.back()->Start();
    target replica;
    replica.instance = base::instance_id(name);
    replica.address = replicas_.back()->address();
    replica.slots = 8;
    return replica;
  }

  /// Applies a configuration with the three kinds of route, and their targets.
  void SetTargets(const std::vector<target>& plain,
                  const std::vector<target>& engines = {}) {
    auto view = std::make_shared<fleet_view>();
    view->configuration = Configuration();
    view->targets["app"] = plain;
    view->targets["llm"] = engines;
    fleet_update update;
    update.view = view;
    update.allowance = retry_allowance{0.2, 50, std::chrono::seconds(10)};
    entry_.ApplyUpdate(update);
  }

  /// Makes the servers of @p peers those that take requests of this node.
  void SetPeers(const std::vector<target>& peers) {
    fleet_update update;
    update.peers.emplace();
    for (const target& peer : peers)
      update.peers->push_back(
          {base::node_id(peer.instance.str()), peer.address, {}});
    entry_.ApplyUpdate(update);
  }

  /// @return a target whose address refuses connections.
  target MakeUnreachable(const std::string& name) {
    // Bound and not listening, so that no other server gets the port.
    auto& reserved = reserved_.emplace_back(loop_);
    reserved.open(runtime::tcp::v4());
    reserved.bind({boost::asio::ip::address_v4::loopback(), 0});
    target replica;
    replica.instance = base::instance_id(name);
    replica.address = runtime::FormatAddress(reserved.local_endpoint());
    replica.slots = 8;
    return replica;
  }

  static configuration_ptr Configuration() {
    route once_route;
    once_route.name = "once";
    once_route.host = "h";
    once_route.path_prefix = "/once/";
    once_route.targets = {{"app", 1}};
    once_route.timeout = milliseconds(600);
    once_route.first_answer_target = milliseconds(60);
    route idempotent_route = once_route;
    idempotent_route.name = "safe";
    idempotent_route.path_prefix = "/safe/";
    idempotent_route.idempotent = true;
    idempotent_route.max_attempts = 2;
    route stream_route = idempotent_route;
    stream_route.name = "stream";
    stream_route.path_prefix = "/stream/";
    stream_route.idempotent = false;
    stream_route.stream = true;
    stream_route.resumable = true;
    stream_route.targets = {{"llm", 1}};
    stream_route.timeout = milliseconds(3000);
    stream_route.event_gap_target = milliseconds(250);
    service app;
    app.name = "app";
    service llm;
    llm.name = "llm";
    llm.engine = engine_profile();
    llm.engine->slots = 8;
    llm.engine->step_ms = 5;
    return std::make_shared<configuration>(
        7, std::vector<route>{once_route, idempotent_route, stream_route},
        std::vector<service>{app, llm},
        std::unordered_map<std::string, workspace>{
            {"k1", {base::workspace_id("w1"), std::nullopt}}},
        caller_limits());
  }

  /// Sends one request as a caller and reads its complete answer.
  caller_answer Call(const std::string& path,
                     const runtime::http_fields& extra_fields = {}) {
    runtime::http_connection connection(loop_);
    connection.Connect(callers_->address(), milliseconds(500));
    auto request = MakeCall(path, extra_fields);
    caller_answer answer;
    try {
      connection.Send(request, milliseconds(5000));
      const auto head = connection.ReadHead(milliseconds(5000));
      answer.status = head.status;
      answer.fields = head.fields;
      while (connection.ReadSome(answer.body, milliseconds(5000))) {
      }
      answer.complete = true;
    } catch (const runtime::transport_error&) {
      // The answer is what arrived before; it stays incomplete.
    }
    return answer;
  }

  runtime::http_request MakeCall(const std::string& path,
                                 const runtime::http_fields& extra_fields) {
    auto request = runtime::MakeRequest("POST", path, "h", "body");
    request.set("Id", "r" + std::to_string(++calls_));
    request.set("Key", "k1");
    for (const auto& [name, value] : extra_fields)
      request.set(name, value);
    return request;
  }

  boost::asio::io_context& loop() { return loop_; }
  std::string address() const { return callers_->address(); }
  /// @return where the gateway takes requests of peers.
  std::string passed_address() const { return passed_->address(); }
  entry& gateway() { return entry_; }
  plain_protocol& wire() { return wire_; }

  std::map<std::string, int> arrivals;
  runtime::http_request last_request;
  entry_update last_update;  ///< The entry's latest.

 private:
  void Run(const std::function<void(gateway_harness&)>& test) {
    callers_ = std::make_unique<runtime::http_server>(
        loop_, "127.0.0.1:0", runtime::http_server_options{},
        [this](auto& exchange) { entry_.Handle(exchange); });
    callers_->Start();
    passed_ = std::make_unique<runtime::http_server>(
        loop_, "127.0.0.1:0", runtime::http_server_options{},
        [this](auto& exchange) { entry_.HandlePassed(exchange); });
    passed_->Start();
    test(*this);
    callers_->CloseAll();
    passed_->CloseAll();
    for (auto& replica : replicas_)
      replica->CloseAll();
    // Let waiting connections observe the close.
    boost::this_fiber::sleep_for(milliseconds(30));
  }

  boost::asio::io_context loop_{1};
  base::system_clock clock_;
  plain_protocol wire_;
  telemetry::metric_registry registry_;
  metrics metrics_{registry_};
  entry entry_{
      loop_, clock_,
      wire_, metrics_,
      1,     [this](entry_update update) { last_update = std::move(update); }};
  std::unique_ptr<runtime::http_server> callers_;
  std::unique_ptr<runtime::http_server> passed_;
  std::vector<std::unique_ptr<runtime::http_server>> replicas_;
  std::list<boost::asio::basic_socket_acceptor<runtime::tcp>> reserved_;
  int calls_ = 0;
};

/// Answers like a healthy plain replica.
inline void SendValidAnswer(runtime::http_exchange& exchange) {
  exchange.SendWhole(
      200, "text/plain", "done",
      {{"Signature", "s"}, {"Id", std::string(exchange.request()["Id"])}});
}

/// Streams the events after the request's "Last" up to @p last_event.
/// @param stop_after returns after this event without ending the stream.
inline void StreamEvents(runtime::http_exchange& exchange,
                         int last_event,
                         int stop_after = -1) {
  exchange.StartStream(
      200, "text/event-stream",
      {{"Signature", "s"}, {"Id", std::string(exchange.request()["Id"])}});
  const std::string from(exchange.request()["Last"]);
  for (int id = (from.empty() ? 0 : std::stoi(from)) + 1; id <= last_event;
       ++id) {
    exchange.Write("id: " + std::to_string(id) + "\ndata: x\n\n");
    if (id == stop_after)
      return;
    boost::this_fiber::sleep_for(milliseconds(2));
  }
  exchange.EndStream();
}

/// @return the events 1 to @p last_event as a complete stream carries them.
inline std::string AllEvents(int last_event) {
  std::string out;
  for (int id = 1; id <= last_event; ++id)
    out += "id: " + std::to_string(id) + "\ndata: x\n\n";
  return out;
}

}  // namespace flamingoshunt::gateway::testing

#endif  // FLAMINGOSHUNT_GATEWAY_TESTS_GATEWAY_HARNESS_H_
