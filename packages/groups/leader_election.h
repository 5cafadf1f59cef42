// Defines which node acts for the groups of a service. The acting node is named
// by one object in the platform's store, changed only conditionally; its term
// rises with every change of the actor and is the fence on all orders. Who
// should act is a matter of economy, so a node takes over as soon as it hears
// nothing of the actor; two that both believe to act are told apart by fences.
#ifndef FLAMINGOSHUNT_GROUPS_LEADER_ELECTION_H_
#define FLAMINGOSHUNT_GROUPS_LEADER_ELECTION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "store/messages.h"

namespace flamingoshunt::groups {

/// Kind of the objects by which the nodes of a fleet find each other.
inline constexpr char kFleetKind[] = "flamingoshunt-fleet";
/// Begins the names of the objects that say who acts for a service.
inline constexpr char kTermPrefix[] = "term.";

class leader_election {
 public:
  leader_election(base::node_id self,
                  std::uint64_t incarnation,
                  std::string service);

  /// The object as watched or answered.
  void OnTermObject(const store::object& object);
  void OnTermObjectDeleted();
  /// The list of terms is complete: a missing object does not exist.
  void OnListed() { listed_ = true; }

  /// @param live nodes that could act, this one included: heard of, and in
  /// reach
  ///        of the store.
  /// @return the write to send to take over, if it is this node's turn.
  std::optional<store::call> Tick(const std::vector<base::node_id>& live,
                                  base::time_point now);

  /// The answer to a write that Tick gave.
  void OnWriteReply(const store::reply& reply, base::time_point now);

  /// A replica has seen a higher fence, or a peer acts under a later term.
  void OnFenced(base::time_point now);

  /// A node that stops lets others take over without waiting for silence.
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
  std::uint64_t term_ = 0;  ///< Of the object.
  base::node_id leader_;    ///< Of the object.
  bool is_leader_ = false;
  bool resigned_ = false;
  bool write_pending_ = false;
  base::time_point next_attempt_at_{};
  base::duration backoff_{};
  std::optional<base::time_point> leader_missing_since_;
};

}  // namespace flamingoshunt::groups

#endif  // FLAMINGOSHUNT_GROUPS_LEADER_ELECTION_H_
