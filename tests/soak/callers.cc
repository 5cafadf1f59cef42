#include "tests/soak/callers.h"

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <memory>
#include <utility>

#include "runtime/fiber_scheduler.h"

namespace flamingoshunt::soak {
namespace {

constexpr milliseconds kConnectTimeout{1000};
constexpr milliseconds kShortestPause{20};
constexpr int kPauseRange = 200;  // ms
constexpr milliseconds kReadyPeriod{300};
constexpr milliseconds kStopPoll{20};
constexpr int kEventsPerStream = 20;
constexpr int kOk = 200;

std::string WholeStream() {
  std::string out;
  for (int event = 1; event <= kEventsPerStream; ++event)
    out += "id: " + std::to_string(event) + "\ndata: token\n\n";
  return out;
}

std::string Field(const runtime::http_response_head& head, const char* name) {
  for (const auto& [field, value] : head.fields) {
    if (field == name)
      return value;
  }
  return "";
}

// A success must be the whole answer of a replica to this request.
bool IsValid(const sent_request& request,
             const runtime::http_response_head& head,
             const std::string& body) {
  if (request.status != kOk)
    return true;
  static const std::string whole_stream = WholeStream();
  const bool own = Field(head, "X-Flamingoshunt-Request-Id") == request.id;
  const std::string signature =
      Field(head, "X-Flamingoshunt-Response-Signature");
  if (request.kind->stream)
    return !signature.empty() && own && body == whole_stream;
  return !signature.empty() && own && body.rfind("done by ", 0) == 0 &&
         body.find(" for w1") != std::string::npos;
}

}  // namespace

const std::vector<request_kind>& callers::Kinds() {
  static const std::vector<request_kind> kinds{
      {"plan-large", "/plan/x", "m0", true, true, 0.4},
      {"plan-small", "/plan/x", "m1", true, true, 0.3},
      {"check", "/check/x", "", false, true, 0.15},
      {"lock", "/lock/x", "", false, false, 0.15}};
  return kinds;
}

callers::callers(processes& deployment, std::uint64_t seed)
    : deployment_(deployment), random_(seed) {}

void callers::Start(int count) {
  for (const node_process& node : deployment_.nodes())
    ready_.push_back(node.name);
  runtime::SpawnFiber([this] { FollowReadiness(); });
  ++running_;
  for (int caller = 0; caller < count; ++caller) {
    ++running_;
    runtime::SpawnFiber([this, caller] { Run(caller); });
  }
}

void callers::Stop() {
  stopping_ = true;
  while (running_ > 0)
    boost::this_fiber::sleep_for(kStopPoll);
}

// Like a balancer, which sends new connections only to nodes that are ready.
void callers::FollowReadiness() {
  while (!stopping_) {
    std::vector<std::string> ready;
    for (const node_process& node : deployment_.nodes()) {
      if (deployment_.IsReady(node))
        ready.push_back(node.name);
    }
    ready_ = std::move(ready);
    boost::this_fiber::sleep_for(kReadyPeriod);
  }
  --running_;
}

const node_process* callers::ChooseNode() {
  if (ready_.empty())
    return nullptr;
  const std::string& name = ready_[base::RandomIndex(random_, ready_.size())];
  const auto& nodes = deployment_.nodes();
  return &*std::find_if(nodes.begin(), nodes.end(),
                        [&](const auto& node) { return node.name == name; });
}

const request_kind& callers::ChooseKind() {
  double drawn = base::RandomUnit(random_);
  for (const request_kind& kind : Kinds()) {
    drawn -= kind.share;
    if (drawn < 0)
      return kind;
  }
  return Kinds().back();
}

void callers::Run(int caller) {
  std::unique_ptr<runtime::http_connection> connection;
  std::string node_name;
  while (!stopping_) {
    boost::this_fiber::sleep_for(kShortestPause +
                                 milliseconds(static_cast<int>(
                                     base::RandomUnit(random_) * kPauseRange)));
    if (!connection) {
      const node_process* node = ChooseNode();
      if (!node)
        continue;
      node_name = node->name;
      connection =
          std::make_unique<runtime::http_connection>(deployment_.loop());
      try {
        connection->Connect(node->caller_address, kConnectTimeout);
      } catch (const runtime::transport_error&) {
        connection.reset();  // Another node next time.
        continue;
      }
    }
    // A caller sees a close that came while it was idle.
    if (!connection->quiet()) {
      connection.reset();
      continue;
    }
    sent_request request;
    request.id =
        "c" + std::to_string(caller) + "-" + std::to_string(++next_id_);
    request.kind = &ChooseKind();
    request.node = node_name;
    const bool reusable = Send(*connection, request);
    requests_.push_back(std::move(request));
    if (!reusable)
      connection.reset();
  }
  --running_;
}

bool callers::Send(runtime::http_connection& connection,
                   sent_request& request) {
  auto message = MakeCall(request.kind->path, request.id, request.kind->model,
                          kRouteTimeout);
  request.sent_at = std::chrono::steady_clock::now();
  std::string body;
  try {
    connection.Send(message, kRouteTimeout);
    request.was_sent = true;
    const auto head = connection.ReadHead(2 * kRouteTimeout);
    request.status = head.status;
    connection.ReadRest(body, runtime::kMaxReplyBytes, 2 * kRouteTimeout);
    request.complete = true;
    request.valid = IsValid(request, head, body);
  } catch (const runtime::transport_error& error) {
    request.detail = error.what();
  }
  request.bytes = body.size();
  request.ended_at = std::chrono::steady_clock::now();
  return connection.reusable();
}

sent_request callers::CallOnce(const request_kind& kind,
                               const node_process& node) {
  sent_request request;
  request.id = "once-" + std::to_string(++next_id_);
  request.kind = &kind;
  request.node = node.name;
  runtime::http_connection connection(deployment_.loop());
  try {
    connection.Connect(node.caller_address, kConnectTimeout);
    Send(connection, request);
  } catch (const runtime::transport_error& error) {
    request.detail = error.what();
  }
  return request;
}

}  // namespace flamingoshunt::soak
