// Computes the load that the other nodes have placed from the digests of
// relays, whose sums include this node's own load as of some earlier report.
#ifndef FLAMINGOSHUNT_FLEET_RELAYED_LOADS_H_
#define FLAMINGOSHUNT_FLEET_RELAYED_LOADS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>

#include "base/clock.h"
#include "fleet/peer_status.h"

namespace flamingoshunt::fleet {

/// Uses no sockets and no clock.
class relayed_loads {
 public:
  explicit relayed_loads(base::node_id self) : self_(std::move(self)) {}

  /// This node has reported all its @p loads under @p sequence.
  void OnReported(std::uint64_t sequence, const gateway::load_map& loads);

  /// @return whether @p digest is newer than the last one of its relay.
  bool Apply(const peer_status& digest, base::time_point now);

  /// @return the load of the other nodes, for the replicas where it changed
  ///         since the last call. A relay that timed out counts as having none.
  gateway::load_map TakeChanged(base::time_point now, base::duration timeout);

  /// @return the sums over the live relays, without this node's @p own.
  gateway::queue_length_map QueueLengths(const gateway::queue_length_map& own,
                                         base::time_point now,
                                         base::duration timeout) const;

  /// @return the load that all nodes have placed on @p replica, this one
  ///         included as of its last report.
  gateway::placed_load TotalOn(const base::instance_id& replica) const {
    return relays_.LoadOn(replica);
  }

  /// @return the relays whose members have requests on @p replica.
  std::vector<base::node_id> RelaysWithLoad(
      const base::instance_id& replica) const {
    return relays_.NodesWithLoad(replica);
  }

  /// @return the number of relays heard within @p timeout that reach the
  ///         platform's store.
  std::size_t RelaysReachingStore(base::time_point now,
                                  base::duration timeout) const {
    return relays_.NodesReachingStore(now, timeout).size();
  }

  bool AnySeenRequests() const { return relays_.AnyPeerSeenRequests(); }

 private:
  struct own_report {
    std::uint64_t sequence = 0;
    gateway::load_map loads;
  };

  void SetIncluded(const base::node_id& relay, gateway::load_map loads);

  base::node_id self_;
  peer_table relays_;
  std::deque<own_report> reports_;  ///< In ascending order of sequence.
  /// This node's load in the sums of each relay.
  std::map<base::node_id, gateway::load_map> included_;
  std::set<base::instance_id> changed_;  ///< In included_.
};

}  // namespace flamingoshunt::fleet

#endif  // FLAMINGOSHUNT_FLEET_RELAYED_LOADS_H_
