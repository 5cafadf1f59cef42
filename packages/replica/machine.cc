#include "replica/machine.h"

#include <algorithm>

namespace flamingoshunt::replica {
namespace {

// Instances are asked in slices over the report period, not all at once.
constexpr std::size_t kAskSlices = 4;

// Planning looks at silence this many times within lost_after.
constexpr int kPlansPerLoss = 4;

}  // namespace

machine::machine(const settings& chosen,
                 base::node_id self,
                 std::shared_ptr<const mend_policy> policy,
                 base::random_engine random)
    : settings_(chosen),
      readiness_(chosen),
      losses_(chosen, std::move(self)),
      store_(random),
      actor_(chosen, std::move(policy)),
      catalogue_(std::make_shared<catalogue::snapshot>()) {}

actor::view machine::View() {
  return {instances_, *catalogue_, losses_, store_};
}

effects machine::Finish(effects out) {
  for (const store::call& call : out.calls) {
    const bool read = call.op == store::operation::kGet;
    counted_.reads += read;
    counted_.writes += !read;
  }
  counted_.orders += out.orders.size();
  counted_.asks += out.asks.size();
  counted_.serving_changes += out.serving.size();
  return out;
}

void machine::PlanSoon(base::time_point now) {
  changed_ = true;
  const base::time_point due =
      std::max(now, last_plan_ + settings_.plan_period);
  next_plan_ = next_plan_ ? std::min(*next_plan_, due) : due;
}

void machine::Plan(base::time_point now, effects& out) {
  last_plan_ = now;
  next_plan_ = now + settings_.lost_after / kPlansPerLoss;
  const auto lost = losses_.lost();
  out.items = losses_.Judge(instances_, now);
  const bool due = now - last_act_ >= settings_.lost_after;
  if (!changed_ && !due && actor_.idle() && losses_.lost() == lost)
    return;
  changed_ = false;
  last_act_ = now;
  actor_.Act(View(), now, out);
  if (const auto turn = actor_.next_turn())
    next_plan_ = std::min(*next_plan_, std::max(*turn, now));
}

void machine::Ask(base::time_point now, effects& out) {
  const std::size_t slice = ask_slice_++ % kAskSlices;
  next_ask_ = now + settings_.report_period / kAskSlices;
  for (const auto& [id, state] : instances_.all()) {
    if (state.info.address.empty() ||
        std::hash<base::instance_id>()(id) % kAskSlices != slice)
      continue;
    out.asks.push_back(state.info);
  }
}

// Carries a changed allocation into the table and the gate.
void machine::Adopt(const object_store::change& change, base::time_point now) {
  const allocation& before = change.before;
  const allocation& current = store_.known().at(change.domain);
  const auto each_member = [](const allocation& of, const auto& visit) {
    for (const allocated_replica& replica : of.replicas) {
      for (const base::instance_id& member : replica.members)
        visit(member);
      for (const incoming_member& incoming : replica.incoming)
        visit(incoming.instance);
    }
  };
  std::set<base::instance_id> stay;
  each_member(current, [&](const auto& id) { stay.insert(id); });
  std::set<base::instance_id> cooling(current.cooling.begin(),
                                      current.cooling.end());
  for (const base::instance_id& id : current.cooling)
    instances_.SetCooling(id, true, now);
  for (const base::instance_id& id : stay)
    instances_.SetAllocated(id, true, now);
  each_member(before, [&](const auto& id) {
    if (!stay.contains(id))
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
  PlanSoon(now);
  effects out;
  readiness_.JudgeAll(instances_, now, out.serving);
  return Finish(std::move(out));
}

effects machine::Handle(const instances_listed& input, base::time_point now) {
  instances_.List(input.instances, now);
  readiness_.DescribeAnew();
  PlanSoon(now);
  effects out;
  readiness_.JudgeAll(instances_, now, out.serving);
  return Finish(std::move(out));
}

effects machine::Handle(const instance_changed& input, base::time_point now) {
  instances_.Change(input.instance, input.gone, now);
  readiness_.DescribeAnew();
  PlanSoon(now);
  effects out;
  readiness_.Judge(input.instance.id, instances_, now, out.serving);
  return Finish(std::move(out));
}

effects machine::Handle(const allocations_listed& input, base::time_point now) {
  for (const object_store::change& change : store_.TakeAll(input.objects))
    Adopt(change, now);
  PlanSoon(now);
  effects out;
  readiness_.JudgeAll(instances_, now, out.serving);
  return Finish(std::move(out));
}

effects machine::Handle(const allocation_changed& input, base::time_point now) {
  effects out;
  if (const auto change = store_.Take(input.object, input.deleted)) {
    Adopt(*change, now);
    readiness_.JudgeAll(instances_, now, out.serving);
  }
  PlanSoon(now);
  return Finish(std::move(out));
}

effects machine::Handle(const drains_listed& input, base::time_point now) {
  instances_.SetDrains(input.instances);
  PlanSoon(now);
  return {};
}

effects machine::Handle(const drain_changed& input, base::time_point now) {
  instances_.SetDrain(input.instance, input.drained);
  PlanSoon(now);
  return {};
}

effects machine::Handle(const endpoint::report& input, base::time_point now) {
  effects out;
  const bool changed = instances_.Take(input, now);
  if (changed)
    PlanSoon(now);
  // A report that says the same again can only keep an open gate open.
  if (changed || !readiness_.ServesWith(input.instance))
    readiness_.Judge(input.instance, instances_, now, out.serving);
  return Finish(std::move(out));
}

effects machine::Handle(const endpoint::order_result& input,
                        base::time_point now) {
  actor_.Take(input);
  if (input.outcome == endpoint::order_outcome::kStale)
    ++counted_.stale_orders;
  PlanSoon(now);
  return {};
}

effects machine::Handle(const store::reply& input, base::time_point now) {
  effects out;
  const auto settled = store_.Settle(input, now);
  if (!settled)
    return out;
  if (settled->changed) {
    Adopt(*settled->changed, now);
    readiness_.JudgeAll(instances_, now, out.serving);
  }
  if (settled->read_ok && settled->name != kWeightBudgetName)
    actor_.AfterRead(View(), base::fabric_domain_id(settled->name), now, out);
  PlanSoon(now);
  return Finish(std::move(out));
}

effects machine::Handle(const membership::peers_changed& input,
                        base::time_point now) {
  losses_.SetPeers(input.peers);
  PlanSoon(now);
  return {};
}

effects machine::Handle(const membership::item_received& input,
                        base::time_point now) {
  if (input.received.topic != kReadyTopic)
    return {};
  losses_.Take(input.received);
  PlanSoon(now);
  return {};
}

effects machine::Handle(const replica_failed& input, base::time_point now) {
  effects out;
  ++counted_.first_hand;
  readiness_.Fail(input.replica, input.epoch, now);
  readiness_.JudgeAll(instances_, now, out.serving);
  return Finish(std::move(out));
}

effects machine::Handle(const tick&, base::time_point now) {
  effects out;
  const auto expiry = readiness_.next_expiry();
  if (expiry && now >= *expiry)
    readiness_.JudgeAll(instances_, now, out.serving);
  if (now >= next_ask_)
    Ask(now, out);
  for (store::call& call : store_.DueReads(now))
    out.calls.push_back(std::move(call));
  if (next_plan_ && now >= *next_plan_)
    Plan(now, out);
  return Finish(std::move(out));
}

std::optional<base::time_point> machine::NextTimer() const {
  base::time_point next = next_ask_;
  if (next_plan_)
    next = std::min(next, *next_plan_);
  if (const auto expiry = readiness_.next_expiry())
    next = std::min(next, *expiry);
  if (const auto read = store_.NextRead())
    next = std::min(next, *read);
  return next;
}

}  // namespace flamingoshunt::replica
