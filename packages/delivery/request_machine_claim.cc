// The part of the request machine that deals with the claim of an
// Idempotency-Key.
#include <utility>

#include "delivery/problems.h"
#include "delivery/request_machine.h"

namespace flamingoshunt::delivery {

void request_machine::OnReply(const store::reply& message) {
  Perform(claim_->Handle(message, now_));
}

void request_machine::Perform(const claim_step& step) {
  for (const store::call& call : step.calls)
    out_.push_back(call_platform{call});
  if (step.verdict != claim_verdict::kPending)
    OnClaimVerdict(step.verdict);
}

void request_machine::OnClaimVerdict(claim_verdict verdict) {
  constexpr auto kCancelled = routing::attempt_result::kCancelled;
  switch (verdict) {
    case claim_verdict::kPending:
      return;
    case claim_verdict::kFree:
      return Ask();
    case claim_verdict::kOurs:
      claim_is_ours_ = true;
      return StartAttempt(true);
    case claim_verdict::kDone:
      if (claim_->found_answer())
        return SendStoredAnswer(*claim_->found_answer());
      return Fail(EarlierAnswerNotKept(), kCancelled);
    case claim_verdict::kInProgress:
      return Fail(CallInProgress(), kCancelled);
    case claim_verdict::kUnknown:
      return Fail(EarlierCallUnknown(), kCancelled);
    case claim_verdict::kOtherCall:
      return Fail(KeyReused(), kCancelled);
    case claim_verdict::kUnsettled:
      return Fail(ClaimUnsettled(), kCancelled);
    case claim_verdict::kClosed:
      state_ = request_state::kFinished;
      return;
  }
}

void request_machine::SendStoredAnswer(const stored_answer& answer) {
  const bool stream = IsEngine() && request_.stream;
  Tell({send_head{answer.status, answer.content_type, stream}});
  if (!answer.data.empty())
    Tell({send_chunk{0, IsEngine() ? answer.total : 0, answer.data}});
  Tell({send_end{answer.total, answer.finish_reason}});
  caller_is_done_ = true;
  Stop(routing::attempt_result::kCancelled);
}

void request_machine::CloseClaim(claim_state outcome,
                                 std::optional<stored_answer> answer) {
  silence_at_.reset();
  ask_again_at_.reset();
  state_ = request_state::kClosingClaim;
  if (claim_)
    Perform(claim_->Close(outcome, std::move(answer), now_));
  else
    state_ = request_state::kFinished;
}

}  // namespace flamingoshunt::delivery
