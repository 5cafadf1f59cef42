// Implements the part of the request machine that requests slots from admission
// and releases them.
#include <algorithm>
#include <array>
#include <utility>

#include "delivery/problems.h"
#include "delivery/request_machine.h"

namespace flamingoshunt::delivery {
namespace {

constexpr std::uint64_t kAssumedAnswerTokens = 256;  // without max_tokens
constexpr base::duration kMaxRetryAfter = std::chrono::seconds(2);

}  // namespace

void request_machine::RequestSlot() {
  state_ = request_state::kWaitingForSlot;
  silent_since_.reset();
  standby_slot_requested_ = false;  // Replaced at admission by this one.
  SendSlotRequest();
}

void request_machine::SendSlotRequest() {
  slot_request_at_.reset();
  admission::slot_request slot_request;
  slot_request.shape.request = request_.id;
  slot_request.shape.workspace = request_.workspace;
  slot_request.shape.entry = request_.entry;
  slot_request.shape.fingerprint = request_.fingerprint;
  slot_request.shape.prefix_hashes = request_.prefix_hashes;
  const std::uint64_t answer =
      request_.max_tokens ? request_.max_tokens : kAssumedAnswerTokens;
  slot_request.shape.cost =
      static_cast<double>(request_.prompt_tokens + answer);
  slot_request.shape.excluded = excluded_replicas_;
  slot_request.work = request_.work;
  slot_request.prompt_tokens = request_.prompt_tokens;
  slot_request.max_tokens = request_.max_tokens;
  slot_request.deadline = request_.deadline;
  slot_request.attempt = attempts_ + 1;
  slot_request.resumable = IsResumable();
  slot_request.preempted = std::exchange(preempted_, false);
  slot_request.tokens_done = answer_->tokens();
  out_.push_back(request_slot{std::move(slot_request)});
}

void request_machine::OnGrant(const admission::grant& message) {
  UseSlot(message, now_);
  fresh_connection_tried_ = false;
  if (claim_ && !claim_acquired_) {
    state_ = request_state::kAcquiringClaim;
    PerformClaimStep(claim_->Acquire(now_));
  } else {
    StartAttempt(!request_.repeatable);
  }
}

void request_machine::UseSlot(const admission::grant& granted,
                              base::time_point granted_at) {
  slot_ = granted;
  time_to_first_token_.reset();
  slot_granted_at_ = granted_at;
  tokens_at_grant_ = answer_->tokens();
  tokens_reported_ = tokens_at_grant_;
}

// The grant was sent before admission received the withdrawal.
void request_machine::OnLateGrant(const admission::grant& message) {
  ReleaseUnused(message, routing::attempt_result::kCancelled);
}

void request_machine::ReleaseUnused(const admission::grant& granted,
                                    routing::attempt_result result) {
  routing::attempt_finished finished;
  finished.request = request_.id;
  finished.replica = granted.place.replica;
  finished.epoch = granted.place.epoch;
  finished.fingerprint = request_.fingerprint;
  finished.result = result;
  out_.push_back(release_slot{{std::move(finished)}});
}

void request_machine::OnRefusal(const admission::refusal& message) {
  if (!MayRetrySlotRequest(message.reason)) {
    state_ = request_state::kBackingOff;  // No slot request is pending.
    Fail(MakeRefusalProblem(message, Outcome()),
         routing::attempt_result::kCancelled);
    return;
  }
  if (message.reason == admission::refusal_reason::kNoReplica)
    excluded_replicas_.clear();
  state_ = request_state::kBackingOff;
  SetSlotRequestTime(message.retry_after);
}

bool request_machine::IsResumable() const {
  return IsEngine() && request_.repeatable && !claim_ && answer_->CanRetry();
}

// Shorter work needs the slot. The stream resumes later, on this or another
// replica, at the token that it has reached. Nothing failed, so the attempt is
// not counted.
void request_machine::OnPreempt(const admission::preemption& message) {
  const bool current = slot_ && slot_->place.replica == message.replica &&
                       slot_->place.epoch == message.epoch;
  const bool is_standby = standby_ && standby_->slot &&
                          standby_->slot->place.replica == message.replica &&
                          standby_->slot->place.epoch == message.epoch;
  if (is_standby && !current) {
    stall_deadline_.reset();
    --attempts_;
    CancelStandby();
    DropStandby(routing::attempt_result::kCancelled);
    SetSlotRequestTime(std::nullopt);
    return;
  }
  if (!current || !IsResumable() || caller_is_done_)
    return;
  stall_deadline_.reset();
  CancelStandby();
  DropStandby(routing::attempt_result::kCancelled);
  CancelAttempt();
  --attempts_;
  ReleaseSlot(routing::attempt_result::kCancelled);
  if (!readmission_started_)
    readmission_started_ = now_;
  preempted_ = true;
  RequestSlot();
}

// A request that was admitted once should still get its answer, so it waits
// through a transient shortage instead of failing.
bool request_machine::MayRetrySlotRequest(
    admission::refusal_reason reason) const {
  using enum admission::refusal_reason;
  constexpr std::array kTransient = {kOverLimit, kQueueFull, kNoReplica,
                                     kRetryBudget, kConfigurationUnconfirmed};
  const bool is_transient = std::find(kTransient.begin(), kTransient.end(),
                                      reason) != kTransient.end();
  return is_transient && readmission_started_ &&
         now_ < *readmission_started_ + settings_.attempts.readmission_timeout;
}

void request_machine::SetSlotRequestTime(
    std::optional<base::duration> advised) {
  const base::duration pause =
      std::min(advised.value_or(base::duration::zero()), kMaxRetryAfter);
  slot_request_at_ =
      now_ + std::max(pause, settings_.attempts.readmission_pause);
}

void request_machine::ReleaseSlot(routing::attempt_result result) {
  if (!slot_)
    return;
  routing::attempt_finished finished;
  finished.request = request_.id;
  finished.replica = slot_->place.replica;
  finished.epoch = slot_->place.epoch;
  finished.fingerprint = request_.fingerprint;
  finished.result = result;
  finished.to_first_token =
      time_to_first_token_.value_or(base::duration::zero());
  finished.total = now_ - slot_granted_at_;
  finished.tokens = answer_->tokens() - tokens_at_grant_;
  out_.push_back(release_slot{{std::move(finished)}});
  slot_.reset();
}

}  // namespace flamingoshunt::delivery
