// Decides how long a node waits between two polls of the platform's lists. In a
// large fleet the relays poll often and name the leaving replicas to the other
// nodes, which poll seldom.
//
// Load pattern: two hundred nodes follow a list that changes all the time, and
// each of their polls is a call of the platform's store.
#ifndef FLAMINGOSHUNT_FLEET_POLL_DELAYS_H_
#define FLAMINGOSHUNT_FLEET_POLL_DELAYS_H_

#include <cstddef>

#include "base/clock.h"

namespace flamingoshunt::fleet {

struct poll_delays {
  /// Collects a busy moment of the replica list in one call; well inside the
  /// time in which a leaving replica must get no more work.
  static constexpr base::duration kOwnReplicas = std::chrono::milliseconds(600);
  /// Nodes register within the same second of a start.
  static constexpr base::duration kOwnNodes = std::chrono::milliseconds(300);
  /// Terms of leaders travel with the peers' statuses, too.
  static constexpr base::duration kInformedNodes = std::chrono::seconds(1);
  /// With fewer relays that reach the store, a node relies on its own polls:
  /// one relay's watch may be silent.
  static constexpr std::size_t kMinInformedRelays = 2;
  /// Part of the time in which a leaving replica still serves. The rest is left
  /// for the poll itself, so that a node whose relays all miss a leave still
  /// learns it in time.
  static constexpr double kDrainFraction = 0.6;

  base::duration replicas = kOwnReplicas;
  base::duration nodes = kOwnNodes;
  bool operator==(const poll_delays&) const = default;
};

/// @param large whether the fleet uses relays.
/// @param informs_others whether this node is a relay, or acts for a service.
/// @param informed_relays relays that reach the store, of which a digest has
///        arrived lately.
/// @param drain how long a leaving replica still serves.
poll_delays ChoosePollDelays(bool large,
                             bool informs_others,
                             std::size_t informed_relays,
                             base::duration drain);

}  // namespace flamingoshunt::fleet

#endif  // FLAMINGOSHUNT_FLEET_POLL_DELAYS_H_
