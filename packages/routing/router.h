// Defines the router, which chooses a replica for a request. It maintains the
// replica table, the prefix index and the attempts that this node has in
// flight; a policy picks among the replicas with a free slot.
#ifndef FLAMINGOSHUNT_ROUTING_ROUTER_H_
#define FLAMINGOSHUNT_ROUTING_ROUTER_H_

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "endpoint/messages.h"
#include "membership/messages.h"
#include "replica/messages.h"
#include "routing/messages.h"
#include "routing/policy.h"
#include "routing/prefix_index.h"
#include "routing/replica_table.h"

namespace flamingoshunt::routing {

struct router_settings {
  location self;
  policy_kind policy = policy_kind::kBoundedAffinity;
  std::uint64_t seed = 1;
};

class router {
 public:
  explicit router(const router_settings& settings);

  void Apply(const replica::serving_changed& changed);
  void Apply(const endpoint::report& report, base::time_point now);
  void Apply(const endpoint::cache_event& event);
  void Apply(const membership::peers_changed& changed);

  /// Chooses a replica with a free slot; nothing is reserved until
  /// AttemptStarted().
  /// @return nothing when no replica of the entry is serving and available.
  std::optional<placement> Choose(const request_shape& shape,
                                  base::time_point now);

  /// Chooses a replica on which a suspect request can run alone: the one with
  /// the fewest requests in flight that no other suspect claims.
  std::optional<placement> ChooseForIsolation(const request_shape& shape,
                                              base::time_point now);

  /// @return whether @p replica is estimated to have no request in flight.
  bool IsEmpty(const base::replica_id& replica) const;

  /// @return whether the replica still takes new work under the same epoch.
  bool IsStillServing(const placement& target) const;

  /// Excludes @p replica from Choose() until @p until.
  void Claim(const base::replica_id& replica, base::time_point until);

  void AttemptStarted(const request_shape& shape,
                      const placement& target,
                      base::time_point now);

  /// @return whether the attempt was in flight.
  bool AttemptFinished(const attempt_finished& finished, base::time_point now);

  /// Counts an attempt that exceeded its estimate as long from now on.
  void Reclassify(const base::request_id& request);

  /// @return whether any replica of @p entry outside @p excluded takes new
  ///         work.
  bool HasServingReplica(const base::entry_name& entry,
                         const std::vector<base::replica_id>& excluded);

  /// Slots of an entry that this node may use, and its attempts that use them.
  struct slot_usage {
    int slots = 0;
    int running = 0;
    int running_long = 0;
  };
  slot_usage SlotUsage(const base::entry_name& entry);

  const replica_table& replicas() const { return table_; }
  std::size_t in_flight() const { return running_.size(); }

 private:
  struct running_attempt {
    base::replica_id replica;
    base::epoch epoch;
    bool is_long = false;
  };
  using matches = std::vector<prefix_index::match>;

  void CollectCandidates(const request_shape& shape, base::time_point now);
  void CollectCandidatesFrom(std::size_t first,
                             std::size_t count,
                             const request_shape& shape,
                             const matches& prefix_matches,
                             base::time_point now);
  double TypicalFirstToken(const base::entry_name& entry) const;
  bool IsAvailable(const replica_view& view, base::time_point now) const;
  bool IsEligible(const replica_view& view,
                  const request_shape& shape,
                  base::time_point now) const;
  candidate MakeCandidate(replica_table::index position,
                          const request_shape& shape,
                          const matches& prefix_matches,
                          double typical_first_token) const;
  void RecordResult(replica_table::index position,
                    const attempt_finished& finished,
                    base::time_point now);
  void Eject(replica_view& view, base::time_point now);
  placement PlacementOn(replica_table::index position) const;

  replica_table table_;
  std::unique_ptr<policy> policy_;
  base::random_engine random_;
  prefix_index prefixes_;
  std::unordered_multimap<base::request_id, running_attempt> running_;
  std::unordered_map<base::entry_name, double> typical_first_token_;
  std::vector<candidate> candidates_;  // Reused between calls.
};

}  // namespace flamingoshunt::routing

#endif  // FLAMINGOSHUNT_ROUTING_ROUTER_H_
