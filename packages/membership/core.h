// Defines the state that the parts of the membership machine share: tables,
// calls under way, and the effects gathered while one input is handled.
#ifndef FLAMINGOSHUNT_MEMBERSHIP_CORE_H_
#define FLAMINGOSHUNT_MEMBERSHIP_CORE_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "base/random.h"
#include "membership/limits.h"
#include "membership/tables.h"
#include "membership/wire.h"
#include "store/messages.h"

namespace flamingoshunt::membership {

/// A request to send; encoded by the agent.
struct typed_call {
  peer_call_id id;
  base::node_id to;
  std::string address;
  request message;
  base::duration timeout{};
};

/// An answer to send; encoded by the agent.
struct typed_answer {
  peer_request_handle handle;
  answer message;
};

/// What the machine wants done after an input.
struct machine_effects {
  std::vector<typed_call> calls;
  std::vector<typed_answer> answers;
  std::vector<store::call> platform_calls;
  std::vector<item_received> items;
  std::optional<peers_changed> peers;
  std::vector<peer> changes;  ///< Changes of state, for the log.
  bool left = false;          ///< A clean leave is complete.
};

/// Counts since the start, for metrics.
struct membership_counters {
  std::uint64_t probes = 0;
  std::uint64_t probes_failed = 0;
  std::uint64_t suspicions = 0;   ///< Raised by this node.
  std::uint64_t deaths = 0;       ///< Declared by this node.
  std::uint64_t refutations = 0;  ///< Of claims about this node.
  std::uint64_t late_wakes = 0;   ///< Pauses of this process.
  std::uint64_t gossip_sent = 0;
  std::uint64_t gossip_retried = 0;
  std::uint64_t gossip_abandoned = 0;  ///< Left to reconciliation.
  std::uint64_t syncs = 0;
  std::uint64_t items_refused = 0;  ///< Bounds were reached.
};

// Why a call was made; says what its answer or failure means.
struct direct_probe {
  base::node_id target;
};
struct helper_probe {
  base::node_id target;
};
struct relayed_probe {
  peer_request_handle handle;
};
struct gossip_call {
  node_range range;
  std::shared_ptr<const updates> carried;
  std::vector<base::node_id> tried;
};
struct sync_call {
  int round = 0;
};
struct exchange_call {
  int round = 0;
  bool more = false;
};
using call_reason = std::variant<direct_probe,
                                 helper_probe,
                                 relayed_probe,
                                 gossip_call,
                                 sync_call,
                                 exchange_call>;

struct pending_call {
  base::node_id to;
  call_reason reason;
  base::time_point deadline;
};

/// The shared state. Its parts act on it in the course of one input; the
/// machine then takes the effects.
class core {
 public:
  core(peer self, timing times, base::random_engine random);

  const peer& self() const { return self_; }
  base::duration ProbePeriod() const;
  base::duration SuspicionTimeout() const;
  base::duration TimeoutTo(const peer& target) const;
  bool IsOwnRegion(const peer& target) const {
    return target.region == self_.region;
  }

  /// Takes a claim when it is newer, with all that follows for items,
  /// suspicion and the effects.
  bool ApplyMember(const peer& claim, base::time_point now);

  /// Raises the own incarnation above @p least and takes it.
  void Reincarnate(std::uint64_t least, base::time_point now);
  void SetOwnState(peer_state state, base::time_point now);

  void Call(const peer& to,
            request message,
            base::duration timeout,
            call_reason reason,
            base::time_point now);

  /// @return the call, no longer pending; nothing when it was given up before.
  std::optional<pending_call> TakeCall(peer_call_id id);
  /// @return the calls whose time is up at @p now.
  std::vector<pending_call> TakeOverdue(base::time_point now);
  std::optional<base::time_point> NextDeadline() const;

  /// @return a member of @p from at random; null when it is empty.
  const member_record* Pick(const std::vector<const member_record*>& from);

  timing times;
  table_digest digest;
  member_table members;
  item_table items;
  base::random_engine random;
  membership_counters counters;
  machine_effects out;
  /// Suspect members and when they are to be declared dead.
  std::map<base::node_id, base::time_point> suspicions;
  bool members_changed = false;  ///< Since peers_changed was last given out.
  base::time_point last_change;  ///< Of any record.

 private:
  peer self_;
  std::uint64_t next_call_ = 1;
  std::map<peer_call_id, pending_call> calls_;
  std::set<std::pair<base::time_point, peer_call_id>> deadlines_;
};

}  // namespace flamingoshunt::membership

#endif  // FLAMINGOSHUNT_MEMBERSHIP_CORE_H_
