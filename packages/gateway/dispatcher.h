// Schedules requests: a node places each request on the replica expected to
// finish it first, queues it while all replicas are full, and refuses at once
// what can't be answered in time. It uses no sockets and no clock.
//
// Load pattern: demand swings by half within seconds, with bursts on top, while
// groups fail and return. The queue therefore serves requests that can still be
// on time first, gives the remaining slots to late requests, and tells refused
// callers when a slot is expected to be free. When many slots become free at
// once, as in a new group, a node takes only the fraction of them that its
// queue is of all nodes' queues, since slots are taken faster than peer status
// travels. In a large fleet many nodes place requests before they learn of each
// other's: each then chooses at random among those that are about the best.
#ifndef FLAMINGOSHUNT_GATEWAY_DISPATCHER_H_
#define FLAMINGOSHUNT_GATEWAY_DISPATCHER_H_

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "gateway/cold_replicas.h"
#include "gateway/dispatcher_options.h"
#include "gateway/fleet_view.h"
#include "gateway/latency_model.h"
#include "gateway/learned_costs.h"
#include "gateway/placement_cost.h"
#include "gateway/queue_order.h"
#include "gateway/replica_limits.h"
#include "gateway/replica_pauses.h"
#include "gateway/return_schedule.h"
#include "gateway/wait_forecast.h"

namespace flamingoshunt::gateway {

using ticket_id = base::number_id<struct ticket_tag>;

/// Asks for a slot on a replica.
struct slot_request {
  ticket_id ticket;
  std::string service;
  std::string model;  ///< Empty for a plain service.
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;       ///< Expected, or a bound.
  bool output_is_bound = false;         ///< Nobody has estimated the output.
  base::workspace_id workspace;         ///< Empty for an anonymous caller.
  int priority = 0;                     ///< 0 is the most urgent.
  base::time_point arrived_at{};        ///< At the first node; if known.
  base::time_point on_time_deadline{};  ///< A first answer by then is on time.
  base::time_point deadline{};          ///< An answer is useless after that.
  /// The caller disconnects without a first event by then.
  base::time_point first_event_deadline = base::time_point::max();
  std::vector<base::instance_id> avoid;  ///< Replicas already tried.
  /// The caller has part of the answer: refusing breaks it off.
  bool has_begun = false;
  request_traits traits;  ///< Read if costs are learned.
};

struct placement_explanation;

/// A slot on a replica, assigned to a request.
struct grant {
  ticket_id ticket;
  target replica;
  work_estimate expected;  ///< Zero for a plain service.
  placed_load load;        ///< Placed there before this request.
  bool limited = false;    ///< The replica limits the rate of its requests.
};

enum class refusal_reason {
  kNoReplica,      ///< No replica currently serves the service or model.
  kPaused,         ///< All replicas asked this node for a pause.
  kWaitTooLong,    ///< The request would get its slot too late.
  kQueueFull,      ///< Too many requests are queued.
  kUnknownService  ///< Not in the configuration.
};

/// @return the name used in logs and answers; kQueueFull is "line_full".
const char* NameOf(refusal_reason reason);

struct refusal {
  ticket_id ticket;
  refusal_reason reason = refusal_reason::kNoReplica;
  base::duration retry_after{};  ///< Until a slot is expected to be free.
  std::size_t waiting = 0;       ///< Requests queued for the same pool.
};

/// Requests that left the queue.
struct decisions {
  std::vector<grant> grants;
  std::vector<refusal> refusals;
};

/// Places and queues the requests of one node. Every call that returns
/// decisions may decide about any queued request.
class dispatcher {
 public:
  explicit dispatcher(base::random_engine random,
                      dispatcher_options options = {})
      : options_(options), random_(random) {
    if (options_.learn_costs)
      learned_.emplace();
  }

  /// Queues @p request and decides at once if possible.
  decisions Submit(slot_request request, base::time_point now);

  /// Assigns a slot to @p request now or not at all: it runs elsewhere already,
  /// so it isn't queued. Unless it has begun, queued requests go first.
  std::optional<grant> PlaceNow(const slot_request& request,
                                base::time_point now);

  /// Removes a queued request whose caller disconnected.
  void Cancel(ticket_id ticket);

  /// The replica sent the first event: the prompt is prefilled.
  void OnFirstEvent(ticket_id ticket);

