#include "replica/machine.h"

#include <algorithm>

namespace flamingoshunt::replica {
namespace {

// Instances are queried in slices spread over the report period.
constexpr std::size_t kQuerySlices = 4;

// Number of times that losses are evaluated within loss_timeout.
constexpr int kPlansPerLossTimeout = 4;

}  // namespace

machine::machine(const settings& config,
                 base::node_id self,
                 std::shared_ptr<const recovery_policy> policy,
                 base::random_engine random)
    : settings_(config),
      readiness_(config),
      losses_(config, std::move(self)),
      store_(random),
      controller_(config, std::move(policy)),
      catalogue_(std::make_shared<catalogue::snapshot>()) {}

allocation_controller::node_state machine::NodeState() {
  return {instances_, *catalogue_, losses_, store_};
}

effects machine::CountEffects(effects out) {
  for (const store::call& call : out.calls) {
    const bool read = call.op == store::operation::kGet;
    counters_.reads += read;
    counters_.writes += !read;
  }
  counters_.orders += out.orders.size();
  counters_.report_queries += out.report_queries.size();
  counters_.serving_changes += out.serving.size();
  return out;
}

void machine::SchedulePlan(base::time_point now) {
  has_unplanned_changes_ = true;
  const base::time_point due =
      std::max(now, last_plan_ + settings_.plan_period);
  next_plan_ = next_plan_ ? std::min(*next_plan_, due) : due;
}

void machine::Plan(base::time_point now, effects& out) {
  last_plan_ = now;
  next_plan_ = now + settings_.loss_timeout / kPlansPerLossTimeout;
  const auto lost = losses_.lost();
  out.items = losses_.Evaluate(instances_, now);
  const bool due = now - last_reconcile_ >= settings_.loss_timeout;
  if (!has_unplanned_changes_ && !due && controller_.idle() &&
      losses_.lost() == lost)
    return;
  has_unplanned_changes_ = false;
  last_reconcile_ = now;
  controller_.Reconcile(NodeState(), now, out);
  if (const auto takeover = controller_.next_takeover())
    next_plan_ = std::min(*next_plan_, std::max(*takeover, now));
}

void machine::QueryReports(base::time_point now, effects& out) {
  const std::size_t slice = query_slice_++ % kQuerySlices;
  next_query_ = now + settings_.report_period / kQuerySlices;
  for (const auto& [id, state] : instances_.all()) {
    if (state.info.address.empty() ||
        std::hash<base::instance_id>()(id) % kQuerySlices != slice)
      continue;
    out.report_queries.push_back(state.info);
  }
}

// Applies a changed allocation to the instance table and the readiness gate.
void machine::ApplyAllocationChange(const object_store::change& change,
                                    base::time_point now) {
  const allocation& before = change.before;
  const allocation& current = store_.stored_allocations().at(change.domain);
  const auto for_each_member = [](const allocation& source, const auto& visit) {
    for (const allocated_replica& replica : source.replicas) {
      for (const base::instance_id& member : replica.members)
        visit(member);
      for (const incoming_member& incoming : replica.incoming)
        visit(incoming.instance);
    }
  };
  std::set<base::instance_id> allocated;
  for_each_member(current, [&](const auto& id) { allocated.insert(id); });
  std::set<base::instance_id> cooling(current.cooling.begin(),
                                      current.cooling.end());
  for (const base::instance_id& id : current.cooling)
    instances_.SetCooling(id, true, now);
  for (const base::instance_id& id : allocated)
    instances_.SetAllocated(id, true, now);
  for_each_member(before, [&](const auto& id) {
    if (!allocated.contains(id))
      instances_.SetAllocated(id, false, now);
  });
  for (const base::instance_id& id : before.cooling) {
    if (!cooling.contains(id))
      instances_.SetCooling(id, false, now);
  }
  readiness_.SetAllocation(current);
}

effects machine::Handle(const catalogue_changed& input, base::time_point now) {
  catalogue_ = input.snapshot;
  readiness_.SetCatalogue(input.snapshot);
  SchedulePlan(now);
  effects out;
  readiness_.EvaluateAll(instances_, now, out.serving);
  return CountEffects(std::move(out));
}

effects machine::Handle(const instances_listed& input, base::time_point now) {
  instances_.ReplaceList(input.instances, now);
  readiness_.InvalidateDescriptions();
  SchedulePlan(now);
  effects out;
  readiness_.EvaluateAll(instances_, now, out.serving);
  return CountEffects(std::move(out));
}

effects machine::Handle(const instance_changed& input, base::time_point now) {
  instances_.ApplyListChange(input.instance, input.gone, now);
  readiness_.InvalidateDescriptions();
  SchedulePlan(now);
  effects out;
  readiness_.Evaluate(input.instance.id, instances_, now, out.serving);
  return CountEffects(std::move(out));
}

effects machine::Handle(const allocations_listed& input, base::time_point now) {
  for (const object_store::change& change : store_.ApplyList(input.objects))
    ApplyAllocationChange(change, now);
  SchedulePlan(now);
  effects out;
  readiness_.EvaluateAll(instances_, now, out.serving);
  return CountEffects(std::move(out));
}

effects machine::Handle(const allocation_changed& input, base::time_point now) {
  effects out;
  if (const auto change = store_.Apply(input.object, input.deleted)) {
    ApplyAllocationChange(*change, now);
    readiness_.EvaluateAll(instances_, now, out.serving);
  }
  SchedulePlan(now);
  return CountEffects(std::move(out));
}

effects machine::Handle(const drains_listed& input, base::time_point now) {
  instances_.SetDrains(input.instances);
  SchedulePlan(now);
  return {};
}

effects machine::Handle(const drain_changed& input, base::time_point now) {
  instances_.SetDrain(input.instance, input.drained);
  SchedulePlan(now);
  return {};
}

effects machine::Handle(const endpoint::report& input, base::time_point now) {
  effects out;
  const bool changed = instances_.RecordReport(input, now);
  if (changed)
    SchedulePlan(now);
  // An unchanged report can only keep a serving replica serving.
  if (changed || !readiness_.IsReplicaServing(input.instance))
    readiness_.Evaluate(input.instance, instances_, now, out.serving);
  return CountEffects(std::move(out));
}

effects machine::Handle(const endpoint::order_result& input,
                        base::time_point now) {
  controller_.OnOrderResult(input);
  if (input.outcome == endpoint::order_outcome::kStale)
    ++counters_.stale_orders;
  SchedulePlan(now);
  return {};
}

effects machine::Handle(const store::reply& input, base::time_point now) {
  effects out;
  const auto result = store_.OnReply(input, now);
  if (!result)
    return out;
  if (result->changed) {
    ApplyAllocationChange(*result->changed, now);
    readiness_.EvaluateAll(instances_, now, out.serving);
  }
  if (result->is_current_read && result->name != kWeightBudgetName)
    controller_.OnAllocationRead(
        NodeState(), base::fabric_domain_id(result->name), now, out);
  SchedulePlan(now);
  return CountEffects(std::move(out));
}

effects machine::Handle(const membership::peers_changed& input,
                        base::time_point now) {
  losses_.SetPeers(input.peers);
  SchedulePlan(now);
  return {};
}

effects machine::Handle(const membership::item_received& input,
                        base::time_point now) {
  if (input.received.topic != kLossTopic)
    return {};
  losses_.OnPeerItem(input.received);
  SchedulePlan(now);
  return {};
}

effects machine::Handle(const replica_failed& input, base::time_point now) {
  effects out;
  ++counters_.reported_failures;
  readiness_.RecordFailure(input.replica, input.epoch, now);
  readiness_.EvaluateAll(instances_, now, out.serving);
  return CountEffects(std::move(out));
}

effects machine::Handle(const tick&, base::time_point now) {
  effects out;
  const auto expiry = readiness_.next_expiry();
  if (expiry && now >= *expiry)
    readiness_.EvaluateAll(instances_, now, out.serving);
  if (now >= next_query_)
    QueryReports(now, out);
  for (store::call& call : store_.DueReads(now))
    out.calls.push_back(std::move(call));
  if (next_plan_ && now >= *next_plan_)
    Plan(now, out);
  return CountEffects(std::move(out));
}

std::optional<base::time_point> machine::NextTimer() const {
  base::time_point next = next_query_;
  if (next_plan_)
    next = std::min(next, *next_plan_);
  if (const auto expiry = readiness_.next_expiry())
    next = std::min(next, *expiry);
  if (const auto read = store_.NextRead())
    next = std::min(next, *read);
  return next;
}

}  // namespace flamingoshunt::replica
