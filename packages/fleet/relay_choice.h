// Chooses the relay to which a node reports: the first node of its failure
// domain's ranking whose digests arrive. All nodes rank alike, so that usually
// one node is the relay of its domain; a node that others don't reach is
// replaced by each of them on its own. Safety never depends on the choice.
#ifndef FLAMINGOSHUNT_FLEET_RELAY_CHOICE_H_
#define FLAMINGOSHUNT_FLEET_RELAY_CHOICE_H_

#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace flamingoshunt::fleet {

/// Uses no sockets and no clock.
class relay_choice {
 public:
  /// A relay without a digest for this long is replaced: relays send at least
  /// one each 250 ms, and two may be lost.
  static constexpr base::duration kSilence = std::chrono::milliseconds(600);
  /// A node that was silent is tried again after this.
  static constexpr base::duration kRetry = std::chrono::seconds(3);

  explicit relay_choice(base::node_id self) : self_(std::move(self)) {}

  /// @param ranked the nodes of this node's failure domain, the best relay
  ///        first, this node included.
  void SetCandidates(std::vector<base::node_id> ranked, base::time_point now);

  /// A digest was received from @p node itself.
  /// @param is_member whether it names this node as a member.
  void OnDigest(const base::node_id& node,
                bool is_member,
                base::time_point now);

  /// Replaces relays that were silent, and tries better ones.
  void Tick(base::time_point now);

  /// @return the relay, and the better one that is being tried.
  std::vector<base::node_id> Targets() const;
  const base::node_id& current() const { return current_; }

  /// @return a relay that this node has left for a better one.
  std::optional<base::node_id> TakeLeft();

 private:
  void StartTrial(base::time_point now);
  void Use(const base::node_id& relay, base::time_point now);
  bool Failed(const base::node_id& node, base::time_point now) const;

  base::node_id self_;
  std::vector<base::node_id> ranked_;
  base::node_id current_;
  base::time_point active_at_{};  ///< Last digest, or the choice itself.
  std::optional<base::node_id> trial_;
  base::time_point trial_until_{};
  std::map<base::node_id, base::time_point> failed_until_;
  std::optional<base::node_id> left_;
};

}  // namespace flamingoshunt::fleet

#endif  // FLAMINGOSHUNT_FLEET_RELAY_CHOICE_H_
