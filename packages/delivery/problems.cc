#include "delivery/problems.h"

#include <algorithm>
#include <array>

#include "base/errors.h"

namespace flamingoshunt::delivery {
namespace {

using caller::run_outcome;
using std::chrono::seconds;

struct refusal_text {
  admission::refusal_reason reason;
  int status;
  const char* type;
  const char* detail;
};

using reason = admission::refusal_reason;

constexpr std::array<refusal_text, 9> kRefusals = {{
    {reason::kUnknownEntry, 404, "entry_unknown", "no such entry"},
    {reason::kOverLimit, 429, "over_limit",
     "the limit of the workspace or entry is reached"},
    {reason::kQueueFull, 503, "queue_full", "too much work is waiting"},
    {reason::kDeadline, 503, "deadline_unreachable",
     "the answer cannot be ready by the deadline"},
    {reason::kNoReplica, 503, "no_replica", "no replica is serving"},
    {reason::kQuarantined, 422, "request_quarantined",
     "this request failed several endpoints and is held back for a time"},
    {reason::kRetryBudget, 503, "retry_budget",
     "too many requests are being retried"},
    {reason::kConfigurationUnconfirmed, 503, "configuration_unconfirmed",
     "the node cannot confirm that its catalogue is the newest"},
    {reason::kStopping, 503, "node_stopping", "the node is stopping"},
}};

// Rounds up, so that a caller that waits this long does not retry too early.
std::optional<seconds> RoundUpToSeconds(std::optional<base::duration> wait) {
  if (!wait)
    return std::nullopt;
  return std::max(seconds(1), std::chrono::ceil<seconds>(*wait));
}

}  // namespace

caller::problem MakeRefusalProblem(const admission::refusal& refusal,
                                   run_outcome outcome) {
  const auto* row_of_reason = std::find_if(
      kRefusals.begin(), kRefusals.end(),
      [&](const refusal_text& row) { return row.reason == refusal.reason; });
  FLAMINGOSHUNT_INVARIANT(row_of_reason != kRefusals.end(),
                          static_cast<int>(refusal.reason));
  return {.status = row_of_reason->status,
          .type = row_of_reason->type,
          .detail = row_of_reason->detail,
          .outcome = outcome,
          .retry_after = RoundUpToSeconds(refusal.retry_after)};
}

caller::problem DeadlinePassed(run_outcome outcome) {
  return {.status = 504,
          .type = "deadline_passed",
          .detail = "the deadline passed before the answer was complete",
          .outcome = outcome};
}

caller::problem NodeStopping() {
  return {.status = 503,
          .type = "node_stopping",
          .detail = "the node is stopping; another one will take the request",
          .outcome = run_outcome::kNotRun,
          .retry_after = seconds(1)};
}

caller::problem EndpointFailed(const std::string& detail, run_outcome outcome) {
  return {.status = 502,
          .type = "endpoint_failed",
          .detail = "no endpoint gave a complete answer: " + detail,
          .outcome = outcome};
}

caller::problem RejectedByEngine(int status, run_outcome outcome) {
  return {.status = status,
          .type = "rejected_by_engine",
          .detail = "the engine refused the request",
          .outcome = outcome};
}

caller::problem ClaimUnsettled() {
  return {.status = 503,
          .type = "claim_unsettled",
          .detail =
              "the Idempotency-Key could not be claimed for certain, so "
              "the call was not sent",
          .outcome = run_outcome::kNotRun,
          .retry_after = seconds(2)};
}

caller::problem CallInProgress() {
  return {.status = 409,
          .type = "call_in_progress",
          .detail = "a call with this Idempotency-Key is in progress",
          .outcome = run_outcome::kUnknown,
          .retry_after = seconds(1)};
}

caller::problem EarlierCallUnknown() {
  return {.status = 409,
          .type = "earlier_call_unknown",
          .detail =
              "an earlier call with this Idempotency-Key ended without "
              "an answer; it may have run",
          .outcome = run_outcome::kUnknown};
}

caller::problem EarlierAnswerNotKept() {
  return {.status = 409,
          .type = "earlier_answer_not_kept",
          .detail =
              "an earlier call with this Idempotency-Key ran to its end; "
              "its answer was too large to keep",
          .outcome = run_outcome::kUnknown};
}

caller::problem KeyReused() {
  return {.status = 422,
          .type = "idempotency_key_reused",
          .detail = "this Idempotency-Key was used for another call",
          .outcome = run_outcome::kNotRun};
}

}  // namespace flamingoshunt::delivery
