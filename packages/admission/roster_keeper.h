// Defines the keeper of the limit roster: the agreed list of nodes between
// which fleet-wide limits are divided. It is one platform object (kind
// "roster", name "limits"), changed only by conditional updates; rendezvous
// hashing over the live nodes says who proposes a change, for economy alone.
// Each node publishes the incarnation of its process under the topic "roster";
// the incarnation that membership counts also rises without a restart and won't
// do.
#ifndef FLAMINGOSHUNT_ADMISSION_ROSTER_KEEPER_H_
#define FLAMINGOSHUNT_ADMISSION_ROSTER_KEEPER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "admission/messages.h"
#include "base/clock.h"
#include "store/call_ids.h"
#include "store/messages.h"

namespace flamingoshunt::admission {

inline constexpr char kRosterKind[] = "roster";
inline constexpr char kRosterName[] = "limits";
inline constexpr char kRosterTopic[] = "roster";  ///< Of membership items.

/// @return the value of the roster object.
std::string EncodeRoster(const std::vector<limit_roster::member>& members);

/// @throws base::json_document_error
limit_roster DecodeRoster(const store::object& stored);

struct roster_effects {
  std::vector<store::call> calls;
  std::vector<membership::publish> publish;
  std::optional<limit_roster> agreed;  ///< Set when a newer one was seen.
};

class roster_keeper {
 public:
  /// A set of live nodes must stand so long before it is proposed: every change
  /// of the roster makes shares move.
  static constexpr base::duration kSettleTime = std::chrono::seconds(2);
  /// A dead node's points are given to others only after so long, in which a
  /// node that was merely cut off would have stopped for want of confirmation.
  static constexpr base::duration kRemovalDelay = std::chrono::seconds(10);

  explicit roster_keeper(limit_roster::member self);

  /// Publishes this process's incarnation.
  roster_effects Start();

  /// Takes an event of the watch on kind "roster".
  roster_effects Handle(const store::watch_event& event, base::time_point now);
  roster_effects Handle(const membership::peers_changed& changed,
                        base::time_point now);
  roster_effects Handle(const membership::item_received& received,
                        base::time_point now);
  roster_effects Handle(const store::reply& reply, base::time_point now);
  roster_effects Tick(base::time_point now);
  std::optional<base::time_point> NextTimer() const { return proposal_time_; }

  const limit_roster& agreed() const { return agreed_; }

 private:
  struct absent_member {
    limit_roster::member member;
    base::time_point since;
  };

  std::vector<limit_roster::member> DesiredMembers(base::time_point now) const;
  std::vector<limit_roster::member> LiveMembers() const;
  bool IsProposer() const;
  void ScheduleProposal(base::time_point now);
  void ApplyStored(const store::object& stored, roster_effects& out);

  limit_roster::member self_;
  std::set<base::node_id> live_;                         // Self included.
  std::map<base::node_id, std::uint64_t> incarnations_;  // As published.
  std::vector<absent_member> absent_;  // Listed, but not live.
  limit_roster agreed_;
  bool synced_ = false;  // The watch has shown all there is.
  std::optional<store::call_id> pending_write_;
  std::optional<base::time_point> proposal_time_;
  store::call_id_source ids_{store::call_owner::kControl};
};

}  // namespace flamingoshunt::admission

#endif  // FLAMINGOSHUNT_ADMISSION_ROSTER_KEEPER_H_
