// Defines every problem that delivery sends to callers, in one place, so that
// the outcome that each one states is easy to review.
#ifndef FLAMINGOSHUNT_DELIVERY_PROBLEMS_H_
#define FLAMINGOSHUNT_DELIVERY_PROBLEMS_H_

#include <string>

#include "admission/messages.h"
#include "caller/messages.h"

namespace flamingoshunt::delivery {

/// @param outcome whether an earlier attempt of the request may have run.
caller::problem MakeRefusalProblem(const admission::refusal& refusal,
                                   caller::run_outcome outcome);

caller::problem DeadlinePassed(caller::run_outcome outcome);
caller::problem NodeStopping();

/// Every attempt ended without a complete answer.
caller::problem EndpointFailed(const std::string& detail,
                               caller::run_outcome outcome);
/// The engine answered with an error status of its own.
caller::problem RejectedByEngine(int status, caller::run_outcome outcome);

/// It is uncertain whether the Idempotency-Key was claimed.
caller::problem ClaimUnsettled();
caller::problem CallInProgress();
/// An earlier call with this key ended and may have run.
caller::problem EarlierCallUnknown();
/// An earlier call with this key ran; its answer was too large to store.
caller::problem EarlierAnswerNotKept();
/// The key was used with another method, target or body.
caller::problem KeyReused();

}  // namespace flamingoshunt::delivery

#endif  // FLAMINGOSHUNT_DELIVERY_PROBLEMS_H_