  /// The replica has sent @p events in this attempt so far.
  void OnEvents(ticket_id ticket, std::uint64_t events, base::time_point now);

  /// Frees the slot of a request that no longer runs on its replica.
  /// @param complete whether it ran to completion, so that its duration counts
  ///        towards the mean service time.
  decisions Release(ticket_id ticket, bool complete, base::time_point now);

  decisions SetView(fleet_view_ptr view, base::time_point now);

  /// @param loads the load that the other nodes placed on these replicas;
  ///        replicas not listed keep their previous load.
  decisions UpdatePeerLoads(const load_map& loads, base::time_point now);

  /// @param queue_lengths sum over all other nodes.
  void SetPeerQueueLengths(queue_length_map queue_lengths) {
    peer_queue_lengths_ = std::move(queue_lengths);
  }

  /// An answer of @p replica named this limit in requests a second, or none.
  /// @return whether the limit changed.
  bool RecordLimit(const base::instance_id& replica,
                   std::optional<double> requests_per_second,
                   base::time_point now) {
    return limits_.OnAnswer(replica, requests_per_second, now);
  }
  /// Applies the limits that a peer knows, and what it has sent.
  void ApplyPeerLimits(const base::node_id& peer,
                       const limit_map& limits,
                       base::time_point now) {
    limits_.ApplyPeer(peer, limits, now);
  }
  /// @return the limits that this node knows, and what it has sent.
  limit_map own_limits() const { return limits_.OwnStatements(); }

  /// Places no more requests on a process that says it is leaving.
  /// @return whether that wasn't known.
  bool MarkLeaving(const replica_process& process);
  bool IsLeaving(const target& replica) const;

  /// Places no requests on a process that asked for a pause until @p until.
  void RecordPause(const replica_process& process,
                   base::time_point until,
                   base::time_point now) {
    pauses_.Record(process, until, now);
  }
  /// @return whether a request may be sent to @p replica: it is neither leaving
  ///         nor pausing, nor is its failure domain evacuated.
  bool AcceptsRequests(const target& replica, base::time_point now) const {
    return !IsLeaving(replica) && !IsEvacuated(replica.instance) &&
           !pauses_.EndOf(replica, now);
  }
  /// @return whether the failure domain of @p replica is evacuated.
  bool IsEvacuated(const base::instance_id& replica) const {
    return evacuated_.contains(replica);
  }
  /// @return this node's requests that still run in evacuated failure domains.
  int RunningInEvacuated() const;
  /// @return the replicas that are cold.
  std::size_t CountCold(base::time_point now) const { return cold_.Count(now); }
  /// @return when the first replica of @p model ends its pause, if all pause.
  std::optional<base::time_point> FirstPauseEnd(const std::string& service,
                                                const std::string& model,
                                                base::time_point now) const;

  /// Places no requests on @p replica until @p until.
  void Suspect(const base::instance_id& replica, base::time_point until);
  /// Ends the suspicion of a replica that made progress.
  decisions ClearSuspicion(const base::instance_id& replica,
                           base::time_point now);

  /// @return whether a replica outside @p avoid has a free slot.
  bool HasAlternative(const std::string& service,
                      const std::string& model,
                      const std::vector<base::instance_id>& avoid,
                      base::time_point now) const;

  /// @return the time that @p replica needs to prefill its pending prompts, up
  ///         to what one pass prefills.
  base::duration EstimatePrefillTime(const std::string& service,
                                     const base::instance_id& replica) const;

  /// @return what would become of @p request if it were submitted now; nothing
  ///         changes. Copies the state: for operators, not for requests.
  placement_explanation Explain(slot_request request,
                                base::time_point now) const;

  /// Reevaluates the queue.
  decisions Tick(base::time_point now);
  /// @return when to call Tick next, if anything is queued.
  std::optional<base::time_point> NextTimer(base::time_point now) const;

  const dispatcher_options& options() const { return options_; }

  /// @return the load of this node's requests that are still running.
  const load_map& own_loads() const { return own_loads_; }
  std::size_t waiting() const { return waiting_.size(); }
  /// @return the queued requests for which peers leave slots; with
  ///         queue_order::kBenefit these are the ones that can be on time.
  queue_length_map own_queue_lengths() const;

