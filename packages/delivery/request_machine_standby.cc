// Implements the part of the request machine that runs a standby attempt beside
// one that is silent. Both run until one of them makes progress.
#include <algorithm>
#include <utility>

#include "delivery/problems.h"
#include "delivery/request_machine.h"

namespace flamingoshunt::delivery {
namespace {

constexpr int kOk = 200;                  // HTTP status
constexpr int kServiceUnavailable = 503;  // HTTP status

}  // namespace

bool request_machine::IsStandby(base::attempt_id attempt) const {
  return standby_ && standby_->attempt == attempt;
}

bool request_machine::MayStartStandby() const {
  return request_.repeatable && answer_->CanRetry() && !caller_is_done_ &&
         attempts_ < settings_.attempts.max_attempts;
}

// Called when the current attempt is silent and no standby runs.
void request_machine::SeekStandby() {
  stall_deadline_.reset();
  if (!silent_since_)
    silent_since_ = now_;
  if (!MayStartStandby()) {
    const bool has_time = request_.deadline && !caller_is_done_;
    if (!has_time)
      OnAttemptFailed(endpoint::break_kind::kStalled, true,
                      "no progress within the bound");
    return;
  }
  if (!ShouldTryFreshConnection(endpoint::break_kind::kStalled))
    return RequestStandbySlot();
  fresh_connection_tried_ = true;
  StartStandby(std::nullopt);
}

// @param granted where it runs; the current replica if empty.
void request_machine::StartStandby(std::optional<admission::grant> granted) {
  endpoint::attempt attempt =
      MakeAttempt(granted ? *granted : *slot_, !granted);
  // The state of a service's answer belongs to the silent attempt until then.
  if (IsEngine())
    attempt.resume = answer_->PrepareAttempt();
  standby_ =
      standby_attempt{attempt.id, std::move(granted), now_, std::nullopt};
  stall_deadline_ = now_ + StallTimeout(request_state::kAwaitingHead);
  out_.push_back(start_attempt{std::move(attempt)});
}

void request_machine::RequestStandbySlot() {
  slot_request_at_.reset();
  if (standby_slot_requested_)
    return;
  const base::replica_id& current = slot_->place.replica;
  if (std::find(excluded_replicas_.begin(), excluded_replicas_.end(),
                current) == excluded_replicas_.end())
    excluded_replicas_.push_back(current);
  standby_slot_requested_ = true;
  SendSlotRequest();
}

void request_machine::OnStandbyGrant(const admission::grant& message) {
  const bool wanted = std::exchange(standby_slot_requested_, false) &&
                      silent_since_ && !standby_ && MayStartStandby();
  if (wanted)
    StartStandby(message);
  else
    OnLateGrant(message);
}

void request_machine::OnStandbyRefusal(const admission::refusal& message) {
  const bool requested = std::exchange(standby_slot_requested_, false);
  if (!requested || !silent_since_ || standby_)
    return;
  if (message.reason == admission::refusal_reason::kNoReplica)
    excluded_replicas_.clear();
  const bool has_time =
      request_.deadline ||
      now_ < *silent_since_ + settings_.attempts.readmission_timeout;
  if (has_time)
    SetSlotRequestTime(message.retry_after);
  else
    Fail(MakeRefusalProblem(message, Outcome()),
         routing::attempt_result::kSlow);
}

// A stream has begun with its first token, other answers with their head.
void request_machine::OnStandbyHead(const endpoint::answer_head& head) {
  const bool failed =
      IsEngine() ? head.status != kOk : head.status == kServiceUnavailable;
  if (failed) {
    may_have_run_ = true;
    CancelStandby();
    OnStandbyFailed(endpoint::break_kind::kRefused);
    return;
  }
  standby_->head = head;
  stall_deadline_ = now_ + StallTimeout(request_state::kAwaitingFirstToken);
  if (!IsEngine())
    PromoteStandby(routing::attempt_result::kSlow);
}

void request_machine::OnStandbyFailed(endpoint::break_kind kind) {
  if (standby_->slot)
    excluded_replicas_.push_back(standby_->slot->place.replica);
  DropStandby(ToAttemptResult(kind));
  SeekStandby();
}

// @param result of the attempt that it replaces.
void request_machine::PromoteStandby(routing::attempt_result result) {
  standby_attempt promoted = *std::exchange(standby_, std::nullopt);
  CancelAttempt();
  may_have_run_ = true;
  if (promoted.slot) {
    ReleaseSlot(result);
    UseSlot(*promoted.slot, promoted.started);
  }
  answer_->PrepareAttempt();
  attempt_ = promoted.attempt;
  attempt_uses_fresh_connection_ = !promoted.slot;
  fresh_connection_tried_ = !promoted.slot;
  silent_since_.reset();
  slot_request_at_.reset();
  state_ = request_state::kAwaitingHead;
  RestartStallTimer();
  if (promoted.head)
    OnHead(*promoted.head);
}

void request_machine::CancelStandby() {
  if (!standby_)
    return;
  may_have_run_ = true;
  out_.push_back(cancel_attempt{standby_->attempt});
}

// The standby has ended or is cancelled.
void request_machine::DropStandby(routing::attempt_result result) {
  if (!standby_)
    return;
  const standby_attempt dropped = *std::exchange(standby_, std::nullopt);
  if (dropped.slot)
    ReleaseUnused(*dropped.slot, result);
}

// The current attempt made progress.
void request_machine::EndSilence() {
  if (!silent_since_)
    return;
  silent_since_.reset();
  slot_request_at_.reset();
  CancelStandby();
  DropStandby(routing::attempt_result::kCancelled);
}

// Sent after the release of the slots, since a withdrawal that crosses its
// grant releases any slot of the request.
void request_machine::WithdrawStandbyRequest() {
  if (std::exchange(standby_slot_requested_, false))
    out_.push_back(withdraw_slot_request{{request_.id}});
}

}  // namespace flamingoshunt::delivery
