// Implements the part of the request machine that runs attempts: their pieces,
// failures, retries and timeouts.
#include <algorithm>
#include <utility>

#include "delivery/problems.h"
#include "delivery/request_machine.h"

namespace flamingoshunt::delivery {
namespace {

bool IsKnownNotRun(endpoint::break_kind kind, bool may_have_been_sent) {
  return !may_have_been_sent && (kind == endpoint::break_kind::kConnectFailed ||
                                 kind == endpoint::break_kind::kRefused);
}

}  // namespace

routing::attempt_result request_machine::ToAttemptResult(
    endpoint::break_kind kind) {
  switch (kind) {
    case endpoint::break_kind::kConnectFailed:
    case endpoint::break_kind::kRefused:
      return routing::attempt_result::kNotStarted;
    case endpoint::break_kind::kStalled:
      return routing::attempt_result::kSlow;
    case endpoint::break_kind::kClosed:
    case endpoint::break_kind::kMalformed:
      break;
  }
  return routing::attempt_result::kBroken;
}

endpoint::attempt request_machine::MakeAttempt(const admission::grant& granted,
                                               bool fresh_connection) {
  ++attempts_;
  endpoint::attempt attempt;
  attempt.id = ids_.NextAttemptId();
  attempt.request = request_.id;
  attempt.replica = granted.place.replica;
  attempt.epoch = granted.place.epoch;
  attempt.address = granted.place.address;
  attempt.method = request_.method;
  attempt.target = request_.target;
  attempt.content_type = request_.content_type;
  attempt.body = request_.body;
  attempt.priority = granted.engine_priority;
  attempt.stream = IsEngine();
  attempt.fresh_connection = fresh_connection;
  attempt.traceparent = request_.traceparent;
  return attempt;
}

void request_machine::StartAttempt(bool fresh_connection) {
  endpoint::attempt attempt = MakeAttempt(*slot_, fresh_connection);
  attempt.resume = answer_->PrepareAttempt();
  attempt_ = attempt.id;
  attempt_uses_fresh_connection_ = fresh_connection;
  state_ = request_state::kAwaitingHead;
  out_.push_back(start_attempt{std::move(attempt)});
  RestartStallTimer();
}

// Messages of earlier attempts may still arrive and are ignored.
bool request_machine::IsCurrentAttempt(base::attempt_id attempt) const {
  return attempt_ == attempt;
}

void request_machine::OnHead(const endpoint::answer_head& message) {
  if (IsStandby(message.attempt))
    return OnStandbyHead(message);
  if (!IsCurrentAttempt(message.attempt) ||
      state_ != request_state::kAwaitingHead)
    return;
  effects pieces;
  const piece_result result = answer_->ApplyHead(message, pieces);
  SendToCaller(std::move(pieces));
  if (result == piece_result::kRejected)
    Fail(RejectedByEngine(message.status, Outcome()),
         routing::attempt_result::kCancelled);
  else
    ActOnPieceResult(result, request_state::kAwaitingFirstToken);
}

void request_machine::OnChunk(const endpoint::answer_chunk& message) {
  if (IsStandby(message.attempt))
    PromoteStandby(routing::attempt_result::kSlow);
  if (!IsCurrentAttempt(message.attempt))
    return;
  effects pieces;
  const piece_result result = answer_->ApplyChunk(message, pieces);
  SendToCaller(std::move(pieces));
  if (result == piece_result::kProgress)
    RecordProgress();
  ActOnPieceResult(result, request_state::kStreaming);
}

void request_machine::OnEnd(const endpoint::answer_end& message) {
  if (IsStandby(message.attempt))
    PromoteStandby(routing::attempt_result::kSlow);
  if (!IsCurrentAttempt(message.attempt))
    return;
  effects pieces;
  const piece_result result = answer_->ApplyEnd(message, pieces);
  SendToCaller(std::move(pieces));
  if (result == piece_result::kProgress) {
    Complete();
    return;
  }
  // The endpoint has already ended the attempt, so it is not cancelled.
  attempt_.reset();
  OnAttemptFailed(endpoint::break_kind::kMalformed, true,
                  "the answer ended before it was complete");
}

void request_machine::RecordProgress() {
  if (!time_to_first_token_)
    time_to_first_token_ = now_ - slot_granted_at_;
  const std::uint64_t tokens = answer_->tokens();
  if (tokens < tokens_reported_ + settings_.attempts.progress_step)
    return;
  out_.push_back(report_progress{{request_.id, tokens - tokens_reported_}});
  tokens_reported_ = tokens;
}

void request_machine::ActOnPieceResult(piece_result result,
                                       request_state next) {
  switch (result) {
    case piece_result::kProgress:
      state_ = next;
      EndSilence();
      RestartStallTimer();
      return;
    case piece_result::kDuplicate:
      return;
    case piece_result::kRetryElsewhere:
      return OnAttemptFailed(endpoint::break_kind::kRefused, true,
                             "the endpoint answered with an error status");
    case piece_result::kMalformed:
    case piece_result::kRejected:
      return OnAttemptFailed(endpoint::break_kind::kMalformed, true,
                             "the answer does not fit together");
  }
}

void request_machine::OnBroken(const endpoint::answer_broken& message) {
  if (IsStandby(message.attempt)) {
    may_have_run_ |=
        !IsKnownNotRun(message.kind, message.request_may_have_been_sent);
    OnStandbyFailed(message.kind);
    return;
  }
  if (!IsCurrentAttempt(message.attempt))
    return;
  attempt_.reset();
  OnAttemptFailed(message.kind, message.request_may_have_been_sent,
                  message.detail);
}

void request_machine::CancelAttempt() {
  if (!attempt_)
    return;
  out_.push_back(cancel_attempt{*attempt_});
  attempt_.reset();
}

void request_machine::OnAttemptFailed(endpoint::break_kind kind,
                                      bool may_have_been_sent,
                                      const std::string& detail) {
  stall_deadline_.reset();
  CancelAttempt();
  const bool known_not_run = IsKnownNotRun(kind, may_have_been_sent);
  if (!known_not_run)
    may_have_run_ = true;
  if (standby_)
    return PromoteStandby(ToAttemptResult(kind));
  const bool may_retry =
      request_.repeatable ? answer_->CanRetry() : known_not_run;
  const bool wanted =
      !caller_is_done_ && attempts_ < settings_.attempts.max_attempts;
  if (may_retry && wanted)
    Retry(kind);
  else
    Fail(EndpointFailed(detail, Outcome()), ToAttemptResult(kind));
}

void request_machine::Retry(endpoint::break_kind kind) {
  if (ShouldTryFreshConnection(kind)) {
    fresh_connection_tried_ = true;
    StartAttempt(true);
    return;
  }
  excluded_replicas_.push_back(slot_->place.replica);
  ReleaseSlot(ToAttemptResult(kind));
  readmission_started_ = now_;
  RequestSlot();
}

// A device on the network path may drop or close a connection while the
// endpoint is healthy; a fresh connection to the same replica distinguishes the
// two cases.
bool request_machine::ShouldTryFreshConnection(
    endpoint::break_kind kind) const {
  if (!request_.repeatable || fresh_connection_tried_ ||
      attempt_uses_fresh_connection_)
    return false;
  const bool closed_before_answer = kind == endpoint::break_kind::kClosed &&
                                    state_ == request_state::kAwaitingHead;
  return kind == endpoint::break_kind::kStalled || closed_before_answer;
}

base::duration request_machine::StallTimeout(request_state state) const {
  if (!IsEngine())
    return settings_.silence.service;
  if (state == request_state::kAwaitingHead)
    return settings_.silence.head;
  return state == request_state::kAwaitingFirstToken
             ? settings_.silence.first_token
             : settings_.silence.between_tokens;
}

void request_machine::RestartStallTimer() {
  stall_deadline_ = now_ + StallTimeout(state_);
}

void request_machine::OnTimer(const timer_fired& /*message*/) {
  armed_timer_.reset();
  if (request_.deadline && now_ >= *request_.deadline && !caller_is_done_)
    OnDeadline();
  if (claim_ && claim_->next_timer() && now_ >= *claim_->next_timer())
    PerformClaimStep(claim_->Tick(now_));
  if (slot_request_at_ && now_ >= *slot_request_at_) {
    if (silent_since_)
      RequestStandbySlot();
    else
      RequestSlot();
  }
  if (stall_deadline_ && now_ >= *stall_deadline_)
    OnStallTimeout();
}

// A claimed call that was sent continues, as after a caller's disconnect.
void request_machine::OnDeadline() {
  if (claim_ && attempt_) {
    SendToCaller({send_problem{DeadlinePassed(Outcome())}});
    caller_is_done_ = true;
  } else {
    Fail(DeadlinePassed(Outcome()), routing::attempt_result::kCancelled);
  }
}

void request_machine::OnStallTimeout() {
  const base::duration tolerance = settings_.silence.pause_tolerance;
  if (now_ - *stall_deadline_ > tolerance) {
    stall_deadline_ = now_ + tolerance;
    return;
  }
  if (standby_) {
    CancelStandby();
    OnStandbyFailed(endpoint::break_kind::kStalled);
  } else {
    SeekStandby();
  }
}

std::optional<base::time_point> request_machine::EarliestTimer() const {
  if (state_ == request_state::kFinished)
    return std::nullopt;
  std::optional<base::time_point> earliest;
  const auto consider = [&](const std::optional<base::time_point>& when) {
    if (when && (!earliest || *when < *earliest))
      earliest = when;
  };
  if (!caller_is_done_)
    consider(request_.deadline);
  if (claim_)
    consider(claim_->next_timer());
  consider(slot_request_at_);
  consider(stall_deadline_);
  return earliest;
}

// A timer that is already set for an earlier time is kept: when it fires and
// nothing is due, it is set again. This avoids setting a timer for every chunk
// of a stream.
void request_machine::ArmTimer() {
  const auto wanted = EarliestTimer();
  if (!wanted || (armed_timer_ && *armed_timer_ <= *wanted))
    return;
  armed_timer_ = wanted;
  out_.push_back(set_timer{*wanted});
}

}  // namespace flamingoshunt::delivery
