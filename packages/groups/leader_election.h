// Elects the node that leads the groups of a service. The leader is named by
// one object in the platform's store, which is only changed by conditional
// writes. The term rises with every change of the leader and fences all orders.
// A leader is elected to avoid duplicate work, not for safety, so a node takes
// over as soon as the leader is no longer active; orders of two nodes that both
// believe to lead are kept apart by fencing tokens.
#ifndef FLAMINGOSHUNT_GROUPS_LEADER_ELECTION_H_
#define FLAMINGOSHUNT_GROUPS_LEADER_ELECTION_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "store/messages.h"

namespace flamingoshunt::groups {

/// Kind of the objects through which the nodes of a fleet discover each other.
inline constexpr char kFleetKind[] = "flamingoshunt-fleet";
/// Prefix of the names of the objects that name the leader of a service.
inline constexpr char kTermPrefix[] = "term.";

class leader_election {
 public:
  leader_election(base::node_id self,
                  std::uint64_t incarnation,
                  std::string service);

  /// The term object, from a watch or from the reply to a call.
  void OnTermObject(const store::object& object);
  void OnTermObjectDeleted();
  /// The store was restored from an older copy: the revisions seen before order
  /// nothing any more, and the term object is unknown until OnListed.
  void OnStoreRestored();
  /// A peer leads, or has led, under @p term, which the store may have lost.
  void OnPeerTerm(std::uint64_t term) {
    peer_term_ = std::max(peer_term_, term);
  }
  /// The initial list of term objects is complete: an object that was not in it
  /// does not exist.
  void OnListed() { listed_ = true; }

  /// @param live nodes that can lead, this one included: recently active and
  ///         connected to the store.
  /// @return the write that takes over leadership, if it is this node's turn.
  std::optional<store::call> Tick(const std::vector<base::node_id>& live,
                                  base::time_point now);

  /// The reply to a write that Tick returned.
  void OnWriteReply(const store::reply& reply, base::time_point now);

  /// A replica has accepted a higher fencing token, or a peer leads under a
  /// later term.
  void OnFenced(base::time_point now);

  /// Gives up leadership when the node shuts down, so that others take over
  /// without waiting for a timeout.
  void Resign() { resigned_ = true; }

  bool is_leader() const { return is_leader_ && !resigned_; }
  std::uint64_t term() const { return term_; }
  const base::node_id& leader() const { return leader_; }

 private:
  std::string EncodeTerm(std::uint64_t term) const;
  bool IsOwnTerm(const std::string& value) const;
  void ApplyTerm(const std::string& value);
  void BackOff(base::time_point now);

  base::node_id self_;
  std::uint64_t incarnation_;
  std::string service_;
  bool listed_ = false;
  std::optional<store::object> term_object_;
  std::uint64_t object_term_ = 0;  ///< From the term object.
  std::uint64_t term_ = 0;         ///< The highest that the object has named.
  std::uint64_t peer_term_ = 0;    ///< The highest that a peer has named.
  base::node_id leader_;           ///< From the term object.
  bool is_leader_ = false;
  bool resigned_ = false;
  bool write_pending_ = false;
  base::time_point next_attempt_at_{};
  base::duration backoff_{};
  std::optional<base::time_point> leader_missing_since_;
};

}  // namespace flamingoshunt::groups

#endif  // FLAMINGOSHUNT_GROUPS_LEADER_ELECTION_H_
