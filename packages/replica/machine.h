// Defines the replica slice's state machine, which runs on every entry node. It
// keeps the readiness gate from the reports of all instances, and acts for the
// fabric domains that rendezvous hashing gives it. It reads no clock, opens no
// socket and keeps nothing: a new node rebuilds all from the platform's objects
// and the instances' reports.
#ifndef FLAMINGOSHUNT_REPLICA_MACHINE_H_
#define FLAMINGOSHUNT_REPLICA_MACHINE_H_

#include <memory>
#include <optional>

#include "base/random.h"
#include "replica/actor.h"
#include "replica/readiness.h"

namespace flamingoshunt::replica {

/// Counters of one node since its start.
struct counters {
  std::uint64_t writes = 0;           ///< Writes of allocations and budget.
  std::uint64_t reads = 0;            ///< Reads of them.
  std::uint64_t orders = 0;           ///< Orders to instances.
  std::uint64_t stale_orders = 0;     ///< Orders refused for their number.
  std::uint64_t asks = 0;             ///< Questions for reports.
  std::uint64_t first_hand = 0;       ///< Failures told by the request path.
  std::uint64_t serving_changes = 0;  ///< Changes told to the request path.
};

class machine {
 public:
  machine(const settings& chosen,
          base::node_id self,
          std::shared_ptr<const mend_policy> policy,
          base::random_engine random);

  effects Handle(const catalogue_changed& input, base::time_point now);
  effects Handle(const instances_listed& input, base::time_point now);
  effects Handle(const instance_changed& input, base::time_point now);
  effects Handle(const allocations_listed& input, base::time_point now);
  effects Handle(const allocation_changed& input, base::time_point now);
  effects Handle(const drains_listed& input, base::time_point now);
  effects Handle(const drain_changed& input, base::time_point now);
  effects Handle(const endpoint::report& input, base::time_point now);
  effects Handle(const endpoint::order_result& input, base::time_point now);
  effects Handle(const store::reply& input, base::time_point now);
  effects Handle(const membership::peers_changed& input, base::time_point now);
  effects Handle(const membership::item_received& input, base::time_point now);
  effects Handle(const replica_failed& input, base::time_point now);
  effects Handle(const tick& input, base::time_point now);

  /// @return when a tick is due.
  std::optional<base::time_point> NextTimer() const;

  const counters& counted() const { return counted_; }
  const object_store& store() const { return store_; }
  const std::set<base::entry_name>& blocked() const { return actor_.blocked(); }

 private:
  void Adopt(const object_store::change& change, base::time_point now);
  void PlanSoon(base::time_point now);
  void Plan(base::time_point now, effects& out);
  void Ask(base::time_point now, effects& out);
  actor::view View();
  effects Finish(effects out);

  settings settings_;
  readiness readiness_;
  instance_table instances_;
  loss_judge losses_;
  object_store store_;
  actor actor_;
  catalogue::snapshot_ptr catalogue_;
  counters counted_;
  base::time_point next_ask_{};
  std::size_t ask_slice_ = 0;
  base::time_point last_plan_{};
  std::optional<base::time_point> next_plan_;
  base::time_point last_act_{};
  bool changed_ = true;  ///< Something to plan on changed since last_act_.
};

}  // namespace flamingoshunt::replica

#endif  // FLAMINGOSHUNT_REPLICA_MACHINE_H_
