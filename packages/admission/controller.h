// Defines the admission machine of one node: it takes asks for places, keeps
// those that must wait in order, grants slots on replicas that the router
// chooses, and refuses what cannot or must not run. One thread owns it together
// with its router.
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

/// Settings that no admission machine can run with.
class settings_error : public base::user_error {
 public:
  using base::user_error::user_error;
};

struct machine_settings {
  routing::location self;
  std::uint64_t incarnation = 1;  ///< Of this process, as peers know it.
  routing::policy_kind policy = routing::policy_kind::kBoundedAffinity;
  queue_kind queue = queue_kind::kFair;
  double short_reserve = 0.3;  ///< Part of the slots that long work can't take.
  bool preempts = true;        ///< Short work may take the slots of long work.
  bool forecasts = true;       ///< Refuses what is forecast to miss a deadline.
  std::size_t provisional_nodes = 1;  ///< Fleet size until a roster is known.
  std::uint64_t seed = 1;
};

/// Counts since the start, for telemetry.
struct machine_counters {
  std::uint64_t asked = 0;
  std::uint64_t granted = 0;
  std::uint64_t withdrawn = 0;
  std::uint64_t reclassified = 0;
  std::uint64_t preempted = 0;
  std::array<std::uint64_t, 9> refused{};  ///< By refusal_reason.
};

class machine {
 public:
  explicit machine(const machine_settings& settings);

  /// Takes one input; the effects are to be performed in order.
  effects Handle(const input& given, base::time_point now);

  /// @return when a tick is due, if nothing else comes before.
  std::optional<base::time_point> NextTimer() const;

  /// @return the requests that are suspect or quarantined, for operators.
  std::vector<routing::quarantine::record> Quarantined(base::time_point now) {
    return quarantine_.List(now);
  }

  std::size_t Waiting() const;
  const machine_counters& counters() const { return counters_; }
  const limit_shares& shares() const { return gate_.shares(); }
  const routing::router& router() const { return router_; }

 private:
  /// A request that holds a slot.
  struct running {
    ask request;
    base::replica_id replica;
    base::epoch epoch;
    double charged = 0;  ///< Cost charged to its workspace so far.
    double long_from = 0;
    double tokens = 0;
    bool is_long = false;
    bool is_alone = false;
    bool is_preempted = false;  ///< Was told to leave and has not yet.
  };

  void On(const ask& given, base::time_point now);
  void On(const progress& given, base::time_point now);
  void On(const release& given, base::time_point now);
  void On(const withdraw& given, base::time_point now);
  void On(const catalogue_in_force& given, base::time_point now);
  void On(const limit_roster& given, base::time_point now);
  void On(const lift_quarantine& given, base::time_point now);
  void On(const replica::serving_changed& given, base::time_point now);
  void On(const endpoint::report& given, base::time_point now);
  void On(const endpoint::cache_event& given, base::time_point now);
  void On(const membership::item& given, base::time_point now);
  void On(const membership::peers_changed& given, base::time_point now);
  void On(const tick& given, base::time_point now);
  void On(const stopping& given, base::time_point now);

  std::optional<refusal> CheckState(const ask& given, base::time_point now);
  std::optional<refusal> CheckRules(const ask& given, base::time_point now);
  std::optional<refusal> CheckLine(const waiting& each, base::time_point now);
  bool HasReplica(const routing::request_shape& shape);
  waiting Describe(const ask& given, base::time_point now) const;
  void Enqueue(waiting each, base::time_point now);
  void Dispatch(const base::entry_name& entry, base::time_point now);
  void DispatchAll(base::time_point now);
  void PreemptFor(const base::entry_name& entry, base::time_point now);
  start_result TryStart(const waiting& each, base::time_point now);
  void Grant(const waiting& each,
             const routing::placement& place,
             bool is_alone,
             base::time_point now);
  void Finish(const running& each,
              const routing::attempt_finished& finished,
              base::time_point now);
  bool Leave(const base::request_id& request, base::time_point now);
  void Refuse(const refusal& given);
  void RefuseOverdue(base::time_point now);
  void ServeSolo(base::time_point now);
  void ExchangeIfDue(base::time_point now);
  base::duration ExchangeInterval() const;
  entry_line& LineOf(const base::entry_name& entry);

  machine_settings settings_;
  routing::router router_;
  routing::quarantine quarantine_;
  routing::retry_budget retries_;
  limit_gate gate_;
  length_model lengths_;
  solo_line solo_;
  catalogue::snapshot_ptr catalogue_;
  bool is_confirmed_ = false;
  bool is_stopping_ = false;
  std::map<base::entry_name, entry_line> lines_;
  std::unordered_map<base::request_id, base::entry_name> places_;
  std::unordered_multimap<base::request_id, running> running_;
  std::size_t peers_ = 0;
  base::time_point next_exchange_{};
  machine_counters counters_;
  effects effects_;
};

/// Builds a machine and checks what it is given.
class machine_builder {
 public:
  machine_builder& Self(routing::location self);
  machine_builder& Incarnation(std::uint64_t incarnation);
  machine_builder& Policy(routing::policy_kind kind);
  machine_builder& Queue(queue_kind kind);
  /// @param part of the slots that long work can't take, from 0 to 0.9.
  machine_builder& ShortReserve(double part);
  machine_builder& Forecasts(bool enabled);
  machine_builder& Preempts(bool enabled);
  /// @param nodes the largest fleet, while no roster has been agreed.
  machine_builder& ProvisionalNodes(std::size_t nodes);
  machine_builder& Seed(std::uint64_t seed);

  /// @throws settings_error naming the value that is out of its range.
  machine Build() const;

 private:
  machine_settings settings_;
};

}  // namespace flamingoshunt::admission

#endif  // FLAMINGOSHUNT_ADMISSION_CONTROLLER_H_
