// Defines who decides that a silent instance is lost. A node that hears nothing
// from an instance may itself be cut off, so a loss counts only when the
// platform's list or most of the voters for its fabric domain agree. A node
// without live peers decides alone about few losses, and asks the list about
// many at once.
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

/// Topic of the items by which nodes tell each other whom they don't hear.
inline constexpr char kLossTopic[] = "ready";

/// Most instances named in one item; a wholly dark domain needs no names.
inline constexpr std::size_t kMaxListedUnresponsive = 64;

class loss_detector {
 public:
  loss_detector(const settings& config, base::node_id self);

  void SetPeers(const std::vector<membership::peer>& peers);
  void OnPeerItem(const membership::item& item);

  /// Judges all instances; the result stands until the next call.
  /// @return items to publish, for domains where this node's view changed.
  std::vector<membership::publish> Evaluate(const instance_table& instances,
                                            base::time_point now);

  bool IsLost(const base::instance_id& id) const { return lost_.contains(id); }
  const std::unordered_set<base::instance_id>& lost() const { return lost_; }

  /// @return the nodes that act for @p key, the first of them first.
  const std::vector<base::node_id>& LeaderOrder(const std::string& key);
  /// @return this node's place in Order(@p key).
  std::size_t LeaderRank(const std::string& key);

 private:
  struct observation {
    bool unreachable = false;  ///< Nothing of the domain is heard.
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
  std::vector<std::string> alive_;  ///< Nodes believed alive, with this one.
  std::map<std::string, std::vector<base::node_id>> leader_orders_;
  std::map<base::fabric_domain_id, std::map<base::node_id, observation>>
      peer_observations_;
  std::map<base::fabric_domain_id, observation> published_;
  std::unordered_set<base::instance_id> lost_;
};

}  // namespace flamingoshunt::replica

#endif  // FLAMINGOSHUNT_REPLICA_LOSS_H_
