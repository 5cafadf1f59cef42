#include "daemon/entry_duty.h"

#include <boost/asio/post.hpp>
#include <boost/fiber/operations.hpp>

#include <utility>

#include "base/milliseconds.h"
#include "daemon/explain_json.h"
#include "runtime/fiber_scheduler.h"
#include "telemetry/log.h"

namespace flamingoshunt::daemon {
namespace {

using std::chrono::milliseconds;

// A longer delay of the I/O thread is logged.
constexpr milliseconds kLongLoopDelay{250};
constexpr std::size_t kRingUpdates = 256;
// How often loads are told to the control thread, which tells the peers.
constexpr milliseconds kTellPeriod{100};
// Callers reuse connections up to the announced idle time; ours is longer, so
// that a request never meets our close.
constexpr milliseconds kIdleMargin{1000};
// Of what was refused or closed to stay within the bounds, one line.
constexpr milliseconds kBoundEventsPeriod{1000};
constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kNotFound = 404;

}  // namespace

entry_duty::entry_duty(entry_duty_options options,
                       const base::clock& clock,
                       const gateway::protocol& wire,
                       gateway::metrics& metrics)
    : options_(std::move(options)),
      clock_(clock),
      metrics_(metrics),
      thread_("entry"),
      entry_(
          thread_.loop(),
          clock,
          wire,
          metrics,
          options_.seed,
          [this](gateway::entry_update news) {
            if (news_)
              news_->Send(std::move(news));
          },
          [this] { updates_.TakePending(); },
          options_.dispatcher),
      updates_(kRingUpdates,
               thread_.loop(),
               [this](gateway::fleet_update&& update) { TakeUpdate(update); }) {
  const auto make_budget = [this](const runtime::budget_bounds& bounds) {
    return std::make_shared<runtime::memory_budget>(
        bounds, [this](runtime::bound_event event) { OnBoundEvent(event); });
  };
  options_.server.budget = make_budget(options_.caller_bounds);
  callers_ = std::make_unique<runtime::http_server>(
      thread_.loop(), options_.caller_address, options_.server,
      [this](auto& exchange) { entry_.Handle(exchange); });
  options_.server.budget = make_budget(options_.internal_bounds);
  questions_ = std::make_unique<runtime::http_server>(
      thread_.loop(), options_.ready_address, options_.server,
      [this](auto& exchange) { AnswerReady(exchange); });
  if (!options_.passed_address.empty())
    passed_ = std::make_unique<runtime::http_server>(
        thread_.loop(), options_.passed_address, PassedOptions(),
        [this](auto& exchange) { entry_.HandlePassed(exchange); });
}

entry_duty::~entry_duty() = default;

void entry_duty::ConnectFleet(duty::channel<gateway::entry_update>& news) {
  news_.emplace(thread_.loop(), news);
}

void entry_duty::Start() {
  thread_.Start([this](boost::asio::io_context& loop) {
    runtime::RunFibers(loop, [this] {
      callers_->Start();
      questions_->Start();
      if (passed_)
        passed_->Start();
      TellLoop();
    });
  });
}

boost::json::value entry_duty::Answer(const status_query& query) const {
  if (query.verb != "explain")
    return {{"running", entry_.running()}, {"configured", configured_}};
  const auto described = ParseExplainQuery(query.argument);
  if (!described)
    return {{"error", "malformed_query"}};
  return ToJson(entry_.Explain(*described));
}

void entry_duty::TellLoop() {
  gateway::load_map told;
  gateway::queue_length_map told_lines;
  bool told_requests = false;
  while (true) {
    const auto due = clock_.Now() + kTellPeriod;
    boost::this_fiber::sleep_for(kTellPeriod);
    RecordLoopDelay(clock_.Now() - due);
    LogBoundEvents();
    updates_.TakePending();
    gateway::entry_update news = entry_.CollectUpdate();
    // The others divide free places by the lengths of the lines.
    news.urgent = news.urgent || news.queue_lengths != told_lines;
    const bool changed =
        !(news.loads == told) || news.seen_requests != told_requests ||
        !news.suspects.empty() || !news.crashes.empty() ||
        !news.queries.empty() || !news.answered_parts.empty() ||
        !news.answered_requests.empty() || news.urgent;
    if (!changed)
      continue;
    told = news.loads;
    told_lines = news.queue_lengths;
    told_requests = news.seen_requests;
    news_->Send(std::move(news));
  }
}

void entry_duty::RecordLoopDelay(base::duration delay) {
  metrics_.loop_delay.Observe(delay);
  if (delay < kLongLoopDelay)
    return;
  telemetry::LogChange("gateway", "loop_delayed",
                       {{"delay_ms", base::WholeMilliseconds(delay)},
                        {"running", entry_.running()},
                        {"connections", callers_->connections()}});
}

void entry_duty::OnBoundEvent(runtime::bound_event event) {
  const auto index = static_cast<std::size_t>(event);
  metrics_.bound_events.at(index)->Add();
  ++new_bound_events_.at(index);
}

void entry_duty::LogBoundEvents() {
  const auto now = clock_.Now();
  if (now - bound_events_logged_at_ < kBoundEventsPeriod ||
      new_bound_events_ == decltype(new_bound_events_){})
    return;
  bound_events_logged_at_ = now;
  using runtime::bound_event;
  const auto count = [&](bound_event event) {
    return new_bound_events_.at(static_cast<std::size_t>(event));
  };
  telemetry::LogChange(
      "gateway", "callers_over_bounds",
      {{"idle_closed", count(bound_event::kIdleClosed)},
       {"reading_closed", count(bound_event::kReadingClosed)},
       {"writing_closed", count(bound_event::kWritingClosed)},
       {"connections_refused", count(bound_event::kConnectionRefused)},
       {"requests_refused", count(bound_event::kRequestRefused)},
       {"framing_refused", count(bound_event::kFramingRefused)},
       {"too_slow", count(bound_event::kRequestTooSlow)},
       {"answers_not_buffered", count(bound_event::kAnswerNotBuffered)},
       {"held_bytes", callers_->budget().held()},
       {"connections", callers_->connections()}},
      telemetry::log_level::kWarning);
  new_bound_events_ = {};
}

void entry_duty::SetLimits(const gateway::caller_limits& limits) {
  limits_ = limits;
  options_.server.max_header_bytes = limits.header_bytes;
  options_.server.max_body_bytes = limits.body_bytes;
  options_.server.request_timeout = limits.header_timeout;
  options_.server.idle_timeout = limits.idle_timeout + kIdleMargin;
  callers_->SetOptions(options_.server);
  if (passed_)
    passed_->SetOptions(PassedOptions());
}

runtime::http_server_options entry_duty::PassedOptions() const {
  runtime::http_server_options options = options_.server;
  options.max_body_bytes += gateway::kPeerRequestOverhead;
  return options;
}

void entry_duty::TakeUpdate(const gateway::fleet_update& update) {
  entry_.ApplyUpdate(update);
  if (!update.view || !update.view->configuration)
    return;
  const auto& limits = update.view->configuration->limits();
  if (!(limits == limits_))
    SetLimits(limits);
  if (!configured_)
    telemetry::LogChange(
        "gateway", "ready",
        {{"configuration", update.view->configuration->version()}});
  configured_ = true;
}

void entry_duty::AnswerReady(runtime::http_exchange& exchange) {
  const auto target = exchange.request().target();
  if (target != "/-/ready" && target != "/health/ready") {
    exchange.SendWhole(kNotFound, "", "");
    return;
  }
  const bool ready = configured_ && !stopping_;
  exchange.SendWhole(ready ? kOk : kUnavailable, "", "");
}

void entry_duty::BeginStop() {
  boost::asio::post(thread_.loop(), [this] {
    stopping_ = true;
    callers_->CloseAfterAnswers();
    if (passed_)
      passed_->CloseAfterAnswers();
  });
}

void entry_duty::StopAccepting() {
  boost::asio::post(thread_.loop(), [this] {
    callers_->StopAccepting();
    if (passed_)
      passed_->StopAccepting();
  });
}

bool entry_duty::idle() {
  // A connection counts from before its request is running until its answer
  // has been written.
  boost::asio::post(thread_.loop(), [this] {
    const std::size_t open =
        callers_->connections() + (passed_ ? passed_->connections() : 0);
    idle_.store(entry_.running() == 0 && open == 0);
  });
  return idle_.load();
}

}  // namespace flamingoshunt::daemon
