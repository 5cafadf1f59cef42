// Defines every problem that delivery answers, in one place, so that the
// outcome each one promises can be checked at a glance.
#ifndef FLAMINGOSHUNT_DELIVERY_PROBLEMS_H_
#define FLAMINGOSHUNT_DELIVERY_PROBLEMS_H_

#include <string>

#include "admission/messages.h"
#include "caller/messages.h"

namespace flamingoshunt::delivery {

/// @param outcome what is true of the request's earlier attempts, if any.
caller::problem MakeRefusalProblem(const admission::refusal& refusal,
                                   caller::run_outcome outcome);

caller::problem DeadlinePassed(caller::run_outcome outcome);
caller::problem NodeStopping();

/// Every attempt ended without a complete answer.
caller::problem EndpointFailed(const std::string& detail,
                               caller::run_outcome outcome);
/// The engine answered with an error status of its own.
caller::problem RejectedByEngine(int status, caller::run_outcome outcome);

/// The claim of the Idempotency-Key could not be settled.
caller::problem ClaimUnsettled();
caller::problem CallInProgress();
/// An earlier call with this key ended with nobody knowing whether it ran.
caller::problem EarlierCallUnknown();
/// An earlier call with this key ran; its answer was too large to keep.
caller::problem EarlierAnswerNotKept();
/// The key was used with another method, target or body.
caller::problem KeyReused();

}  // namespace flamingoshunt::delivery

#endif  // FLAMINGOSHUNT_DELIVERY_PROBLEMS_H_
