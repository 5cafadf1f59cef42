// Implements the part of the request machine that handles the claim of an
// Idempotency-Key.
#include <utility>

#include "delivery/problems.h"
#include "delivery/request_machine.h"

namespace flamingoshunt::delivery {

void request_machine::OnReply(const store::reply& message) {
  PerformClaimStep(claim_->Handle(message, now_));
}

void request_machine::PerformClaimStep(const claim_step& step) {
  for (const store::call& call : step.calls)
    out_.push_back(call_platform{call});
  if (step.result != claim_result::kPending)
    OnClaimResult(step.result);
}

void request_machine::OnClaimResult(claim_result result) {
  constexpr auto kCancelled = routing::attempt_result::kCancelled;
  switch (result) {
    case claim_result::kPending:
      return;
    case claim_result::kFree:
      return RequestSlot();
    case claim_result::kAcquired:
      claim_acquired_ = true;
      return StartAttempt(true);
    case claim_result::kDone:
      if (claim_->earlier_answer())
        return SendStoredAnswer(*claim_->earlier_answer());
      return Fail(EarlierAnswerNotKept(), kCancelled);
    case claim_result::kInProgress:
      return Fail(CallInProgress(), kCancelled);
    case claim_result::kUnknown:
      return Fail(EarlierCallUnknown(), kCancelled);
    case claim_result::kOtherCall:
      return Fail(KeyReused(), kCancelled);
    case claim_result::kUncertain:
      return Fail(ClaimUnsettled(), kCancelled);
    case claim_result::kClosed:
      state_ = request_state::kFinished;
      return;
  }
}

void request_machine::SendStoredAnswer(const stored_answer& answer) {
  const bool stream = IsEngine() && request_.stream;
  SendToCaller({send_head{answer.status, answer.content_type, stream}});
  if (!answer.data.empty())
    SendToCaller({send_chunk{0, IsEngine() ? answer.total : 0, answer.data}});
  SendToCaller({send_end{answer.total, answer.finish_reason}});
  caller_is_done_ = true;
  EndRequest(routing::attempt_result::kCancelled);
}

void request_machine::CloseClaim(claim_state outcome,
                                 std::optional<stored_answer> answer) {
  stall_deadline_.reset();
  slot_request_at_.reset();
  state_ = request_state::kClosingClaim;
  if (claim_)
    PerformClaimStep(claim_->Close(outcome, std::move(answer), now_));
  else
    state_ = request_state::kFinished;
}

}  // namespace flamingoshunt::delivery
