// Defines how nodes agree that an unresponsive instance is lost. A node that
// receives nothing from an instance may itself be partitioned, so a loss counts
// only if the platform's list or a majority of the voters for its fabric domain
// confirm it. A node without live peers decides alone about few losses, and
// relies on the list for mass loss.
#ifndef FLAMINGOSHUNT_REPLICA_LOSS_H_
#define FLAMINGOSHUNT_REPLICA_LOSS_H_

#include <map>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "membership/messages.h"
#include "replica/instance_table.h"
#include "replica/settings.h"

namespace flamingoshunt::replica {

/// Topic of the items in which nodes report unresponsive instances to peers;
/// "ready" is its name on the wire.
inline constexpr char kLossTopic[] = "ready";

/// Maximum number of instances listed in one item; an unreachable domain is
/// reported as a whole, without names.
inline constexpr std::size_t kMaxListedUnresponsive = 64;

class loss_detector {
 public:
  loss_detector(const settings& config, base::node_id self);

  void SetPeers(const std::vector<membership::peer>& peers);
  void OnPeerItem(const membership::item& item);

  /// Evaluates all instances; the result is valid until the next call.
  /// @return items to publish for domains whose observation changed.
  std::vector<membership::publish> Evaluate(const instance_table& instances,
                                            base::time_point now);

  bool IsLost(const base::instance_id& id) const { return lost_.contains(id); }
  const std::unordered_set<base::instance_id>& lost() const { return lost_; }

  /// @return the nodes in their order of precedence as leader of @p key.
  const std::vector<base::node_id>& LeaderOrder(const std::string& key);
  /// @return this node's position in LeaderOrder(@p key); 0 is the leader.
  std::size_t LeaderRank(const std::string& key);

 private:
  struct observation {
    /// All instances of the domain are unresponsive.
    bool unreachable = false;
    std::set<base::instance_id> unresponsive;
    bool operator==(const observation&) const = default;
  };
  struct domain_liveness {
    std::size_t known = 0;
    std::vector<const instance_state*> unresponsive;
  };

  bool IsLossConfirmed(const base::fabric_domain_id& domain,
                       const base::instance_id& id,
                       bool mass);
  observation ObserveDomain(const domain_liveness& domain_state) const;
  static std::string ToJson(const observation& value);

  settings settings_;
  base::node_id self_;
  /// Nodes believed alive, including this one.
  std::vector<std::string> alive_;
  std::map<std::string, std::vector<base::node_id>> leader_orders_;
  std::map<base::fabric_domain_id, std::map<base::node_id, observation>>
      peer_observations_;
  std::map<base::fabric_domain_id, observation> published_;
  std::unordered_set<base::instance_id> lost_;
};

}  // namespace flamingoshunt::replica

#endif  // FLAMINGOSHUNT_REPLICA_LOSS_H_
