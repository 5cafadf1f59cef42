// The part of the request machine that asks admission for places and gives them
// back.
#include <algorithm>
#include <array>
#include <utility>

#include "delivery/problems.h"
#include "delivery/request_machine.h"

namespace flamingoshunt::delivery {
namespace {

constexpr std::uint64_t kAssumedAnswer = 256;  // tokens, without a bound
constexpr base::duration kMaxAdvisedPause = std::chrono::seconds(2);

}  // namespace

void request_machine::Ask() {
  state_ = request_state::kWaitingForPlace;
  ask_again_at_.reset();
  admission::slot_request ask;
  ask.shape.request = request_.id;
  ask.shape.workspace = request_.workspace;
  ask.shape.entry = request_.entry;
  ask.shape.fingerprint = request_.fingerprint;
  ask.shape.prefix_hashes = request_.prefix_hashes;
  const std::uint64_t answer =
      request_.max_tokens ? request_.max_tokens : kAssumedAnswer;
  ask.shape.cost = static_cast<double>(request_.prompt_tokens + answer);
  ask.shape.excluded = excluded_;
  ask.work = request_.work;
  ask.prompt_tokens = request_.prompt_tokens;
  ask.max_tokens = request_.max_tokens;
  ask.deadline = request_.deadline;
  ask.attempt = attempts_ + 1;
  ask.resumable = IsResumable();
  ask.preempted = std::exchange(preempted_, false);
  ask.tokens_done = answer_->tokens();
  out_.push_back(ask_place{std::move(ask)});
}

void request_machine::OnGrant(const admission::grant& message) {
  place_ = message;
  fresh_tried_here_ = false;
  to_first_token_.reset();
  attempt_started_ = now_;
  tokens_at_start_ = answer_->tokens();
  tokens_reported_ = tokens_at_start_;
  if (claim_ && !claim_is_ours_) {
    state_ = request_state::kTakingClaim;
    Perform(claim_->Take(now_));
  } else {
    StartAttempt(!request_.repeatable);
  }
}

// The grant crossed our withdrawal.
void request_machine::OnLateGrant(const admission::grant& message) {
  routing::attempt_finished finished;
  finished.request = request_.id;
  finished.replica = message.place.replica;
  finished.epoch = message.place.epoch;
  finished.fingerprint = request_.fingerprint;
  finished.result = routing::attempt_result::kCancelled;
  out_.push_back(release_place{{std::move(finished)}});
}

void request_machine::OnRefusal(const admission::refusal& message) {
  if (!MayAskAgain(message.reason)) {
    state_ = request_state::kPausing;  // Nothing is left to withdraw.
    Fail(ProblemOfRefusal(message, Outcome()),
         routing::attempt_result::kCancelled);
    return;
  }
  if (message.reason == admission::refusal_reason::kNoReplica)
    excluded_.clear();
  PauseBeforeAsking(message.retry_after);
}

bool request_machine::IsResumable() const {
  return IsEngine() && request_.repeatable && !claim_ && answer_->CanContinue();
}

// Short work needs the slot. The stream goes on later, elsewhere or here, at
// the token that it has reached; nothing failed, so no attempt is counted.
void request_machine::OnPreempt(const admission::preemption& message) {
  const bool current = place_ && place_->place.replica == message.replica &&
                       place_->place.epoch == message.epoch;
  if (!current || !IsResumable() || caller_is_done_)
    return;
  silence_at_.reset();
  CancelAttempt();
  --attempts_;
  ReleasePlace(routing::attempt_result::kCancelled);
  if (!readmission_since_)
    readmission_since_ = now_;
  preempted_ = true;
  Ask();
}

// A request that was admitted once is owed its answer, so a shortage that may
// pass is waited out.
bool request_machine::MayAskAgain(admission::refusal_reason reason) const {
  using enum admission::refusal_reason;
  constexpr std::array kPassing = {kOverLimit, kQueueFull, kNoReplica,
                                   kRetryBudget, kConfigurationUnconfirmed};
  const bool passing =
      std::find(kPassing.begin(), kPassing.end(), reason) != kPassing.end();
  return passing && readmission_since_ &&
         now_ < *readmission_since_ + settings_.attempts.readmission_patience;
}

void request_machine::PauseBeforeAsking(std::optional<base::duration> advised) {
  state_ = request_state::kPausing;
  const base::duration pause =
      std::min(advised.value_or(base::duration::zero()), kMaxAdvisedPause);
  ask_again_at_ = now_ + std::max(pause, settings_.attempts.readmission_pause);
}

void request_machine::ReleasePlace(routing::attempt_result result) {
  if (!place_)
    return;
  routing::attempt_finished finished;
  finished.request = request_.id;
  finished.replica = place_->place.replica;
  finished.epoch = place_->place.epoch;
  finished.fingerprint = request_.fingerprint;
  finished.result = result;
  finished.to_first_token = to_first_token_.value_or(base::duration::zero());
  finished.total = now_ - attempt_started_;
  finished.tokens = answer_->tokens() - tokens_at_start_;
  out_.push_back(release_place{{std::move(finished)}});
  place_.reset();
}

}  // namespace flamingoshunt::delivery
