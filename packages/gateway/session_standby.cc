// Starts a second attempt beside a silent one, and takes it over when it is the
// first of the two to answer or when the other one has ended.
#include <algorithm>
#include <utility>

#include "base/milliseconds.h"
#include "gateway/attempt_bounds.h"
#include "gateway/session.h"
#include "telemetry/log.h"

namespace flamingoshunt::gateway {
namespace {

using std::chrono::milliseconds;

// Time between two tries to start a second attempt of one request.
constexpr milliseconds kStandbyPeriod{30};

const char* StateName(standby_state state) {
  switch (state) {
    case standby_state::kRunning:
      return "running";
    case standby_state::kReady:
      return "ready";
    case standby_state::kNotSent:
      return "not_sent";
    case standby_state::kNotRun:
      return "not_run";
    case standby_state::kFailed:
      return "failed";
    case standby_state::kBroken:
      return "broken";
  }
  return "unknown";
}

std::string PlaceOf(const standby_order& order) {
  return order.peer ? order.peer->node.str()
                    : order.granted->replica.instance.str();
}

}  // namespace

// The retry, the slot and the attempt are taken before anything is sent; the
// current attempt continues in any case.
void session::StartStandby() {
  const auto now = entry_.Now();
  if (now < next_standby_at_)
    return;
  next_standby_at_ = now + kStandbyPeriod;
  if (CrashesReplicas()) {
    DeclineStandby("crashes_replicas");
    return;
  }
  if (failed_connections_ >= static_cast<int>(kMaxFailedConnections)) {
    DeclineStandby("failed_connections");
    return;
  }
  if (entry_.retry_budget_.Usage(service_, now).is_exhausted()) {
    DeclineStandby("budget_used_up");
    return;
  }
  auto order = MakeStandbyOrder();
  if (!order) {
    DeclineStandby("no_place");
    return;
  }
  // Owns the slot from here on.
  const auto started = std::make_shared<standby_attempt>(
      entry_, std::move(*order),
      [this](standby_attempt& settled) { OnStandbySettled(settled); });
  auto message = WriteStandby(started->order());
  entry_.retry_budget_.TryRetry(service_, now);
  ++attempts_sent_;
  entry_.metrics_.standbys.Add();
  telemetry::LogChange(
      "gateway", "standby_started",
      {{"request", head_.id.str()},
       {started->order().peer ? "peer" : "instance", PlaceOf(started->order())},
       {"silent_ms", base::WholeMilliseconds(now - last_progress_at_)},
       {"left_ms", base::WholeMilliseconds(RemainingTime())},
       {"attempts", attempts_sent_},
       {"max_attempts", route_->max_attempts}});
  standbys_.push_back(started);
  started->Start(std::move(message));
}

// @return nothing if no peer or replica has a place.
std::optional<standby_order> session::MakeStandbyOrder() {
  standby_order order;
  order.service = service_;
  order.request = head_.id;
  order.deadline = deadline_;
  order.stream = route_->stream;
  order.resume_after = splitter_.last_id();
  if (auto peer = ChoosePeer()) {
    tried_peers_.push_back(peer->node);
    order.peer = std::move(peer);
    return order;
  }
  if (entry_.IsCutOff(service_))
    return std::nullopt;
  order.granted = entry_.PlaceNow(MakeSlotRequest());
  if (!order.granted)
    return std::nullopt;
  tried_replicas_.push_back(order.granted->replica.instance);
  return order;
}

runtime::http_request session::WriteStandby(const standby_order& order) const {
  return order.peer
             ? EncodePeerRequest(MakePeerRequest(), order.peer->address)
             : entry_.protocol_.WriteAttempt(
                   request_, MakeAttemptHead(order.granted->replica.instance));
}

// Logged once per attempt and reason.
void session::DeclineStandby(std::string_view reason) {
  if (std::exchange(standby_declined_, reason) == reason)
    return;
  const retry_usage usage = entry_.retry_budget_.Usage(service_, entry_.Now());
  telemetry::LogChange(
      "gateway", "standby_declined",
      {{"request", head_.id.str()},
       {"reason", reason},
       {"silent_ms", base::WholeMilliseconds(entry_.Now() - last_progress_at_)},
       {"attempts", attempts_sent_},
       {"service_retries", usage.retries},
       {"service_retries_allowed", usage.allowed},
       {"left_ms", base::WholeMilliseconds(RemainingTime())}});
}

void session::OnStandbySettled(standby_attempt& settled) {
  standby_changed_.Notify();
  if (settled.state() == standby_state::kReady) {
    if (upstream_)
      AbandonAttempt();
    return;
  }
  const auto& granted = settled.order().granted;
  if (granted && settled.connect_failed())
    ++failed_connections_;
  if (granted && settled.state() == standby_state::kBroken &&
      settled.was_sent() && !settled.timed_out())
    ReportStandbyCrash(settled);
  if (granted && settled.state() == standby_state::kNotRun && route_->stream)
    entry_.ReportRefusal(granted->replica.instance);
  standby_failure_ = settled.state();
  ForgetStandby(settled, StateName(settled.state()));
}

// Starts another attempt if the latest one is silent, too.
void session::CheckStandby(base::time_point now) {
  if (standbys_.empty() || FindReadyStandby())
    return;
  const standby_attempt& latest = *standbys_.back();
  const auto& granted = latest.order().granted;
  const base::duration patience =
      granted && route_->stream
          ? entry_.stall_detector_.FirstEventTimeout(
                PoolKey(), granted->expected.first_event)
          : kTargetsBeforeStandby * route_->first_answer_target;
  if (now - latest.started_at() <= patience || !CanFailOver())
    return;
  if (granted)
    entry_.ReportStall(service_, granted->replica.instance,
                       now - latest.started_at());
  StartStandby();
}

std::shared_ptr<standby_attempt> session::FindReadyStandby() const {
  const auto ready = std::find_if(
      standbys_.begin(), standbys_.end(),
      [](const auto& each) { return each->state() == standby_state::kReady; });
  return ready == standbys_.end() ? nullptr : *ready;
}

// Keeps the current attempt, which made progress. An abandoned one may still
// deliver bytes that had been read before.
void session::KeepAttempt() {
  if (!replica_stalled_)
    DropStandbys("answered");
}

void session::DropStandbys(std::string_view reason) {
  while (!standbys_.empty()) {
    standbys_.back()->Cancel();
    ForgetStandby(*standbys_.back(), reason);
  }
}

void session::ForgetStandby(const standby_attempt& ended,
                            std::string_view how) {
  const auto place =
      std::find_if(standbys_.begin(), standbys_.end(),
                   [&](const auto& each) { return each.get() == &ended; });
  // Keeps it alive until its end has been recorded.
  const auto held = *place;
  standbys_.erase(place);
  if (!held->was_sent()) {
    --attempts_sent_;
    entry_.retry_budget_.Refund(service_);
  } else if (held->state() != standby_state::kNotRun) {
    standby_may_have_run_ = may_have_run_ = true;
  }
  telemetry::LogChange(
      "gateway", "standby_ended",
      {{"request", head_.id.str()},
       {held->order().peer ? "peer" : "instance", PlaceOf(held->order())},
       {"how", how},
       {"sent", held->was_sent()},
       {"left_ms", base::WholeMilliseconds(RemainingTime())},
       {"detail", held->detail()}});
}

session::attempt_result session::ResultOf(standby_state failure) {
  switch (failure) {
    case standby_state::kNotSent:
      return attempt_result::kNotSent;
    case standby_state::kNotRun:
      return attempt_result::kNotRun;
    case standby_state::kFailed:
      return attempt_result::kFailed;
    case standby_state::kRunning:
    case standby_state::kReady:
    case standby_state::kBroken:
      break;
  }
  return attempt_result::kBroken;
}

session::attempt_result session::TakeStandby() {
  awaits_standby_ = true;
  while (!caller_gone_ && !standbys_.empty() && !FindReadyStandby())
    standby_changed_.Wait();
  awaits_standby_ = false;
  if (caller_gone_)
    return attempt_result::kCallerGone;
  const auto standby = FindReadyStandby();
  if (!standby)
    return SettleAttempt(ResultOf(standby_failure_), may_have_run_);
  ForgetStandby(*standby, "taken");
  DropStandbys("other_answered");
  entry_.metrics_.standbys_taken.Add();
  const auto& granted = standby->order().granted;
  const auto& peer = standby->order().peer;
  BeginAttempt();
  if (granted) {
    current_replica_ = granted->replica.instance;
    expected_ = granted->expected;
  } else {
    current_peer_ = peer->node;
  }
  attempt_has_head_ = true;
  connection_was_used_ = false;
  last_progress_at_ = attempt_started_at_ = standby->sent_at();
  upstream_ = standby->TakeConnection();
  const grant* replica_grant = granted ? &*granted : nullptr;
  const attempt_result result = RunSteps(replica_grant, [&] {
    if (route_->stream)
      return RelayEvents(replica_grant, standby->head(),
                         standby->TakeFirstBytes());
    return granted ? BufferAnswer(standby->head()) : PassWhole(standby->head());
  });
  standby->ReleaseSlot(result == attempt_result::kComplete);
  return result;
}

}  // namespace flamingoshunt::gateway