 private:
  static constexpr base::duration kMaxRetryAfter = std::chrono::seconds(3);
  /// Time until the peers learn of a placement: the network delay between two
  /// nodes and the scheduling of small processes.
  static constexpr base::duration kPeerUpdateDelay =
      std::chrono::milliseconds(20);

  struct placement {
    base::instance_id instance;
    std::string service;
    std::string pool;
    std::int64_t pending_prompt_tokens = 0;
    std::int64_t pending_output_tokens = 0;
    std::int64_t output_tokens = 0;  ///< Expected in all.
    base::time_point placed_at{};
  };
  /// Arrivals at this node.
  struct arrival_rate {
    double per_ms = 0;  ///< At the last arrival.
    base::time_point last_at{};

    void Add(base::time_point now);
    double At(base::time_point now) const;
  };
  struct pool_statistics {
    double mean_service_ms = 0;  ///< Of completed requests.
    arrival_rate arrivals;
    std::map<int, arrival_rate> arrivals_by_priority;
    return_schedule returns;
    int granted_since_due = 0;  ///< Requests, since a late one was due.
  };
  /// A request in the queue, with what its order depends on.
  struct queued_request {
    slot_request request;
    base::time_point submitted_at{};
    base::time_point evaluated_at{};
    work_estimate expected;  ///< On the best replica, at the submission.
    queue_facts facts;
    queue_rank rank;
    bool is_new = true;  ///< Not evaluated yet.
  };

  /// Slots of one replica that this node may take before its peers learn of
  /// them.
  struct slot_share {
    int remaining = 0;
    base::time_point expires_at{};
  };
  /// A queued request's position in the queue of its pool.
  struct queue_position {
    std::string pool;
    int requests_ahead = 0;  ///< At this node.
    int own_length = 0;      ///< At this node, including this request.
    int peer_length = 0;     ///< At the other nodes.
    // With kBenefit:
    int late_ahead = 0;         ///< Of @c requests_ahead.
    int on_time_length = 0;     ///< Queued here, no less urgent, on time.
    int peers_more_urgent = 0;  ///< Of @c peer_length, which is no less urgent.
  };

