#include "daemon/membership_duty.h"

#include <utility>

#include "membership/limits.h"
#include "runtime/fiber_scheduler.h"
#include "telemetry/log.h"

namespace flamingoshunt::daemon {
namespace {

constexpr std::size_t kRingMessages = 4096;
constexpr std::string_view kPeerTarget = "/peer";

const char* NameOf(membership::peer_state state) {
  static constexpr const char* kNames[] = {"alive", "suspect", "dead", "left"};
  return kNames[static_cast<std::size_t>(state)];
}

runtime::http_server_options ServerOptions() {
  runtime::http_server_options options;
  options.max_body_bytes = membership::kMaxBody;
  options.idle_timeout = std::chrono::minutes(5);
  return options;
}

}  // namespace

membership_duty::membership_duty(const membership_options& options,
                                 const base::clock& clock)
    : clock_(clock),
      thread_("membership"),
      pool_(thread_.loop()),
      timer_(thread_.loop(), [this] { Feed(membership::tick{}); }),
      platform_news_(kRingMessages,
                     thread_.loop(),
                     [this](platform_delivery&& news) {
                       if (const auto* reply = std::get_if<store::reply>(&news))
                         Feed(*reply);
                     }) {
  server_ = std::make_unique<runtime::http_server>(
      thread_.loop(), options.listen, ServerOptions(),
      [this](runtime::http_exchange& exchange) { HandlePost(exchange); });
  agent_ = membership::agent_builder()
               .Node(options.node)
               .Address(server_->address())
               .FailureDomain(options.failure_domain)
               .Region(options.region)
               .Incarnation(options.incarnation)
               .ClusterKeys({options.cluster_key})
               .Timing(options.timing)
               .Random(base::random_engine(options.seed))
               .Build();
}

void membership_duty::ConnectPlatform(duty::channel<store::call>& calls) {
  calls_.emplace(thread_.loop(), calls);
}

duty::channel<membership::publish>& membership_duty::Link(
    duty::channel<peer_news>& news) {
  listeners_.push_back(
      std::make_unique<duty::outbox<peer_news>>(thread_.loop(), news));
  publications_.push_back(std::make_unique<duty::channel<membership::publish>>(
      kRingMessages, thread_.loop(),
      [this](membership::publish&& item) { Feed(item); }));
  return *publications_.back();
}

void membership_duty::Start() {
  thread_.Start([this](boost::asio::io_context& loop) {
    runtime::RunFibers(loop, [this] {
      server_->Start();
      Perform(agent_->Start(clock_.Now()));
      runtime::fiber_signal forever;
      forever.Wait();
    });
  });
}

void membership_duty::BeginLeave() {
  boost::asio::post(thread_.loop(), [this] { Feed(membership::leave{}); });
}

void membership_duty::Perform(membership::effects effects) {
  for (const auto& call : effects.calls)
    SendCall(call);
  for (auto& answer : effects.answers) {
    const auto waiting = unanswered_.find(answer.handle);
    if (waiting != unanswered_.end())
      waiting->second.Push(std::move(answer.body));
  }
  for (auto& call : effects.platform_calls)
    calls_->Send(std::move(call));
  for (const auto& change : effects.changes)
    telemetry::LogChange(
        "membership", NameOf(change.state),
        {{"peer", change.id.str()}, {"incarnation", change.incarnation}});
  for (const auto& listener : listeners_) {
    if (effects.peers)
      listener->Send(*effects.peers);
    for (const auto& item : effects.items)
      listener->Send(item);
  }
  if (effects.left)
    left_.store(true);
  timer_.Arm(agent_->NextTimer());
}

void membership_duty::HandlePost(runtime::http_exchange& exchange) {
  if (exchange.request().target() != kPeerTarget) {
    exchange.SendWhole(404, "text/plain", "no such page\n");
    return;
  }
  const membership::peer_request_handle handle(next_handle_++);
  auto& answer = unanswered_[handle];
  Feed(membership::peer_request{handle, exchange.request().body()});
  std::string body = answer.Pop();
  unanswered_.erase(handle);
  exchange.SendWhole(200, "application/json", std::move(body));
}

// A peer message may be repeated: it carries a counter, and one that arrives
// twice is refused as a replay.
void membership_duty::SendCall(const membership::peer_call& call) {
  runtime::SpawnFiber([this, call] {
    try {
      const auto reply =
          runtime::Fetch(pool_, call.address,
                         runtime::MakeRequest("POST", kPeerTarget, call.address,
                                              call.body, "application/json"),
                         call.timeout);
      if (reply.head.status == 200)
        Feed(membership::peer_call_answered{call.id, reply.body});
      else
        Feed(membership::peer_call_failed{call.id});
    } catch (const runtime::transport_error&) {
      Feed(membership::peer_call_failed{call.id});
    } catch (const base::user_error&) {
      // The peer's own address is no address.
      Feed(membership::peer_call_failed{call.id});
    }
  });
}

boost::json::value membership_duty::Answer(const status_query&) {
  boost::json::array peers;
  for (const auto& [id, record] : agent_->state().members().all()) {
    boost::json::object each;
    each["node"] = id.str();
    each["state"] = NameOf(record.known.state);
    each["address"] = record.known.address;
    peers.push_back(std::move(each));
  }
  boost::json::object status;
  status["peers"] = std::move(peers);
  return status;
}

}  // namespace flamingoshunt::daemon
