// Defines who runs when and where: a node places each request on the replica
// that finishes it first, lets it wait while all are full, and refuses at once
// what can't be answered in time. No sockets and no clock.
//
// Load pattern: demand swings by half within seconds and bursts on top, while
// groups drop out and return. The line therefore serves first what can still be
// on time, lets late work take the places that remain, and tells the others
// when a place will be free. When many places come free at once, as in a new
// group, every node takes only the part that its line is of all lines: news
// between nodes are slower than the places go.
#ifndef FLAMINGOSHUNT_GATEWAY_DISPATCHER_H_
#define FLAMINGOSHUNT_GATEWAY_DISPATCHER_H_

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "gateway/fleet_view.h"
#include "gateway/latency_model.h"

namespace flamingoshunt::gateway {

using ticket_id = base::number_id<struct ticket_tag>;

/// A request that wants a place at a replica.
struct slot_request {
  ticket_id ticket;
  std::string service;
  std::string model;  ///< Empty for a plain service.
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;       ///< Expected.
  int priority = 0;                     ///< 0 is the most urgent.
  base::time_point on_time_deadline{};  ///< First answer by then is on time.
  base::time_point deadline{};          ///< No use after that.
  /// The caller leaves when it has no event by then.
  base::time_point first_event_deadline = base::time_point::max();
  std::vector<base::instance_id> avoid;  ///< Tried before.
};

struct grant {
  ticket_id ticket;
  target replica;
  work_estimate expected;  ///< Zero for a plain service.
  placed_load load;        ///< What was placed there already.
};

enum class refusal_reason {
  kNoReplica,      ///< Nothing serves this service or model at the moment.
  kWaitTooLong,    ///< Its turn would come too late.
  kQueueFull,      ///< Too many wait already.
  kUnknownService  ///< The configuration doesn't name it.
};

/// @return the name used in logs and answers.
const char* NameOf(refusal_reason reason);

struct refusal {
  ticket_id ticket;
  refusal_reason reason = refusal_reason::kNoReplica;
  base::duration retry_after{};  ///< When a place is expected to be free.
  std::size_t waiting = 0;       ///< In the line of the same pool.
};

struct decisions {
  std::vector<grant> grants;
  std::vector<refusal> refusals;
};

class dispatcher {
 public:
  explicit dispatcher(base::random_engine random) : random_(random) {}

  decisions Submit(slot_request request, base::time_point now);

  /// The caller of a waiting request is gone.
  void Cancel(ticket_id ticket);

  /// The replica produced the first event.
  void OnFirstEvent(ticket_id ticket);

  /// The request left its replica, whether complete or not.
  /// @param whole whether it ran to its end, so that its time is typical.
  decisions Release(ticket_id ticket, bool complete, base::time_point now);

  decisions SetView(fleet_view_ptr view, base::time_point now);

  /// @param loads what the other nodes have placed on these replicas; what they
  ///        have placed on others is as it was.
  decisions UpdatePeerLoads(const load_map& loads, base::time_point now);

  /// @param lines what waits at all other nodes together.
  void SetPeerQueueLengths(queue_length_map queue_lengths) {
    peer_queue_lengths_ = std::move(queue_lengths);
  }

  /// Places nothing more on @p replica until @p until.
  void Suspect(const base::instance_id& replica, base::time_point until);
  /// A suspect answered after all.
  decisions ClearSuspicion(const base::instance_id& replica,
                           base::time_point now);

  /// @return whether another replica could take over from @p replica.
  bool HasAlternative(const std::string& service,
                      const std::string& model,
                      const std::vector<base::instance_id>& avoid,
                      base::time_point now) const;

  /// @return the time that @p replica takes to read the prompts that wait
  /// there,
  ///         as far as one pass reads them.
  base::duration EstimatePrefillTime(const std::string& service,
                                     const base::instance_id& replica) const;

  decisions Tick(base::time_point now);
  std::optional<base::time_point> NextTimer(base::time_point now) const;

  /// @return what this node has placed and not seen end.
  const load_map& own_loads() const { return own_loads_; }
  std::size_t waiting() const { return waiting_.size(); }
  queue_length_map own_queue_lengths() const;

 private:
  struct placement {
    base::instance_id instance;
    std::string pool;
    std::int64_t pending_prompt_tokens = 0;
    std::int64_t pending_output_tokens = 0;
    base::time_point placed_at{};
  };
  struct pool_statistics {
    double mean_service_ms = 0;  ///< Of whole requests.
    double arrivals_per_ms = 0;  ///< At this node, as of the last one.
    base::time_point last_arrival_at{};
  };

  /// Places of one replica that this node may take while news are on their
  /// way.
  struct slot_share {
    int remaining = 0;
    base::time_point expires_at{};
  };
  /// A waiting request's place in the line of its pool.
  struct queue_position {
    std::string pool;
    int requests_ahead = 0;  ///< At this node.
    int own_length = 0;      ///< At this node, itself included.
    int peer_length = 0;     ///< At the other nodes.
  };

  decisions ProcessQueue(base::time_point now);
  void SortQueue(base::time_point now);
  std::optional<grant> TryPlace(const slot_request& request,
                                const queue_position& position,
                                base::time_point now);
  bool MayTakeSlot(const target& replica,
                   const engine_profile* profile,
                   const queue_position& position,
                   base::time_point now);
  std::optional<refusal> EvaluateWait(const slot_request& request,
                                      const queue_position& position,
                                      base::time_point now) const;
  std::vector<const target*> FindCandidates(const slot_request& request,
                                            base::time_point now) const;
  const std::vector<target>* FindTargets(const std::string& service) const;
  const engine_profile* FindProfile(const std::string& service) const;
  placed_load TotalLoad(const base::instance_id& instance) const;
  int FreeSlots(const target& replica, const engine_profile* profile) const;
  void RecordArrival(const slot_request& request, base::time_point now);
  double Utilization(const queue_position& position,
                     double releases_per_ms,
                     base::time_point now) const;
  base::duration EstimateWait(const slot_request& request,
                              const queue_position& position,
                              base::duration first_event,
                              base::time_point now) const;

  base::random_engine random_;
  fleet_view_ptr view_;
  std::list<slot_request> waiting_;
  std::map<ticket_id, placement> placements_;
  load_map own_loads_;
  load_map peer_loads_;
  std::map<base::instance_id, base::time_point> suspected_until_;
  std::map<std::string, pool_statistics> pool_statistics_by_name_;
  queue_length_map peer_queue_lengths_;
  std::map<base::instance_id, slot_share> slot_shares_;
  /// Where a request of this node just ended: its place is this node's.
  std::optional<base::instance_id> freed_replica_;
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_DISPATCHER_H_
