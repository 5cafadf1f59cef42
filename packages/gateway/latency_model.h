// Estimates how long an engine with continuous batching takes for a request,
// from its published performance and its load. Placement and the detection of
// slow replicas rely on it.
#ifndef FLAMINGOSHUNT_GATEWAY_LATENCY_MODEL_H_
#define FLAMINGOSHUNT_GATEWAY_LATENCY_MODEL_H_

#include "base/clock.h"
#include "gateway/fleet_view.h"

namespace flamingoshunt::gateway {

/// Expected times of one request.
struct work_estimate {
  base::duration first_event{};  ///< From sending to the first event.
  base::duration event_gap{};    ///< Between two events.
  base::duration total{};        ///< From sending to the last event.
};

/// @param profile of the service's engine.
/// @param factor  multiplies all times, for a model or a slow replica.
/// @param load    already placed on the replica.
/// @param prompt_tokens, output_tokens of the request to estimate.
work_estimate EstimateWork(const engine_profile& profile,
                           double factor,
                           const placed_load& load,
                           std::int64_t prompt_tokens,
                           std::int64_t output_tokens);

/// As EstimateWork, but counts the passes that read the pending prompts, and of
/// the running requests only those that the request will run beside: the load
/// says what they still have to write.
work_estimate EstimateQueuedWork(const engine_profile& profile,
                                 double factor,
                                 const placed_load& load,
                                 std::int64_t prompt_tokens,
                                 double output_tokens);

/// @return the time to prefill a prompt, without the steps of others between.
base::duration EstimatePrefill(const engine_profile& profile,
                               double factor,
                               double prompt_tokens);

/// @return the prompt tokens that one pass prefills at most.
double MaxPrefillPerPass(const engine_profile& profile);

/// @return output tokens that each running request still has to write, on
///         average; 0 if none runs.
double MeanPendingOutput(const placed_load& load);

/// @return the longest time between two events of a running request while
///         @p pending_prompt_tokens are prefilled.
base::duration EstimatePause(const engine_profile& profile,
                             double factor,
                             int running,
                             double pending_prompt_tokens);

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_LATENCY_MODEL_H_
