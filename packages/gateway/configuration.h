// Defines the gateway's configuration: routes by host and path, the services
// behind them with the performance of their engines, workspaces by API key, and
// the limits on callers' requests. A version is immutable once built.
#ifndef FLAMINGOSHUNT_GATEWAY_CONFIGURATION_H_
#define FLAMINGOSHUNT_GATEWAY_CONFIGURATION_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/ids.h"

namespace flamingoshunt::gateway {

using milliseconds = std::chrono::milliseconds;

/// A service and its share of a route's requests.
struct weighted_service {
  std::string service;
  double weight = 1;  ///< Relative to the other services of the route.
};

struct route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  bool stream = false;      ///< The answer is a stream of events.
  bool idempotent = false;  ///< May be executed more than once.
  bool resumable = false;   ///< Another replica can continue a stream.
  milliseconds timeout{30000};
  milliseconds first_answer_target{1000};  ///< Latest on-time first answer.
  milliseconds event_gap_target{1000};  ///< Longest on-time pause in a stream.
  int priority = 0;                     ///< 0 is the most urgent.
  std::vector<weighted_service> targets;
  int max_attempts = 1;    ///< Replicas to send one request to.
  bool anonymous = false;  ///< Requests need no key.

  /// @return whether a request that may have been executed can be resent.
  bool retryable() const { return stream ? resumable : idempotent; }
};

/// How one model of an engine service is laid out over instances.
struct model_layout {
  std::string name;
  int size = 1;                    ///< Instances per group.
  double share = 0;                ///< Desired fraction of the instances.
  double time_factor = 1;          ///< Multiplies all times of a group.
  milliseconds load_time{0};       ///< Weights read from the weight store.
  milliseconds warm_load_time{0};  ///< Weights copied from the host.
};

/// The published performance of an engine with continuous batching.
struct engine_profile {
  int slots = 1;                     ///< Requests that run concurrently.
  double step_ms = 10;               ///< A decode step of an empty batch.
  double step_per_sequence_ms = 0;   ///< Added for each running request.
  double step_per_kilotoken_ms = 0;  ///< Added for each 1,000 context tokens.
  double prefill_tokens_per_ms = 1000;
  double prefill_ms_per_million_pairs = 0;  ///< 0: no quadratic term.
  int prefill_chunk_tokens = 2048;   ///< Prompt tokens prefilled in one step.
  int steps_per_pass = 1;            ///< Decode steps between two events.
  std::int64_t kv_cache_tokens = 0;  ///< Capacity of the KV cache.
  double usual_prompt_tokens = 500;
  double usual_answer_tokens = 100;
  double max_loads_per_second = 1;
  int max_concurrent_loads = 1;
  milliseconds form_time{0};  ///< From the open order until the group serves.
  std::vector<model_layout> models;

  /// @return the layout of model @p name, or null.
  const model_layout* Find(std::string_view name) const;
};

struct service {
  std::string name;
  std::string health_path;
  int max_connections = 0;  ///< To one replica, from all callers.
  /// Requests that a cold replica tolerates from all nodes together; zero if
  /// replicas of this service are never cold.
  double cold_requests_per_second = 0;
  std::optional<engine_profile> engine;  ///< Empty for a plain service.
};

struct workspace {
  base::workspace_id id;
  std::optional<int> priority;  ///< Overrides the route's.
};

/// Limits on the size and duration of a caller's request.
struct caller_limits {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 4 * 1024 * 1024;
  milliseconds header_timeout{3000};
  milliseconds idle_timeout{60000};
  bool operator==(const caller_limits&) const = default;
};

/// One version of the complete configuration.
class configuration {
 public:
  using key_map = std::unordered_map<std::string, workspace>;

  /// @param routes a later route replaces an earlier one with the same host and
  ///        prefix.
  /// @param keys   absent if requests need none; without any entry, only
  ///        anonymous routes can be called.
  configuration(std::uint64_t version,
                std::vector<route> routes,
                std::vector<service> services,
                std::optional<key_map> keys,
                caller_limits limits);

  std::uint64_t version() const { return version_; }
  const caller_limits& limits() const { return limits_; }
  const std::map<std::string, service, std::less<>>& services() const {
    return services_;
  }

  /// @return whether requests must carry an API key.
  bool requires_key() const { return keys_.has_value(); }

  /// @return the route of @p host with the longest prefix of @p path, or null.
  const route* Match(std::string_view host, std::string_view path) const;

  /// @return the workspace that owns API key @p key, or null; a request without
  ///         a key has an empty one, which no workspace owns.
  const workspace* FindWorkspace(const std::string& key) const;

  /// @return the service, or null.
  const service* FindService(std::string_view name) const;

 private:
  std::uint64_t version_;
  std::vector<route> routes_;
  std::unordered_map<std::string, std::size_t> routes_by_prefix_;
  std::map<std::string, service, std::less<>> services_;
  std::optional<key_map> keys_;
  caller_limits limits_;
};

using configuration_ptr = std::shared_ptr<const configuration>;

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_CONFIGURATION_H_
