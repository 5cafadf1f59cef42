// Plans how the replicas of an engine service form groups and how groups are
// repaired: which model each domain serves, which replicas join, when a head
// may open, what happens to a group that lost a member, and which replicas hold
// a warm copy of a model for the next loss. The planner takes observations and
// results of orders and returns orders. It uses no sockets and reads no clock,
// and runs only on the leading node.
//
// A group is never changed in place. One that lost a member is closed and its
// survivors become free; free replicas of a domain form the group that restores
// the most service soonest.
#ifndef FLAMINGOSHUNT_GROUPS_PLANNER_H_
#define FLAMINGOSHUNT_GROUPS_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "fleet/order.h"
#include "fleet/peer_status.h"
#include "fleet/replica.h"
#include "gateway/configuration.h"
#include "groups/group_targets.h"
#include "groups/load_budget.h"
#include "groups/loss_rate.h"
#include "groups/model_demand.h"

namespace flamingoshunt::groups {

enum class group_phase {
  kForming,  ///< Members are joining.
  kOpening,  ///< All members are ready and the head is ordered to open.
  kServing,
  kClosing  ///< The head is ordered to close; then the members are free.
};

const char* NameOf(group_phase phase);

struct group {
  std::string name;
  base::epoch epoch;
  std::string model;
  std::vector<base::instance_id> members;  ///< The head comes first.
  group_phase phase = group_phase::kForming;
  base::time_point phase_since{};  ///< When the phase began.
  fleet::close_mode closing_mode = fleet::close_mode::kAbort;
  std::string reason;                 ///< Reason of the last phase change.
  std::uint64_t head_started_ms = 0;  ///< Start time of the head's process.
  /// Set while the head accepts no requests.
  std::optional<base::time_point> head_draining_since;
  /// Taken over from a head that serves before all replicas of its domain have
  /// reported; it gets no orders until they have.
  bool provisional = false;
  const base::instance_id& head() const { return members.front(); }
};

/// A replica to query for a report.
struct report_query {
  base::instance_id to;
  std::string address;
};

/// The orders and queries that the leader sends.
struct plan {
  std::vector<fleet::order> orders;
  std::vector<report_query> report_queries;
};

/// A phase change of a group, for the log.
struct group_change {
  group changed_group;
  std::string event;  ///< "forming", "serving", "closing", ...
};

/// How far a new leader knows the replicas' own reports.
struct inventory {
  enum class stage { kCollecting, kPartial, kComplete };
  std::size_t replicas = 0;
  std::size_t reported = 0;  ///< Under this leader.
  std::size_t lost = 0;
  std::size_t unsettled_domains = 0;  ///< Where a report is missing.
  base::duration elapsed{};           ///< Since the term began.
};

/// @return the name of the event in logs.
const char* NameOf(inventory::stage stage);

class planner {
 public:
  explicit planner(std::string service);

  void SetLayout(const gateway::engine_profile& layout);

  /// Starts to lead under @p term. The groups of each fabric domain are rebuilt
  /// once all its replicas have reported or are lost; until then nothing is
  /// ordered there.
  void BeginTerm(std::uint64_t term, base::time_point now);

  /// An entry of the platform's list, which lags behind reports.
  void OnListed(const fleet::replica& replica, base::time_point now);
  /// The replica says that it is leaving.
  void OnLeaving(const base::instance_id& id);
  /// The replica is no longer in the platform's list; it may still be running.
  void OnUnlisted(const base::instance_id& id);

  /// The report of a replica that was queried.
  void OnReport(const base::instance_id& id,
                const fleet::engine_state& state,
                base::time_point now);
  /// A query without an answer.
  /// @param refused whether the address refuses connections.
  void OnUnreachable(const base::instance_id& id,
                     bool refused,
                     base::time_point now);

  /// A query whose connection was established and brought no answer: the
  /// replica is silent, which a sound one may be for a moment.
  void OnSilent(const base::instance_id& id, base::time_point now);

  /// A query without any answer, at a node that reaches no endpoint: it says
  /// nothing of the replica.
  void OnInconclusive(const base::instance_id& id);

  /// All failure domains that get no requests now. Replicas there join no new
  /// group.
  void SetEvacuated(std::set<base::failure_domain_id> domains);

  /// A node suspects that the head is stalled.
  void OnStallSuspected(const base::instance_id& head, base::time_point now);

