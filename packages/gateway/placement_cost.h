// Defines what a placement is likely to cost: the expected times of the request
// itself, whether it is on time, and how much longer those that run on the
// replica take for it. It also spreads the requests of many nodes that choose
// at the same time. It holds no state and uses no clock.
//
// Load pattern: long prompts arrive together with short ones. A replica that
// reads several long prompts makes every stream it writes pause, while a
// replica with as many requests but short prompts answers at once.
#ifndef FLAMINGOSHUNT_GATEWAY_PLACEMENT_COST_H_
#define FLAMINGOSHUNT_GATEWAY_PLACEMENT_COST_H_

#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "gateway/fleet_view.h"
#include "gateway/latency_model.h"
#include "gateway/length_estimate.h"

namespace flamingoshunt::gateway {

/// What a request says of its likely cost.
struct request_traits {
  std::string route;
  base::workspace_id workspace;
  std::int64_t max_output_tokens = 0;     ///< 0 if unknown.
  std::int64_t hinted_output_tokens = 0;  ///< The caller's estimate; 0: none.
  std::uint64_t events_done = 0;          ///< That the caller already has.
};

/// A request with the expected length of its answer.
struct expected_request {
  std::string pool;
  request_traits traits;
  std::int64_t prompt_tokens = 0;
  length_distribution output;  ///< Tokens that are still to be written.
  base::time_point on_time_deadline{};
};

/// A replica as a placement sees it.
struct replica_state {
  int slots = 1;
  double time_factor = 1;  ///< Multiplies all times; learned speed included.
  double first_event_ratio = 1;  ///< Usual ratio of actual and expected times.
  placed_load load;              ///< Before the placement.
  double kv_tokens = 0;          ///< Expected use of the KV cache by the load.
  /// Expected time that the load of a plain endpoint still takes, in all.
  base::duration pending_work{};
  base::duration usual_work{};  ///< Of this request at a plain endpoint.
};

/// Parts of a placement's cost, in milliseconds of waiting.
struct placement_cost {
  work_estimate expected;
  double own_ms = 0;     ///< Until the first event, and until the end.
  double late_ms = 0;    ///< For a first event that may be late.
  double others_ms = 0;  ///< Added to the times of all running requests.
  bool fits_memory = true;

  double Sum() const { return own_ms + late_ms + others_ms; }
};

/// @param profile of the service's engine; null for a plain service.
placement_cost EvaluatePlacement(const engine_profile* profile,
                                 const expected_request& request,
                                 const replica_state& replica,
                                 base::time_point now);

/// A candidate's cost, and by how much a similar request would raise it.
struct rising_cost {
  std::size_t candidate = 0;
  double cost = 0;
  double increment = 1;  ///< Above 0.
};

/// Chooses the cheapest candidate. If other nodes place requests that this one
/// doesn't know of yet, they fill up the cheapest candidates to a common level:
/// each is then chosen with the probability of its part in that.
/// @param costs      in ascending order, not empty.
/// @param concurrent other requests that are placed meanwhile.
/// @return a candidate of @p costs.
std::size_t ChooseByLevel(const std::vector<rising_cost>& costs,
                          double concurrent,
                          base::random_engine& random);

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_PLACEMENT_COST_H_
