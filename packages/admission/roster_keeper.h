// Defines the maintenance of the limit roster: the agreed list of nodes between
// which fleet-wide limits are divided. The roster is one platform object (kind
// "roster", name "limits") that changes only by conditional updates. Rendezvous
// hashing over the live nodes selects the node that proposes a change; this
// only saves writes and is not needed for correctness. Each node publishes the
// incarnation of its process under the topic "roster", because the incarnation
// of the membership protocol also rises without a restart.
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
  std::optional<limit_roster> agreed;  ///< Set when a newer one was read.
};

class roster_keeper {
 public:
  /// The set of live nodes must be stable this long before it is proposed,
  /// since every change of the roster moves shares.
  static constexpr base::duration kSettleTime = std::chrono::seconds(2);
  /// A dead node is removed only after this time; a node that is merely
  /// partitioned stops admitting earlier, as its configuration is unconfirmed.
  static constexpr base::duration kRemovalDelay = std::chrono::seconds(10);

  explicit roster_keeper(limit_roster::member self);

  /// Publishes this process's incarnation.
  roster_effects Start();

  /// Processes an event of the watch on kind "roster".
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
  std::set<base::node_id> live_;                         // Includes this node.
  std::map<base::node_id, std::uint64_t> incarnations_;  // As published.
  std::vector<absent_member> absent_;  // Listed, but not live.
  limit_roster agreed_;
  bool synced_ = false;  // The initial list of the watch is complete.
  std::optional<store::call_id> pending_write_;
  std::optional<base::time_point> proposal_time_;
  store::call_id_source ids_{store::call_owner::kControl};
};

}  // namespace flamingoshunt::admission

#endif  // FLAMINGOSHUNT_ADMISSION_ROSTER_KEEPER_H_