  decisions ProcessQueue(base::time_point now);
  int PeerQueueLength(const std::string& pool) const;
  /// Queued requests by priority; with kBenefit those that can be on time.
  using lengths_by_priority = std::map<int, int>;
  std::map<std::string, lengths_by_priority> CountQueued() const;
  /// @return whether requests of several priorities came for @p pool, and are
  ///         kept apart.
  bool SharesPriorities(const std::string& pool) const;
  /// @return the name under which nodes tell each other how many requests of
  ///         one priority they have queued, beside all of @p pool.
  static std::string UrgentPoolName(const std::string& pool, int priority);
  queue_position PositionOf(const queued_request& queued,
                            const lengths_by_priority& own) const;
  void SortQueue(base::time_point now);
  void SortByRank();
  void FindDue(base::time_point now);
  void AssignRounds(base::time_point now);
  queued_request MakeQueued(slot_request request, base::time_point now) const;
  work_estimate EstimateOnBest(const slot_request& request,
                               base::time_point now) const;
  void RecordGrant(const queued_request& queued, base::time_point now);
  /// @return whether the request leaves slots to all that can be on time.
  bool Yields(const queued_request& queued) const {
    return options_.order == queue_order::kBenefit && queued.rank.late;
  }
  bool MustYield(const queued_request& queued,
                 const queue_position& position,
                 base::time_point now) const;
  bool CanPrefillSoon(const queued_request& queued, base::time_point now) const;
  bool HasMuchRoom(const queued_request& queued, base::time_point now) const;
  int KeptSlots(const slot_request& request,
                const std::vector<const target*>& candidates,
                base::time_point now) const;
  double MeanServiceMs(const std::string& pool,
                       const engine_profile* profile) const;
  std::optional<refusal> Evaluate(queued_request& queued,
                                  const queue_position& position,
                                  base::time_point now);
  /// @param full whether as many requests are queued as may be.
  std::optional<refusal> EvaluateByBenefit(queued_request& queued,
                                           const queue_position& position,
                                           bool full,
                                           base::time_point now);
  static refusal MakeRefusal(const slot_request& request,
                             const queue_position& position,
                             refusal_reason reason,
                             base::duration retry_after);
  double FleetArrivalsUpTo(const std::string& pool,
                           int priority,
                           base::time_point now) const;
  queue_outlook OutlookOf(const slot_request& request,
                          const queue_position& position,
                          base::time_point now) const;
  std::optional<grant> TryPlace(const slot_request& request,
                                const queue_position& position,
                                base::time_point now);
  struct costed_grant {
    grant candidate;
    /// Expected times until the first event and the end, in ms; for a plain
    /// service the fraction of slots taken.
    double cost = 0;
  };
  costed_grant Cost(const slot_request& request,
                    const target& replica,
                    const engine_profile* profile,
                    base::time_point now) const;
  grant PlaceByLoad(const slot_request& request,
                    const queue_position& position,
                    const engine_profile* profile,
                    const std::vector<const target*>& candidates,
                    base::time_point now);
  std::optional<grant> PlaceByLikelyCost(
      const slot_request& request,
      const queue_position& position,
      const engine_profile* profile,
      const std::vector<const target*>& candidates,
      base::time_point now);
  void Assign(const slot_request& request,
              const queue_position& position,
              const grant& chosen,
              std::int64_t output_tokens,
              base::time_point now);
  expected_request Expect(const slot_request& request) const;
  double CountUnknownPlacements(const slot_request& request,
                                const std::string& pool,
                                base::time_point now) const;
  std::size_t CountConcurrentPlacements(const std::string& pool,
                                        base::time_point now) const;
  const costed_grant& Choose(std::vector<costed_grant>& costed,
                             const std::string& pool,
                             base::time_point now);
  bool MayTakeSlot(const target& replica,
                   const engine_profile* profile,
                   const queue_position& position,
                   base::time_point now);
  std::vector<const target*> FindCandidates(const slot_request& request,
                                            base::time_point now) const;
  const std::vector<target>* FindTargets(const std::string& service) const;
  const engine_profile* FindProfile(const std::string& service) const;
  bool IsTarget(const base::instance_id& replica) const;
  void UpdateEvacuated();
  void UpdateCold(base::time_point now);
  /// @return the requests a second that the rate limit of the replica allows
  ///         all nodes, or this one while it is cold; empty without a limit.
  std::optional<double> RateLimit(const base::instance_id& replica,
                                  base::time_point now) const;
  placed_load TotalLoad(const base::instance_id& instance) const;
  std::string ReasonOut(const target& replica,
                        const engine_profile* profile,
                        bool is_candidate,
                        base::time_point now) const;
  int FreeSlots(const target& replica,
                const engine_profile* profile,
                base::time_point now) const;
  double ReleasesPerMillisecond(const slot_request& request,
                                double mean_service_ms,
                                base::time_point now) const;
  void RecordArrival(const slot_request& request, base::time_point now);
  double FleetArrivalsPerMillisecond(const std::string& pool,
                                     base::time_point now) const;
  double Utilization(const queue_position& position,
                     double releases_per_ms,
                     base::time_point now) const;
  base::duration EstimateWait(const slot_request& request,
                              const queue_position& position,
                              base::duration first_event,
                              base::time_point now) const;

  dispatcher_options options_;
  base::random_engine random_;
  fleet_view_ptr view_;
  std::list<queued_request> waiting_;
  workspace_shares workspace_shares_;
  std::map<ticket_id, placement> placements_;
  load_map own_loads_;
  load_map peer_loads_;
  replica_limits limits_;
  replica_pauses pauses_;
  cold_replicas cold_;
  std::optional<learned_costs> learned_;  ///< If the options say so.
  std::map<base::instance_id, base::time_point> suspected_until_;
  /// Start time of the latest process that says it is leaving, in Unix ms.
  std::map<base::instance_id, std::uint64_t> leaving_since_start_;
  /// Replicas in evacuated failure domains, as of the view.
  std::set<base::instance_id> evacuated_;
  std::map<std::string, pool_statistics> pool_statistics_by_name_;
  queue_length_map peer_queue_lengths_;
  std::map<base::instance_id, slot_share> slot_shares_;
  /// Replica on which a request of this node just ended; this node may reuse
  /// the slot.
  std::optional<base::instance_id> freed_replica_;
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_DISPATCHER_H_
