// Defines what the I/O thread knows of the fleet: the configuration in force,
// the targets of each service, and what the other nodes have placed on them.
// The control thread builds it; one view is immutable.
#ifndef FLAMINGOSHUNT_GATEWAY_FLEET_VIEW_H_
#define FLAMINGOSHUNT_GATEWAY_FLEET_VIEW_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"
#include "gateway/configuration.h"

namespace flamingoshunt::gateway {

/// Something that takes requests: a replica of a plain service, or the head of
/// a group that serves a model.
struct target {
  base::instance_id instance;
  std::string address;  ///< "IP:port".
  base::failure_domain_id failure_domain;
  std::string model;       ///< Empty for a plain service.
  std::string group;       ///< Empty for a plain service.
  base::epoch epoch;       ///< Of the group.
  int slots = 1;           ///< Requests that run at once.
  double time_factor = 1;  ///< Factor on the engine's times.
};

/// What one node has placed on a target and not seen end.
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

/// How many requests wait at a node, by pool: the replicas that could take
/// them, as named by PoolName.
using queue_length_map = std::map<std::string, int>;

/// @param model empty for a plain service.
std::string PoolName(const std::string& service, const std::string& model);

struct fleet_view {
  configuration_ptr configuration;  ///< Null before any is known.
  std::map<std::string, std::vector<target>, std::less<>> targets;
  int live_nodes = 1;  ///< Nodes of this fleet, this one included.
};

using fleet_view_ptr = std::shared_ptr<const fleet_view>;

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_FLEET_VIEW_H_
