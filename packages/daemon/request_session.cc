#include "daemon/request_session.h"

#include <utility>

#include "runtime/fiber_scheduler.h"

namespace flamingoshunt::daemon {
namespace {

// Pieces of an answer that wait for a slow caller before its endpoint is made
// to wait as well.
constexpr std::size_t kMaxQueuedInputs = 256;

delivery::request_machine MakeMachine(session_services& services) {
  return delivery::request_machine::builder()
      .WithSettings(services.settings)
      .WithIds(services.ids)
      .AcceptedAt(services.clock.WallNow())
      .Build();
}

}  // namespace

// Performs each kind of effect; one overload each.
struct effect_performer {
  request_session& session;

  void operator()(const delivery::request_slot& effect) const {
    session.host_.Ask(session, effect.slot_request);
  }
  void operator()(const delivery::withdraw_slot_request& effect) const {
    session.host_.Withdraw(effect.withdraw);
  }
  void operator()(const delivery::release_slot& effect) const {
    session.host_.Release(effect.release);
  }
  void operator()(const delivery::report_progress& effect) const {
    session.host_.Progress(effect.progress);
  }
  void operator()(const delivery::start_attempt& effect) const {
    session.services_.metrics.attempts.Add();
    if (effect.attempt.resume)
      session.services_.metrics.resumed_streams.Add();
    session.host_.StartAttempt(session, effect.attempt);
  }
  void operator()(const delivery::cancel_attempt& effect) const {
    session.host_.CancelAttempt(effect.attempt);
  }
  void operator()(const delivery::call_platform& effect) const {
    session.host_.CallPlatform(session, effect.call);
  }
  void operator()(const delivery::set_timer& effect) const {
    session.timer_.Arm(effect.when);
  }
  void operator()(const delivery::send_head& effect) const {
    if (session.writer_)
      session.writer_->Head(effect);
  }
  void operator()(const delivery::send_chunk& effect) const {
    session.NoteChunk(effect);
    if (session.writer_)
      session.writer_->Chunk(effect);
  }
  void operator()(const delivery::send_end& effect) const {
    session.services_.metrics.completed.Add();
    session.span_.status = telemetry::span_status::kOk;
    if (session.writer_)
      session.writer_->End(effect);
    session.caller_done_ = true;
  }
  void operator()(const delivery::send_problem& effect) const {
    session.NoteProblem(effect.problem);
    if (session.writer_)
      session.writer_->Problem(effect.problem);
    session.caller_done_ = true;
  }
};

request_session::request_session(session_host& host,
                                 session_services& services,
                                 caller::request request)
    : host_(host),
      services_(services),
      request_(std::move(request)),
      machine_(MakeMachine(services)),
      timer_(services.loop, [this] { Push(delivery::timer_fired{}); }),
      accepted_(services.clock.Now()) {
  StartTrace();
}

void request_session::StartTrace() {
  const auto parent = telemetry::ParseTraceparent(request_.traceparent);
  span_.context = parent ? telemetry::NewChild(*parent, services_.random)
                         : telemetry::NewTrace(services_.random);
  if (parent)
    span_.parent = parent->span;
  span_.request = request_.id;
  span_.name = "request";
  span_.kind = telemetry::span_kind::kServer;
  span_.start = services_.clock.WallNow();
  span_.attributes = {{"workspace", request_.workspace.str()},
                      {"entry", request_.entry.str()}};
  request_.traceparent = telemetry::FormatTraceparent(span_.context);
}

void request_session::RecordSpan() {
  span_.end = services_.clock.WallNow();
  services_.spans.Record(span_);
  services_.metrics.duration.Observe(services_.clock.Now() - accepted_);
}

void request_session::Serve(runtime::http_exchange& exchange,
                            const std::string& echoed_id) {
  services_.metrics.received.Add();
  services_.metrics.in_progress.Add(1);
  writer_ =
      MakeAnswerWriter(exchange, request_, echoed_id, services_.clock.WallNow(),
                       services_.max_answer_bytes);
  bool caller_left = false;
  exchange.WatchCaller([&] {
    caller_left = true;
    Push(delivery::caller_disconnected{});
  });
  Step(delivery::request_accepted{request_});
  while (!machine_.finished() && !caller_done_ && !caller_left)
    Step(inputs_.Pop());
  while (caller_left && !machine_.finished() && !inputs_.empty())
    Step(inputs_.Pop());
  if (caller_left && !caller_done_) {
    services_.metrics.callers_gone.Add();
    exchange.Abort();
  }
  writer_.reset();
  RecordSpan();
  services_.metrics.in_progress.Add(-1);
  FinishDetached();
}

void request_session::FinishDetached() {
  const auto self = shared_from_this();
  if (machine_.finished()) {
    host_.Forget(*self);
    return;
  }
  runtime::SpawnFiber([self] {
    while (!self->machine_.finished())
      self->Step(self->inputs_.Pop());
    self->host_.Forget(*self);
  });
}

void request_session::PushAnswer(delivery::input message) {
  while (inputs_.size() >= kMaxQueuedInputs && !machine_.finished())
    taken_.Wait();
  Push(std::move(message));
}

void request_session::Step(delivery::input message) {
  const effect_performer perform{*this};
  for (delivery::effect& effect :
       machine_.Handle(message, services_.clock.Now()))
    std::visit(perform, effect);
  taken_.NotifyAll();
}

void request_session::NoteChunk(const delivery::send_chunk& chunk) {
  const base::time_point now = services_.clock.Now();
  if (last_chunk_)
    services_.metrics.between_tokens.Observe(now - *last_chunk_);
  else
    services_.metrics.first_token.Observe(now - accepted_);
  last_chunk_ = now;
  services_.metrics.tokens.Add(chunk.token_count);
}

void request_session::NoteProblem(const caller::problem& problem) {
  const bool not_run = problem.outcome == caller::run_outcome::kNotRun;
  (not_run ? services_.metrics.refused : services_.metrics.failed).Add();
  span_.status = telemetry::span_status::kError;
  span_.status_message = problem.type;
}

}  // namespace flamingoshunt::daemon
