// Tracks which failure domains the operator has evacuated: no request may be
// sent to the replicas there. A node follows the platform's store, and learns
// from its peers what it can't read there itself. Of two states the one of the
// later revision counts, so that an older one never replaces a newer one.
//
// Load pattern: a whole failure domain is taken out of service and back within
// seconds, while some nodes are cut off from the store.
#ifndef FLAMINGOSHUNT_FLEET_EVACUATIONS_H_
#define FLAMINGOSHUNT_FLEET_EVACUATIONS_H_

#include <cstdint>
#include <optional>
#include <set>

#include "base/ids.h"

namespace flamingoshunt::fleet {

/// The evacuated failure domains as of one revision of the store.
struct evacuation_state {
  std::uint64_t era = 0;  ///< Of the store; 0 where it counts none.
  base::revision revision;
  std::set<base::failure_domain_id> domains;
  bool operator==(const evacuation_state&) const = default;
};

/// @return whether @p a is of a later revision or era than @p b.
bool IsNewer(const evacuation_state& a, const evacuation_state& b);

/// Uses no sockets and no clock.
class evacuations {
 public:
  // The watch of the store. Its changes count from the next bookmark on, so
  // that a list is applied whole.
  void OnPut(base::failure_domain_id domain);
  void OnDeleted(const base::failure_domain_id& domain);
  /// All changes up to revision @p at have been passed on.
  /// @param era of the store; 0 where it counts none.
  /// @return whether the evacuated domains changed, or are known only now.
  bool OnBookmark(std::uint64_t era, base::revision at);

  /// A peer has read this state from the store.
  /// @return as OnBookmark.
  bool OnPeerState(const evacuation_state& state);

  /// @return whether the store or a peer has named the evacuated domains.
  bool known() const { return current().has_value(); }
  /// @return the latest state; empty if there is none.
  const std::optional<evacuation_state>& current() const;
  /// @return the state that this node has read itself, for its peers. They
  ///         don't get what it learned from others: after the store was
  ///         restored, outdated states would circulate for ever.
  const std::optional<evacuation_state>& own() const { return own_; }

 private:
  bool ChangedFrom(const std::optional<evacuation_state>& before) const;

  std::set<base::failure_domain_id> watched_;
  std::optional<evacuation_state> own_;
  std::optional<evacuation_state> from_peers_;
};

}  // namespace flamingoshunt::fleet

#endif  // FLAMINGOSHUNT_FLEET_EVACUATIONS_H_
