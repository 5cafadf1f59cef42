// Defines the settings of flamingoshuntd: who the process is, where it listens,
// whom it talks to, and its bounds. They are read from one JSON document and
// checked whole. docs/operations/settings.md explains every key.
#ifndef FLAMINGOSHUNT_SETTINGS_SETTINGS_H_
#define FLAMINGOSHUNT_SETTINGS_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/checked_json.h"
#include "base/ids.h"

namespace flamingoshunt::settings {

/// An IP address and a port; never a host name.
struct ip_endpoint {
  std::string ip;
  std::uint16_t port = 0;

  /// @return "IP:port", with brackets around IPv6.
  std::string Text() const;
  bool operator==(const ip_endpoint&) const = default;
};

struct identity {
  base::node_id node;
  base::region_id region;
  base::failure_domain_id failure_domain;
};

struct listen_addresses {
  ip_endpoint caller;
  ip_endpoint peer;
  ip_endpoint admin;
};

struct platform_access {
  std::vector<ip_endpoint> addresses;  ///< Tried in turn.
  double calls_per_second = 20;        ///< This node's share of the rate.
  double burst = 20;                   ///< Calls.
  std::chrono::milliseconds backoff_low{200};
  std::chrono::milliseconds backoff_high{4000};
};

struct peer_access {
  std::string cluster_key;  ///< Shared secret of all entry instances.
  /// The largest fleet; until nodes have agreed who shares the fleet-wide
  /// limits, each takes one part in so many.
  int largest_fleet = 16;
  /// Times the logarithm of the fleet's size: the period of probes.
  std::chrono::milliseconds probe_step{200};
  /// Times the logarithm of the fleet's size: suspicion before death.
  std::chrono::milliseconds suspicion_step{2000};
};

struct thread_counts {
  int caller_io = 2;
};

struct size_bounds {
  std::size_t body = 4U << 20;      ///< Bytes.
  std::size_t headers = 16U << 10;  ///< Bytes.
  std::size_t answer = 64U << 20;   ///< Bytes of one whole answer.
  std::size_t connections = 4096;   ///< Caller connections.
  std::size_t requests = 8192;      ///< Requests in the node at once.
};

struct timeout_bounds {
  std::chrono::milliseconds caller_idle{60000};
  std::chrono::milliseconds connect{1000};
  std::chrono::milliseconds answer_head{10000};
  std::chrono::milliseconds first_token{30000};
  std::chrono::milliseconds between_tokens{10000};
  std::chrono::milliseconds drain{300000};  ///< Longest graceful shutdown.
};

struct freshness_bounds {
  std::chrono::milliseconds catalogue{3000};  ///< Unconfirmed after this.
  std::chrono::milliseconds report{1500};     ///< A member's readiness.
};

enum class log_level { kDebug, kInfo, kWarning, kError };

struct telemetry_settings {
  log_level level = log_level::kInfo;
  std::string otlp_address;      ///< "IP:port"; empty turns the export off.
  std::size_t span_ring = 4096;  ///< Spans kept for `flamingoshuntctl trace`.
};

/// Which queued request of a priority gets the next slot.
enum class queue_order { kDeadline, kBenefit };

/// The gateway: requests pass through to replicas that the deployment lists.
struct gateway_settings {
  ip_endpoint ready;  ///< Where the balancer asks whether to send callers.
  /// Where peers that reach no replica send their requests; without it this
  /// node takes none.
  std::optional<ip_endpoint> passed_requests;
  double retry_ratio = 0.2;  ///< Repeats for each request, over the fleet.
  double retry_slack = 10;   ///< Repeats beyond that, over the fleet.
  double cores = 1;          ///< Part of a processor that the instance gives.
  double link_mbps = 100;    ///< Network link of the instance, in Mbit/s.
  /// Memory and descriptors that the instance gives this process; without them
  /// callers are bounded as on a large instance.
  std::optional<std::size_t> memory_mb;
  std::optional<std::size_t> max_fds;
  std::chrono::milliseconds retry_window{10000};
  /// From the request to stop until the process is killed.
  std::chrono::milliseconds grace{8000};
  /// How long a leaving replica still serves.
  std::chrono::milliseconds replica_drain{2000};
  /// Interval at which replicas renew their entries in the platform's list.
  std::chrono::milliseconds replica_heartbeat{1200};
  /// By when no request may be sent to a failure domain that the operator has
  /// evacuated; empty: evacuations aren't followed.
  std::optional<std::chrono::milliseconds> evacuate;
  /// Whether the whole deployment starts for the first time, so that no caller
  /// can have come yet.
  bool first_start = false;
  queue_order order = queue_order::kDeadline;
  /// Whether expected costs are corrected by what replicas took for requests.
  bool learn_costs = false;
  /// Whether replicas get the priorities of requests.
  bool send_priority = false;
  /// Whether the groups of a model follow what callers ask for, within bounds
  /// around its configured share.
  bool groups_follow_demand = false;
};

/// All settings of one flamingoshuntd.
struct daemon_settings {
  identity self;
  listen_addresses listen;
  platform_access platform;
  peer_access peers;
  thread_counts threads;
  size_bounds sizes;
  timeout_bounds timeouts;
  freshness_bounds freshness;
  telemetry_settings telemetry;
  /// Present when this process is a gateway.
  std::optional<gateway_settings> gateway;
};

/// Whether port 0 ("any free one") is a port; it is for listening only.
enum class port_rule { kGiven, kGivenOrAny };

/// Reads "IP:port" or "[IPv6]:port".
/// @return nothing when @p text is anything else, a host name for example.
std::optional<ip_endpoint> ParseIpEndpoint(std::string_view text,
                                           port_rule rule = port_rule::kGiven);

/// Reads and checks a whole settings document.
/// @throws base::json_document_error with every problem at once.
daemon_settings ReadSettings(std::string_view text);

}  // namespace flamingoshunt::settings

#endif  // FLAMINGOSHUNT_SETTINGS_SETTINGS_H_
