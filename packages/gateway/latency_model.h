// Defines how long a batching engine takes for a request, from its published
// pace and what is placed on it: the basis of placement and of every judgement
// that a replica is slower than it should be.
#ifndef FLAMINGOSHUNT_GATEWAY_LATENCY_MODEL_H_
#define FLAMINGOSHUNT_GATEWAY_LATENCY_MODEL_H_

#include "base/clock.h"
#include "gateway/fleet_view.h"

namespace flamingoshunt::gateway {

struct work_estimate {
  base::duration first_event{};  ///< From sending to the first event.
  base::duration event_gap{};    ///< Between two events.
  base::duration total{};        ///< From sending to the last event.
};

/// @param pace   of the service's engine.
/// @param factor on all times, as a model's or a slow replica's.
/// @param load   what is placed on the replica already.
/// @param prompt_tokens, output_tokens of the request to estimate.
work_estimate EstimateWork(const engine_profile& profile,
                           double factor,
                           const placed_load& load,
                           std::int64_t prompt_tokens,
                           std::int64_t output_tokens);

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_LATENCY_MODEL_H_