  /// A request has arrived at some node. From now on loads take their full
  /// time.
  void OnFirstRequest() {
    loads_.StartLimiting();
    first_request_seen_ = true;
  }

  void OnOrderResult(const fleet::order& order,
                     fleet::order_result result,
                     base::time_point now);

  /// @return whether the replica's rejection of @p order with kFenced shows
  ///         that a later leader has ordered it. A join of a group that was
  ///         adopted may only be too late for its epoch.
  bool ShowsLaterLeader(const fleet::order& order) const;

  /// From now on the groups of a model follow what callers ask for.
  void FollowDemand() { follows_demand_ = true; }

  /// The requests at all nodes, as far as they are known here.
  void OnDemand(const model_loads& loads, base::time_point now);

  /// @return what was decided about the models' parts since the last call, for
  ///         the log.
  std::vector<group_targets::decision> TakeTargetDecisions();

  /// @return groups that each model should have and those that serve; empty
  ///         before the first step as a leader.
  const std::map<std::string, std::pair<double, int>>& target_and_serving()
      const {
    return target_and_serving_;
  }

  plan Tick(base::time_point now);

  /// @return when Tick is due if nothing else happens before.
  base::time_point NextTimer(base::time_point now) const;

  /// @return the groups that accept requests, to be announced to all nodes.
  const fleet::group_announcement& announcement() const {
    return announcement_;
  }

  std::vector<group_change> TakeChanges();

  inventory::stage inventory_stage() const {
    if (all_settled_)
      return inventory::stage::kComplete;
    return adopted_ ? inventory::stage::kPartial
                    : inventory::stage::kCollecting;
  }
  /// @return the state of the inventory, for the log.
  inventory Inventory(base::time_point now) const;

  const std::map<std::string, group>& groups() const { return groups_; }

 private:
  struct replica_state {
    fleet::replica record;
    /// Last report in this term; epoch if none.
    base::time_point reported_at{};
    /// Time of the last report or accepted leave order in this term; epoch if
    /// there was none.
    base::time_point membership_known_at{};
    /// Orders that it has begun since its start, or more; empty if it doesn't
    /// count them.
    std::optional<std::uint64_t> orders_begun;
    base::time_point order_begun_at{};  ///< The last one of this leader.
    std::optional<fleet::membership> reported_member;  ///< In the last report.
    std::optional<base::time_point> query_sent_at;
    int failed_queries = 0;     ///< Consecutive failed queries.
    bool lost = false;          ///< Believed to be unreachable.
    bool inconclusive = false;  ///< Its last query said nothing.
    std::optional<base::time_point> lost_since;
    /// When the first of its silent queries in a row ended.
    std::optional<base::time_point> silent_since;
    int silent_queries = 0;  ///< Consecutive ones.
    bool order_pending = false;
    base::time_point next_order_at{};
    std::string loading_model;  ///< Model being loaded from the weight store.
    base::time_point loading_until{};
    std::string accepted_join_group;  ///< Group of the last accepted join.
    base::epoch accepted_join_epoch;
    base::time_point join_accepted_at{};
    base::epoch handled_close_epoch;  ///< Epoch of the last close it handled.
    base::epoch accepted_open_epoch;  ///< Epoch of the last open it accepted.
    fleet::close_mode handled_close_mode = fleet::close_mode::kDrain;
    base::epoch left_epoch;               ///< Epoch of the last leave order.
    base::time_point open_answered_at{};  ///< Last result of an open order.
    bool query_due = false;
    base::time_point last_queried{};
    bool connection_refused = false;  ///< Its address refuses connections.
    bool unlisted = false;            ///< No longer in the platform's list.
    /// Another replica has since started at its address. A list entry outlives
    /// its replica for a while, and the new owner may answer in its place.
    bool displaced = false;
    std::uint64_t listed_start_ms = 0;  ///< Process start from the list.
    bool loss_noted = false;
  };

