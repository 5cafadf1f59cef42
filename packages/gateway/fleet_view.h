// Defines the I/O thread's view of the fleet: the configuration in force, the
// targets of each service, and the load that other nodes placed on them. The
// control thread builds views; a view is immutable.
#ifndef FLAMINGOSHUNT_GATEWAY_FLEET_VIEW_H_
#define FLAMINGOSHUNT_GATEWAY_FLEET_VIEW_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "gateway/configuration.h"

namespace flamingoshunt::gateway {

/// One process of a replica; a restarted replica keeps its id.
struct replica_process {
  base::instance_id instance;
  std::uint64_t started_ms = 0;  ///< Unix time at which the process started.
  bool operator==(const replica_process&) const = default;
};

/// Accepts requests: a replica of a plain service, or the head of a group that
/// serves a model.
struct target {
  base::instance_id instance;
  std::uint64_t started_ms = 0;  ///< As of replica_process.
  std::string address;           ///< "IP:port".
  base::failure_domain_id failure_domain;
  std::string model;       ///< Empty for a plain service.
  std::string group;       ///< Empty for a plain service.
  base::epoch epoch;       ///< Of the group.
  int slots = 1;           ///< Requests that run concurrently.
  double time_factor = 1;  ///< Multiplies the engine's times.
  /// The operator has evacuated its failure domain: no request may be sent.
  bool evacuated = false;
  base::time_point cold_until{};  ///< Epoch if it isn't cold.
};

/// Load that one node has placed on a target and that has not ended.
struct placed_load {
  int running = 0;  ///< Requests sent and not ended.
  std::int64_t pending_prompt_tokens =
      0;  ///< Prompt tokens before the first event.
  std::int64_t pending_output_tokens =
      0;  ///< Output tokens expected after the first event.

  placed_load& operator+=(const placed_load& other) {
    running += other.running;
    pending_prompt_tokens += other.pending_prompt_tokens;
    pending_output_tokens += other.pending_output_tokens;
    return *this;
  }
  placed_load& operator-=(const placed_load& other) {
    running -= other.running;
    pending_prompt_tokens -= other.pending_prompt_tokens;
    pending_output_tokens -= other.pending_output_tokens;
    return *this;
  }
  bool operator==(const placed_load&) const = default;
};

using load_map = std::map<base::instance_id, placed_load>;

/// Number of requests queued at a node, by the pool of replicas that could run
/// them, as named by PoolName.
using queue_length_map = std::map<std::string, int>;

/// @param model empty for a plain service.
/// @return the name of the pool of replicas that serve it.
std::string PoolName(const std::string& service, const std::string& model);

struct fleet_view {
  configuration_ptr configuration;  ///< Null until one is received.
  std::map<std::string, std::vector<target>, std::less<>> targets;
  int live_nodes = 1;  ///< Nodes of this fleet, this one included.
  /// Nodes that may send requests, in touch or not: the most known lately; zero
  /// if the others aren't known yet.
  int known_nodes = 1;
  /// Time until the other nodes know of a placement, if relays collect them;
  /// zero if it is sent to each node at once.
  base::duration peer_delay{};
};

using fleet_view_ptr = std::shared_ptr<const fleet_view>;

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_FLEET_VIEW_H_
