// Defines the explanation of a placement that isn't made: which replicas might
// take a request now, what each would cost, and what would become of it.
#ifndef FLAMINGOSHUNT_GATEWAY_PLACEMENT_EXPLANATION_H_
#define FLAMINGOSHUNT_GATEWAY_PLACEMENT_EXPLANATION_H_

#include <optional>
#include <string>
#include <vector>

#include "gateway/dispatcher.h"

namespace flamingoshunt::gateway {

/// A request as an operator describes it.
struct described_request {
  std::string host;
  std::string path;
  std::string model;  ///< Empty for a plain service.
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;     ///< 0 if unknown.
  std::int64_t hinted_output_tokens = 0;  ///< The caller's estimate; 0: none.
};

/// A replica of the request's pool.
struct explained_candidate {
  base::instance_id instance;
  std::string group;
  /// Why it gets no request now: "leaving", "paused", "suspected", "full",
  /// "limited", "memory" or "closed"; empty if it may get this one.
  std::string out;
  placed_load load;  ///< Placed by all nodes, as far as this one knows.
  int free_slots = 0;
  /// In milliseconds; without learned costs only what the choice goes by.
  placement_cost cost;
};

struct placement_explanation {
  std::string error;  ///< Why nothing can be said; empty if the rest is set.
  std::string route;
  std::string service;
  std::string pool;
  int queued_here = 0;      ///< Requests of the pool, at this node.
  int queued_at_peers = 0;  ///< As far as this node knows.
  double expected_output_tokens = 0;
  std::vector<explained_candidate> candidates;
  /// What would be decided at once; neither if it would be queued.
  std::optional<grant> granted;
  std::optional<refusal> refused;
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_PLACEMENT_EXPLANATION_H_
