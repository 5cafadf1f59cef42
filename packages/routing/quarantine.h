// Defines the tracking of requests that may crash endpoints, on one node. A
// request in flight at a crash is suspect on every node; a suspect runs alone
// on a replica, and a request in flight at two crashes is quarantined for a
// time. Nodes publish crashes, clearances and claims of replicas as membership
// items.
#ifndef FLAMINGOSHUNT_ROUTING_QUARANTINE_H_
#define FLAMINGOSHUNT_ROUTING_QUARANTINE_H_

#include <chrono>
#include <compare>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "membership/messages.h"

namespace flamingoshunt::routing {

enum class quarantine_state {
  kClear,
  kSuspect,     ///< May run only alone on a replica.
  kQuarantined  ///< Must not run.
};

class quarantine {
 public:
  /// Time within which an item reaches all nodes of a connected fleet.
  static constexpr base::duration kPropagationTime =
      std::chrono::milliseconds(800);
  static constexpr base::duration kSuspicionTime = std::chrono::minutes(10);
  static constexpr base::duration kQuarantineTime = std::chrono::minutes(10);
  /// Stored fingerprints, of about 300 bytes each.
  static constexpr std::size_t kMaxFingerprints = 4'096;

  explicit quarantine(base::node_id self);

  quarantine_state Classify(base::fingerprint fingerprint,
                            base::time_point now);

  /// @return how long @p fingerprint stays quarantined; zero when it is not.
  base::duration Remaining(base::fingerprint fingerprint, base::time_point now);

  /// Records that an attempt of @p fingerprint started or ended on this node.
  void RecordStart(base::fingerprint fingerprint);
  void RecordEnd(base::fingerprint fingerprint);

  /// Records that the endpoint failed while it ran @p fingerprint.
  void RecordCrash(base::fingerprint fingerprint,
                   const base::replica_id& replica,
                   base::epoch epoch,
                   base::time_point now);

  /// Records that a request completed, which clears it: one that crashes every
  /// endpoint never completes.
  void RecordCompletion(base::fingerprint fingerprint, base::time_point now);

  /// Lifts the quarantine of @p fingerprint on every node, for an operator.
  void Lift(base::fingerprint fingerprint, base::time_point now);

  /// Announces that the suspect @p fingerprint will run alone on @p replica.
  void Claim(base::fingerprint fingerprint,
             const base::replica_id& replica,
             base::time_point now);
  void WithdrawClaim(base::fingerprint fingerprint);

  /// @return whether a conflicting claim, of this suspect or of the same
  /// replica,
  ///         takes precedence.
  bool IsClaimLost(base::fingerprint fingerprint,
                   const base::replica_id& replica,
                   base::time_point now) const;

  /// @return whether an attempt of @p fingerprint is known to run on any node.
  bool IsRunning(base::fingerprint fingerprint, base::time_point now) const;

  /// A replica that another node has claimed (or no longer claims).
  struct peer_claim {
    base::replica_id replica;
    bool open = false;
  };
  std::optional<peer_claim> Apply(const membership::item& item,
                                  base::time_point now);

  /// @return the items to publish since the last call.
  std::vector<membership::publish> TakePublications();

  /// One suspect or quarantined request, for operators.
  struct record {
    base::fingerprint fingerprint;
    std::size_t crashes = 0;
    quarantine_state state = quarantine_state::kSuspect;
    base::duration remaining{};
  };
  std::vector<record> List(base::time_point now);

 private:
  struct crash_id {
    base::replica_id replica;
    base::epoch epoch;
    auto operator<=>(const crash_id&) const = default;
  };
  struct history {
    std::set<crash_id> crashes;
    std::set<crash_id> cleared;
    base::time_point last_update{};
    std::size_t UnclearedCount() const;
  };
  struct claim {
    base::node_id node;
    base::fingerprint fingerprint;
    base::replica_id replica;
    bool open = false;
    base::time_point since{};
  };
  struct crash_event {
    crash_id id;
    base::time_point when{};
    std::vector<base::fingerprint> fingerprints;
    std::size_t slot = 0;  ///< Number of the published item.
  };
  using claim_key = std::pair<base::node_id, std::string>;

  history* FindCurrent(base::fingerprint fingerprint, base::time_point now);
  void AddCrash(base::fingerprint fingerprint,
                const crash_id& id,
                base::time_point now);
  void AddCrashEvent(base::fingerprint fingerprint,
                     const crash_id& id,
                     base::time_point now);
  void ClearMassLoss(base::time_point now);
  void EvictOldest();
  void ClearCrashes(history& crash_history, base::time_point now);
  void PublishCrash(const crash_event& event);
  void PublishCleared(base::fingerprint fingerprint,
                      const history& crash_history);
  void PublishBusy(base::fingerprint fingerprint, bool open);
  void PublishClaim(const claim& published, std::size_t slot);
  std::size_t NextItemSlot();
  void ApplyCrash(const membership::item& item, base::time_point now);
  void ApplyCleared(const membership::item& item, base::time_point now);

  base::node_id self_;
  std::unordered_map<base::fingerprint, history> histories_;
  std::unordered_map<base::fingerprint, int> running_;
  std::deque<crash_event> events_;
  std::map<claim_key, claim> peer_claims_;  ///< By origin and item key.
  std::map<base::fingerprint, std::pair<claim, std::size_t>> own_claims_;
  std::map<base::fingerprint, std::size_t> published_busy_;
  std::map<claim_key, claim> peer_busy_;  ///< Attempts running on other nodes.
  std::vector<membership::publish> publications_;
  std::size_t next_item_slot_ = 0;
};

}  // namespace flamingoshunt::routing

#endif  // FLAMINGOSHUNT_ROUTING_QUARANTINE_H_
