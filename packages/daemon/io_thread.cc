#include "daemon/io_thread.h"

#include <utility>

#include "caller/parse_request.h"
#include "runtime/fiber_scheduler.h"

namespace flamingoshunt::daemon {
namespace {

constexpr std::size_t kRingMessages = 4096;
constexpr std::size_t kCatalogueRing = 64;  // snapshots
constexpr base::duration kFullRingRetry = std::chrono::seconds(1);

std::string_view View(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

caller::http_request ToCallerRequest(const runtime::http_request& message) {
  caller::http_request request;
  request.method = View(message.method_string());
  request.target = View(message.target());
  for (const auto& field : message)
    request.headers.push_back({View(field.name_string()), View(field.value())});
  request.body = message.body();
  return request;
}

}  // namespace

io_thread::io_thread(io_thread_options options,
                     const base::clock& clock,
                     request_metrics& metrics,
                     telemetry::span_ring& spans)
    : options_(std::move(options)),
      clock_(clock),
      thread_("io-" + std::to_string(options_.index)),
      ids_(options_.unique_prefix + "." + std::to_string(options_.index)),
      random_(options_.seed),
      services_{thread_.loop(), clock_, options_.delivery,        ids_, random_,
                metrics,        spans,  options_.max_answer_bytes},
      attempts_(thread_.loop(), options_.attempts),
      answers_(
          kRingMessages,
          thread_.loop(),
          [this](dispatch_answer&& answer) { TakeAnswer(std::move(answer)); }),
      replies_(kRingMessages,
               thread_.loop(),
               [this](store::reply&& reply) {
                 const auto call = calls_.find(reply.id);
                 if (call == calls_.end())
                   return;
                 const auto session = sessions_.find(call->second);
                 calls_.erase(call);
                 if (session != sessions_.end())
                   session->second->Push(std::move(reply));
               }),
      catalogues_(kCatalogueRing,
                  thread_.loop(),
                  [this](catalogue::snapshot_ptr&& snapshot) {
                    catalogue_ = std::move(snapshot);
                  }) {
  server_ = std::make_unique<runtime::http_server>(
      thread_.loop(), options_.address, options_.server,
      [this](runtime::http_exchange& exchange) { Handle(exchange); });
}

io_thread::~io_thread() = default;

void io_thread::ConnectDispatch(duty::channel<dispatch_request>& requests) {
  dispatch_.emplace(thread_.loop(), requests);
}

void io_thread::ConnectPlatform(duty::channel<store::call>& calls) {
  platform_.emplace(thread_.loop(), calls);
}

void io_thread::Start(const std::atomic<bool>& ready) {
  ready_ = &ready;
  thread_.Start([this](boost::asio::io_context& loop) {
    runtime::RunFibers(loop, [this] {
      server_->Start();
      runtime::fiber_signal forever;
      forever.Wait();
    });
  });
}

void io_thread::BeginStop() {
  boost::asio::post(thread_.loop(), [this] {
    stopping_ = true;
    server_->StopAccepting();
    attempts_.Clear();
    for (const auto& [id, session] : sessions_)
      session->Push(delivery::node_stopping{});
  });
}

// A session ends before its connection does, so the last session can't tell
// that all is done.
bool io_thread::idle() {
  boost::asio::post(thread_.loop(), [this] { NoteIdle(); });
  return idle_.load();
}

void io_thread::NoteIdle() {
  if (stopping_ && sessions_.empty() && dispatch_->waiting() == 0 &&
      server_->connections() == 0)
    idle_.store(true);
}

void io_thread::Handle(runtime::http_exchange& exchange) {
  const std::string_view path = View(exchange.request().target());
  if (path.starts_with("/health/"))
    HandleHealth(exchange, path);
  else
    HandleRequest(exchange);
}

void io_thread::HandleHealth(runtime::http_exchange& exchange,
                             std::string_view path) {
  const bool live = path == "/health/live";
  const bool good = live || (path == "/health/ready" && ready_->load());
  exchange.SendWhole(good ? 200 : 503, "text/plain", good ? "ok\n" : "no\n");
}

void io_thread::HandleRequest(runtime::http_exchange& exchange) {
  if (!catalogue_ || stopping_ || sessions_.size() >= options_.max_requests) {
    const bool full = catalogue_ && !stopping_;
    SendProblem(exchange,
                {503, full ? "node_full" : "not_ready",
                 full ? "this node carries its bound of requests"
                      : "this node takes no requests now",
                 caller::run_outcome::kNotRun, std::chrono::seconds(1)},
                "");
    return;
  }
  auto parsed = caller::ParseRequest(ToCallerRequest(exchange.request()),
                                     *catalogue_, clock_.Now(), random_);
  if (const auto* problem = std::get_if<caller::problem>(&parsed.result)) {
    SendProblem(exchange, *problem, parsed.echoed_id);
    return;
  }
  auto session = std::make_shared<request_session>(
      static_cast<session_host&>(*this), services_,
      std::get<caller::request>(std::move(parsed.result)));
  sessions_[session->id()] = session;
  session->Serve(exchange, parsed.echoed_id);
}

void io_thread::TakeAnswer(dispatch_answer&& answer) {
  const base::request_id& id = std::visit(
      [](const auto& each) -> const base::request_id& { return each.request; },
      answer);
  const auto session = sessions_.find(id);
  if (session != sessions_.end()) {
    std::visit([&](auto& each) { session->second->Push(std::move(each)); },
               answer);
    return;
  }
  // The session ended while its place was on the way.
  if (const auto* grant = std::get_if<admission::grant>(&answer))
    GiveBack(*grant);
}

void io_thread::GiveBack(const admission::grant& grant) {
  routing::attempt_finished finished;
  finished.request = grant.request;
  finished.replica = grant.place.replica;
  finished.epoch = grant.place.epoch;
  finished.result = routing::attempt_result::kCancelled;
  Release({finished});
}

void io_thread::Ask(request_session& session,
                    const admission::slot_request& ask) {
  dispatch_request request = ask;
  if (dispatch_->TrySend(request))
    return;
  session.Push(admission::refusal{ask.shape.request,
                                  admission::refusal_reason::kQueueFull,
                                  kFullRingRetry});
}

void io_thread::Withdraw(const admission::withdrawal& withdraw) {
  dispatch_->Send(withdraw);
}

void io_thread::Release(const admission::release& release) {
  dispatch_->Send(release);
}

void io_thread::Progress(const admission::progress& progress) {
  dispatch_->Send(progress);
}

void io_thread::StartAttempt(request_session& session,
                             endpoint::attempt attempt) {
  telemetry::span span;
  if (const auto parent = telemetry::ParseTraceparent(attempt.traceparent)) {
    span.context = telemetry::NewChild(*parent, random_);
    span.parent = parent->span;
    attempt.traceparent = telemetry::FormatTraceparent(span.context);
  }
  span.request = attempt.request;
  span.name = "attempt";
  span.kind = telemetry::span_kind::kClient;
  span.start = clock_.WallNow();
  span.attributes = {
      {"replica", attempt.replica.str()},
      {"address", attempt.address},
      {"resumed_at",
       attempt.resume ? std::to_string(attempt.resume->offset) : "0"}};
  attempts_.Start(
      std::move(attempt),
      [this, span, self = session.shared_from_this()](answer_event event) {
        RecordAttempt(span, event);
        std::visit([&](auto& each) { self->PushAnswer(std::move(each)); },
                   event);
      });
}

void io_thread::RecordAttempt(const telemetry::span& span,
                              const answer_event& event) {
  const auto* broken = std::get_if<endpoint::answer_broken>(&event);
  if (!broken && !std::holds_alternative<endpoint::answer_end>(event))
    return;
  telemetry::span ended = span;
  ended.end = clock_.WallNow();
  ended.status =
      broken ? telemetry::span_status::kError : telemetry::span_status::kOk;
  if (broken) {
    ended.status_message = broken->detail;
    services_.metrics.broken_attempts.Add();
  }
  services_.spans.Record(std::move(ended));
}

void io_thread::CancelAttempt(base::attempt_id id) {
  attempts_.Cancel(id);
}

void io_thread::CallPlatform(request_session& session,
                             const store::call& call) {
  calls_[call.id] = session.id();
  platform_->Send(call);
}

void io_thread::Forget(request_session& session) {
  sessions_.erase(session.id());
}

}  // namespace flamingoshunt::daemon
