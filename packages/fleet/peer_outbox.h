// Decides when a node sends its status to its peers. Every round goes to all
// nodes of the fleet, so that a node under stress, which has much to report,
// could fill its own link and delay the requests that it forwards.
//
// Load pattern: a failure domain goes dark, and within a second each node
// suspects a dozen replicas and moves its streams. Changes that can't be sent
// within the limit are merged into the next round.
#ifndef FLAMINGOSHUNT_FLEET_PEER_OUTBOX_H_
#define FLAMINGOSHUNT_FLEET_PEER_OUTBOX_H_

#include <cstddef>
#include <optional>

#include "base/clock.h"

namespace flamingoshunt::fleet {

/// What a node may send to its peers: in any period at most its length times
/// the rate, plus the burst and one round.
struct peer_traffic_limit {
  double bytes_per_second = 0;
  double burst_bytes = 0;

  /// @param link_mbps of the node's network link, in Mbit/s.
  static peer_traffic_limit ForLink(double link_mbps);
};

/// Uses no sockets and no clock.
class peer_outbox {
 public:
  enum class round {
    kNone,
    kChanges,  ///< What changed since the last round.
    kFull      ///< The complete status.
  };

  explicit peer_outbox(peer_traffic_limit limit);

  void RequestChanges() { changes_due_ = true; }
  /// A full round includes the changes.
  void RequestFull() { full_due_ = true; }

  /// @return the round to send now; its request is then done.
  round TakeDue(base::time_point now);

  /// Counts what was sent, also to single peers, against the limit.
  void OnSent(std::size_t bytes, base::time_point now);

  /// @return when the requested round may be sent; nothing if none is
  ///         requested.
  std::optional<base::time_point> NextTimer(base::time_point now) const;

 private:
  double BytesAvailable(base::time_point now) const;

  peer_traffic_limit limit_;
  /// In bytes, at @c available_at_; negative after a large round.
  double available_ = 0;
  base::time_point available_at_{};
  bool changes_due_ = false;
  bool full_due_ = false;
};

}  // namespace flamingoshunt::fleet

#endif  // FLAMINGOSHUNT_FLEET_PEER_OUTBOX_H_
