// Defines what a relay knows of its members: the sums of their loads and queue
// lengths, and what has to reach all nodes. A digest holds what changed since
// the last one, a full digest everything.
//
// Load pattern: some hundred nodes place a thousand requests a second. Each
// placement is one datagram to a relay instead of one to each node, and each
// node handles the digests of a few relays.
#ifndef FLAMINGOSHUNT_FLEET_RELAY_H_
#define FLAMINGOSHUNT_FLEET_RELAY_H_

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "fleet/peer_status.h"

namespace flamingoshunt::fleet {

/// Uses no sockets and no clock.
class relay {
 public:
  /// A member without a report for this long is dropped; members report at
  /// least twice a second.
  static constexpr base::duration kMemberTimeout = std::chrono::seconds(2);

  explicit relay(base::node_id self) : self_(std::move(self)) {}

  /// Applies the report of a member, which may be this node itself.
  /// @return whether it holds what the other nodes must learn at once.
  bool TakeReport(const peer_status& report, base::time_point now);

  /// The node reports to another relay.
  void RemoveMember(const base::node_id& node);

  /// @return the live members, without this node.
  std::vector<base::node_id> Members(base::time_point now) const;

  /// @return the members that have requests on @p replica.
  std::vector<base::node_id> NodesWithLoad(
      const base::instance_id& replica) const {
    return members_.NodesWithLoad(replica);
  }

  /// @return whether anything was reported since the last digest.
  bool HasChanges() const { return changed_; }

  /// @param full also what was in earlier digests.
  /// @return a digest without what this node says of itself: incarnation,
  ///         sequence, configuration and whether it reaches the store.
  peer_status TakeDigest(bool full, base::time_point now);

 private:
  struct member_details {
    relay_member member;  ///< Complete.
    base::time_point reported_at{};
    bool details_changed = false;   ///< Since the last digest.
    bool sequence_changed = false;  ///< Since the last digest.
  };

  void DropSilentMembers(base::time_point now);
  void KeepForAll(const peer_status& report);
  void KeepEvacuations(const peer_status& report);

  base::node_id self_;
  peer_table members_;
  std::map<base::node_id, member_details> details_;
  gateway::load_map sums_;  ///< As of the last digest.
  peer_status pending_;     ///< Lists for the next digest.
  /// The latest state that a member has read from the store.
  std::optional<evacuation_state> evacuated_;
  bool changed_ = false;
};

}  // namespace flamingoshunt::fleet

#endif  // FLAMINGOSHUNT_FLEET_RELAY_H_