  replica_state* Find(const base::instance_id& id);
  const replica_state* Find(const base::instance_id& id) const;
  bool IsUsable(const replica_state& replica) const;
  bool MayJoin(const replica_state& replica) const;
  bool IsEvacuated(const replica_state& replica) const;
  bool IsEvacuated(const group& group) const;
  bool IsServedElsewhere(const std::string& model) const;
  void CloseEvacuated(base::time_point now);
  void UpdateAddressHolder(const std::string& address);
  bool HasModel(const replica_state& replica, const std::string& model) const;
  bool IsMemberOf(const replica_state& replica, const group& group) const;
  static void ResetOrderState(replica_state& replica);
  /// @return whether @p report shows it as it was before its last order.
  static bool IsOutdated(const replica_state& replica,
                         const fleet::engine_state& report,
                         base::time_point now);
  /// Compares a replica's membership with the one that it reported before.
  void NoteMembership(replica_state& replica);
  /// @return whether this leader has ordered the group.
  bool IsOfThisTerm(base::epoch epoch) const;
  void DropUnjoinable(const fleet::join_group& join, base::time_point now);
  /// Takes stock again in the domains where other leaders have acted.
  void ResettleDomains(base::time_point now);
  static void ClearSilence(replica_state& replica);
  static bool IsAwaited(const replica_state& replica);
  base::duration ExpectedJoinTime(const replica_state& replica,
                                  const std::string& model) const;

  bool HasAnswered(const replica_state& replica) const;
  bool IsSettled(const base::fabric_domain_id& domain) const {
    return settled_domains_.contains(domain);
  }
  /// @return the domains where a replica has not answered.
  std::set<base::fabric_domain_id> UnsettledDomains() const;
  void NoteDomain(const base::fabric_domain_id& domain);
  /// Adopts the groups of the domains where all replicas have answered.
  void SettleDomains(base::time_point now);
  /// Adopts groups in other domains whose heads serve as far as is known.
  void AdoptProvisionally(base::time_point now);
  void DropProvisional(const base::fabric_domain_id& domain);
  void AdoptGroups(const base::fabric_domain_id& domain, base::time_point now);
  void AdoptLoads(const base::fabric_domain_id& domain, base::time_point now);
  const gateway::model_layout* InferModel(
      const std::vector<const replica_state*>& members) const;
  void StepForming(group& group, plan& out, base::time_point now);
  void StepOpening(group& group, plan& out, base::time_point now);
  void StepServing(group& group, plan& out, base::time_point now);
  bool StepClosing(group& group, plan& out, base::time_point now);
  void SetPhase(group& group,
                group_phase phase,
                base::time_point now,
                std::string reason = {});
  void Close(group& group,
             fleet::close_mode mode,
             std::string reason,
             base::time_point now);
  // What a fabric domain holds, counted once for each tick.
  struct domain_census {
    std::vector<replica_state*> free;
    std::vector<group*> groups;
    std::size_t listed = 0;
    std::size_t usable = 0;
    bool incomplete = false;   ///< A replica has not answered.
    bool has_leaving = false;  ///< A replica is leaving.
  };
  struct census {
    double usable = 0;  ///< Replicas of all domains.
    /// Groups by model: not closing, and those for which room is made.
    std::map<std::string, int> existing;
    std::map<std::string, int> serving;
    std::map<base::fabric_domain_id, domain_census> domains;
  };
  census TakeCensus();
  void FormGroups(bool list_settled, census& fleet, base::time_point now);
  bool FormGroupIn(const base::fabric_domain_id& domain,
                   census& fleet,
                   base::time_point now);
  struct group_candidate {
    std::string model;
    std::vector<replica_state*> members;
    int loads = 0;
    bool is_allowed = false;
    double shortfall = 0;
  };
  std::optional<group_candidate> MakeCandidate(
      const gateway::model_layout& model,
      const domain_census& domain,
      const census& fleet) const;
  group& StartGroup(const group_candidate& candidate, base::time_point now);
  double Shortfall(const gateway::model_layout& model,
                   const census& fleet) const;
  double TargetGroups(const gateway::model_layout& model,
                      const census& fleet) const;
  bool IsReservedForLargerModel(const group_candidate& candidate,
                                const domain_census& domain,
                                const census& fleet,
                                base::time_point now) const;

