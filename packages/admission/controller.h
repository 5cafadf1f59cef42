// Defines the admission controller of one node. It receives slot requests,
// queues those that must wait, grants slots on replicas that the router
// chooses, and refuses requests that cannot or must not run. One thread owns it
// together with its router.
#ifndef FLAMINGOSHUNT_ADMISSION_CONTROLLER_H_
#define FLAMINGOSHUNT_ADMISSION_CONTROLLER_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "admission/entry_queue.h"
#include "admission/isolation_queue.h"
#include "admission/length_model.h"
#include "admission/limit_enforcer.h"
#include "admission/messages.h"
#include "base/errors.h"
#include "routing/quarantine.h"
#include "routing/retry_budget.h"
#include "routing/router.h"

namespace flamingoshunt::admission {

/// Invalid settings of an admission controller.
class settings_error : public base::user_error {
 public:
  using base::user_error::user_error;
};

struct controller_settings {
  routing::location self;
  std::uint64_t incarnation = 1;  ///< Of this process, as in the roster.
  routing::policy_kind policy = routing::policy_kind::kBoundedAffinity;
  queue_kind queue = queue_kind::kFair;
  double short_reserve = 0.3;      ///< Fraction of slots closed to long work.
  bool allow_preemption = true;    ///< Queued short work preempts long work.
  bool forecast_deadlines = true;  ///< Refuses requests forecast to be late.
  std::size_t provisional_nodes = 1;  ///< Fleet size until a roster is known.
  std::uint64_t seed = 1;
};

/// Counts since the start, for telemetry.
struct controller_counters {
  std::uint64_t slot_requests = 0;
  std::uint64_t granted = 0;
  std::uint64_t withdrawn = 0;
  std::uint64_t reclassified = 0;
  std::uint64_t preempted = 0;
  std::array<std::uint64_t, 9> refused{};  ///< By refusal_reason.
};

class controller {
 public:
  explicit controller(const controller_settings& settings);

  /// Processes one input; the effects are to be performed in order.
  effects Handle(const input& message, base::time_point now);

  /// @return when the next tick is due, unless another input comes before.
  std::optional<base::time_point> NextTimer() const;

  /// @return the requests that are suspect or quarantined, for operators.
  std::vector<routing::quarantine::record> ListQuarantined(
      base::time_point now) {
    return quarantine_.List(now);
  }

  std::size_t QueuedRequests() const;
  const controller_counters& counters() const { return counters_; }
  const limit_shares& shares() const { return limits_.shares(); }
  const routing::router& router() const { return router_; }

 private:
  /// A request that holds a slot.
  struct running_attempt {
    slot_request request;
    base::replica_id replica;
    base::epoch epoch;
    double charged = 0;  ///< Cost charged to its workspace so far.
    double long_threshold = 0;
    double tokens = 0;
    bool is_long = false;
    bool is_isolated = false;
    bool is_preempted = false;  ///< A preemption was sent; still running.
  };

  void On(const slot_request& message, base::time_point now);
  void On(const progress& message, base::time_point now);
  void On(const release& message, base::time_point now);
  void On(const withdrawal& message, base::time_point now);
  void On(const catalogue_in_force& message, base::time_point now);
  void On(const limit_roster& message, base::time_point now);
  void On(const lift_quarantine& message, base::time_point now);
  void On(const replica::serving_changed& message, base::time_point now);
  void On(const endpoint::report& message, base::time_point now);
  void On(const endpoint::cache_event& message, base::time_point now);
  void On(const membership::item& message, base::time_point now);
  void On(const membership::peers_changed& message, base::time_point now);
  void On(const tick& message, base::time_point now);
  void On(const shutdown_started& message, base::time_point now);

  std::optional<refusal> CheckState(const slot_request& message,
                                    base::time_point now);
  std::optional<refusal> CheckRules(const slot_request& message,
                                    base::time_point now);
  std::optional<refusal> CheckQueue(const queued_request& queued,
                                    base::time_point now);
  bool HasReplica(const routing::request_shape& shape);
  queued_request MakeQueuedRequest(const slot_request& message,
                                   base::time_point now) const;
  void Enqueue(queued_request queued, base::time_point now);
  void Dispatch(const base::entry_name& entry, base::time_point now);
  void DispatchAll(base::time_point now);
  void PreemptFor(const base::entry_name& entry, base::time_point now);
  start_result TryStart(const queued_request& queued, base::time_point now);
  void Grant(const queued_request& queued,
             const routing::placement& placement,
             bool is_isolated,
             base::time_point now);
  void Finish(const running_attempt& attempt,
              const routing::attempt_finished& finished,
              base::time_point now);
  bool RemoveQueued(const base::request_id& request, base::time_point now);
  void Refuse(const refusal& message);
  void RefuseExpired(base::time_point now);
  void ServeIsolated(base::time_point now);
  void RebalanceIfDue(base::time_point now);
  base::duration RebalanceInterval() const;
  entry_queue& QueueOf(const base::entry_name& entry);

  controller_settings settings_;
  routing::router router_;
  routing::quarantine quarantine_;
  routing::retry_budget retry_budget_;
  limit_enforcer limits_;
  length_model length_model_;
  isolation_queue isolated_;
  catalogue::snapshot_ptr catalogue_;
  bool is_confirmed_ = false;
  bool is_stopping_ = false;
  std::map<base::entry_name, entry_queue> queues_;
  std::unordered_map<base::request_id, base::entry_name> queued_entries_;
  std::unordered_multimap<base::request_id, running_attempt> running_;
  std::size_t peer_count_ = 0;
  base::time_point next_rebalance_{};
  controller_counters counters_;
  effects effects_;
};

/// Builds a controller from checked settings.
class controller_builder {
 public:
  controller_builder& Self(routing::location self);
  controller_builder& Incarnation(std::uint64_t incarnation);
  controller_builder& Policy(routing::policy_kind kind);
  controller_builder& Queue(queue_kind kind);
  /// @param fraction of the slots closed to long work, from 0 to 0.9.
  controller_builder& ShortReserve(double fraction);
  controller_builder& ForecastDeadlines(bool enabled);
  controller_builder& AllowPreemption(bool enabled);
  /// @param nodes the largest fleet size to assume until a roster is agreed.
  controller_builder& ProvisionalNodes(std::size_t nodes);
  controller_builder& Seed(std::uint64_t seed);

  /// @throws settings_error naming the value that is out of its range.
  controller Build() const;

 private:
  controller_settings settings_;
};

}  // namespace flamingoshunt::admission

#endif  // FLAMINGOSHUNT_ADMISSION_CONTROLLER_H_
