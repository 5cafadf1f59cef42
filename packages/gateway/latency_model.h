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

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_LATENCY_MODEL_H_
