// Defines a node's belief about whether it reaches the endpoints of a service
// at all. A connection that fails says something of the endpoint only if this
// node reaches others: after failures at several endpoints, some more are
// probed, and if none is reached, the node itself is cut off from the service.
#ifndef FLAMINGOSHUNT_GATEWAY_ENDPOINT_REACH_H_
#define FLAMINGOSHUNT_GATEWAY_ENDPOINT_REACH_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace flamingoshunt::gateway {

/// What became of the probed endpoints.
struct probe_result {
  std::vector<std::string> reached;  ///< Their addresses.
  std::size_t failed = 0;
};

/// Uses no sockets and no clock.
class endpoint_reach {
 public:
  /// Endpoints probed at once: with three fifths of all endpoints down, one of
  /// five is reached in nine rounds of ten.
  static constexpr std::size_t kProbedEndpoints = 5;
  /// Time between two rounds of probes while not cut off.
  static constexpr base::duration kVerifyPeriod = std::chrono::milliseconds(50);
  /// Time between two rounds of probes while cut off.
  static constexpr base::duration kProbePeriod = std::chrono::milliseconds(400);
  /// Bounds one probe; leaves room for the longest network delay, but not for a
  /// repeated packet.
  static constexpr base::duration kProbeTimeout =
      std::chrono::milliseconds(300);
  /// Probes that must succeed to end the belief: a single one may get through a
  /// link that loses most packets.
  static constexpr std::size_t kReachedUntilConnected = 2;

  /// Endpoints that are probed whenever they were reached last: after many
  /// failures they are the likeliest to be reached.
  static constexpr std::size_t kProbedAgain = 2;

  /// A new connection to the endpoint at @p address was established.
  void OnReached(const std::string& address, base::time_point now);

  /// A connection to an endpoint failed, or an answer of it stalled.
  void OnFailed() { failed_ = true; }

  /// @return whether to probe now; the round counts as started, and OnProbed
  ///         must follow.
  bool StartProbe(base::time_point now);
  void OnProbed(const probe_result& result, base::time_point now);

  /// @return when StartProbe is due, if it is.
  std::optional<base::time_point> NextProbe() const;

  /// @return whether this node reaches no endpoint of the service.
  bool cut_off() const { return cut_off_; }

  /// @return whether failures may be due to this node.
  bool in_doubt() const { return cut_off_ || probing_ || failed_; }

  bool probing() const { return probing_; }

  /// @return whether an endpoint was reached at @p since or later.
  bool WasReachedSince(base::time_point since) const {
    return reached_at_ && *reached_at_ >= since;
  }

  /// @return the addresses reached last, kProbedAgain at most.
  const std::vector<std::string>& last_reached() const { return last_reached_; }

 private:
  /// Probes that must fail for the belief if none succeeds, and if one does: an
  /// endpoint that is new may be outside a partition from all others.
  static constexpr std::size_t kFailedUntilCutOff = 2;
  static constexpr std::size_t kFailedBesideOne = 4;

  std::vector<std::string> last_reached_;
  bool failed_ = false;  ///< An endpoint, since one was reached.
  bool cut_off_ = false;
  bool probing_ = false;
  std::optional<base::time_point> probed_at_;  ///< Last round's start.
  std::optional<base::time_point> reached_at_;
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_ENDPOINT_REACH_H_