  // Replicas of a domain that suffice for a group, some of which may have to
  // leave serving groups of other models first.
  struct room {
    const gateway::model_layout* model = nullptr;
    domain_census* domain = nullptr;
    std::vector<group*> given_up;
    std::size_t missing = 0;  ///< Weights that no member holds yet.
  };
  std::optional<room> FindRoom(const gateway::model_layout& model,
                               domain_census& domain,
                               const census& fleet) const;
  bool IsWorthGivingUp(const gateway::model_layout& model,
                       const std::vector<group*>& given_up,
                       const census& fleet) const;
  std::vector<room> FindRooms(census& fleet) const;
  bool LacksGroupByDemand(const gateway::model_layout& model,
                          const census& fleet) const;
  void UpdateTargets(const census& fleet, base::time_point now);
  void MakeRoom(census& fleet, base::time_point now);
  void StageWeights(census& fleet, plan& out, base::time_point now);
  void StageForRooms(census& fleet, plan& out, base::time_point now);
  void StageSpares(census& fleet, plan& out, base::time_point now);
  void StageSparesIn(domain_census& domain,
                     const census& fleet,
                     std::size_t most,
                     plan& out,
                     base::time_point now);
  int CountStagedInOtherGroups(const std::string& model,
                               const domain_census& domain) const;
  std::size_t WantedSpares(const gateway::model_layout& model,
                           const domain_census& domain,
                           const census& fleet,
                           base::time_point now) const;
  bool IsSpareOfOther(const replica_state& replica,
                      const std::string& model,
                      const std::map<std::string, int>& surplus) const;
  replica_state* FindMemberToStage(const gateway::model_layout& model,
                                   const domain_census& domain,
                                   base::time_point now);
  bool CanStartPreventiveLoad(base::time_point now);
  bool CanStage(const replica_state& replica,
                const std::string& model,
                base::time_point now) const;
  void Stage(replica_state& replica,
             const std::string& model,
             plan& out,
             base::time_point now);
  bool HoldsWeights(const replica_state& replica,
                    const std::string& model) const;
  void NoteLosses(base::time_point now);
  void QueryDueReplicas(plan& out, base::time_point now);
  void QueryForInventory(plan& out, base::time_point now);
  bool IsFree(const replica_state& replica) const;
  std::vector<const replica_state*> FreeReplicasIn(
      const base::fabric_domain_id& domain) const;
  std::set<base::fabric_domain_id> FabricDomains() const;
  std::size_t CountWarmIn(const base::fabric_domain_id& domain,
                          const std::string& model) const;
  bool IsHeadDraining(const group& group) const;
  bool MayReplaceOneOf(const std::string& model, base::time_point now) const;
  int CountLoadsInProgress(base::time_point now) const;
  bool CanStartLoads(int count, base::time_point now);
  base::duration LoadTime(const std::string& model) const;
  void Send(replica_state& replica, fleet::order_body body, plan& out);
  void QueryReport(replica_state& replica, plan& out, base::time_point now);
  void UpdateAnnouncement();

  std::string service_;
  std::optional<gateway::engine_profile> layout_;
  std::uint64_t term_ = 0;
  std::uint64_t epochs_used_ = 0;  ///< Epochs assigned in this term.
  std::uint64_t names_used_ = 0;
  bool adopted_ = false;  ///< At least provisionally, in all domains.
  bool all_settled_ = false;
  std::set<base::fabric_domain_id> settled_domains_;
  /// A replica there has joined a group that this leader has not ordered.
  std::set<base::fabric_domain_id> changed_domains_;
  base::time_point term_began_at_{};
  base::time_point last_listed_{};
  bool first_request_seen_ = false;
  std::map<base::instance_id, replica_state> replicas_;
  std::map<std::string, group> groups_;
  std::map<base::instance_id, std::string> group_of_;
  std::set<base::failure_domain_id> evacuated_;
  /// Since when groups get no requests, by name.
  std::map<std::string, base::time_point> evacuated_since_;
  // Domains where groups were given up for one of a model, and until when the
  // replicas there are kept for it.
  std::map<base::fabric_domain_id, std::pair<std::string, base::time_point>>
      promised_;
  /// When a group with leaving members was last dissolved, by model; the one
  /// that replaces it forms later in the same step.
  std::map<std::string, base::time_point> replaced_at_;
  bool follows_demand_ = false;
  model_demand demand_;
  group_targets targets_;
  std::vector<group_targets::decision> target_decisions_;
  std::map<std::string, std::pair<double, int>> target_and_serving_;
  loss_rate losses_;
  load_budget loads_;
  std::uint64_t next_order_ = 1;
  fleet::group_announcement announcement_;
  std::vector<group_change> changes_;
};

}  // namespace flamingoshunt::groups

#endif  // FLAMINGOSHUNT_GROUPS_PLANNER_H_
