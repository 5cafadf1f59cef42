#include "replica/fencing.h"

#include <algorithm>

namespace flamingoshunt::replica {
namespace {

using endpoint::member_state;
using endpoint::order_kind;

bool ChecksFencing(const catalogue::snapshot& catalogue,
                   const base::entry_name& name) {
  const auto entry = catalogue.entries.find(name);
  return entry != catalogue.entries.end() && entry->second.checks_fencing;
}

endpoint::order MakeOrder(order_kind kind,
                          const instance_state& target,
                          const allocated_replica& replica,
                          const catalogue::snapshot& catalogue) {
  endpoint::order order;
  order.kind = kind;
  order.target = target.info.id;
  order.address = target.info.address;
  order.replica = replica.id;
  order.epoch = replica.epoch;
  order.entry = replica.entry;
  order.version = replica.version;
  order.adapters = replica.adapters;
  order.members = replica.members;
  const auto entry = catalogue.entries.find(replica.entry);
  if (entry != catalogue.entries.end())
    order.model = entry->second.model;
  return order;
}

// The replica as it will be after its incoming members have become members.
allocated_replica AfterPromotion(const allocated_replica& replica) {
  allocated_replica after = replica;
  for (const incoming_member& incoming : replica.incoming)
    after.members[incoming.rank] = incoming.instance;
  after.epoch = replica.incoming_epoch;
  return after;
}

bool NeedsJoin(const instance_state& state, const allocated_replica& replica) {
  return !state.ReportsMembership(replica.id, replica.epoch) ||
         state.report->state == member_state::kIdle ||
         state.report->state == member_state::kFailed;
}

}  // namespace

bool order_tracker::SentRecently(const endpoint::order& order,
                                 base::time_point now) const {
  const auto found = last_orders_.find(order.target);
  if (found == last_orders_.end() ||
      now - found->second.sent_at >= settings_.order_retry)
    return false;
  const endpoint::order& last = found->second.order;
  return last.kind == order.kind && last.replica == order.replica &&
         last.epoch == order.epoch && last.adapters == order.adapters;
}

bool order_tracker::HasAdapters(const base::instance_id& id,
                                const allocated_replica& replica) const {
  const auto found = adapters_by_instance_.find(id);
  return found != adapters_by_instance_.end() &&
         found->second.first == replica.epoch &&
         found->second.second == replica.adapters;
}

std::vector<order_tracker::due_order> order_tracker::DueOrders(
    const domain_status& domain,
    const std::vector<base::instance_id>& unallocated,
    const weight_budget& budget,
    const instance_table& instances,
    const catalogue::snapshot& catalogue,
    base::time_point now) const {
  std::vector<due_order> due;
  if (!domain.current)
    return due;
  const auto add = [&](endpoint::order order) {
    order.fencing_number = domain.current->version;
    order.validity = settings_.order_validity;
    const bool checks = ChecksFencing(catalogue, order.entry);
    if (!SentRecently(order, now))
      due.push_back({std::move(order), !checks});
  };
  const auto active_state = [&](const base::instance_id& id) {
    const instance_state* state = instances.Find(id);
    const bool usable = state && state->report && state->listed &&
                        state->ActiveWithin(settings_.freshness * 2, now);
    return usable ? state : nullptr;
  };
  const auto join = [&](const instance_state& state,
                        const allocated_replica& replica,
                        std::optional<base::epoch> since) {
    if (!NeedsLoad(state, replica, since) ||
        budget.IsGranted(state.info.id, replica.id, replica.epoch))
      add(MakeOrder(order_kind::kJoin, state, replica, catalogue));
  };
  for (const allocated_replica& replica : domain.current->replicas) {
    for (const base::instance_id& id : replica.members) {
      const instance_state* state = active_state(id);
      if (!state)
        continue;
      if (NeedsJoin(*state, replica)) {
        join(*state, replica, replica.LoadRequiredSince(id));
      } else if (state->report->state == member_state::kReady) {
        if (replica.draining)
          add(MakeOrder(order_kind::kDrain, *state, replica, catalogue));
        else if (!replica.adapters.empty() && !HasAdapters(id, replica))
          add(MakeOrder(order_kind::kAdapters, *state, replica, catalogue));
      }
    }
    if (replica.incoming.empty())
      continue;
    const allocated_replica after = AfterPromotion(replica);
    for (const incoming_member& incoming : replica.incoming) {
      const instance_state* state = active_state(incoming.instance);
      if (state && NeedsJoin(*state, after))
        join(*state, after, after.epoch);
    }
  }
  for (const base::instance_id& id : unallocated) {
    const instance_state* state = active_state(id);
    if (!state || state->report->replica.empty() ||
        state->report->state == member_state::kIdle)
      continue;
    // An instance that ignores fencing numbers may be in use again by the time
    // a release arrives, except while it is cooling.
    const bool is_cooling =
        state->cooling_since &&
        now - *state->cooling_since < settings_.order_validity / 2;
    if (!is_cooling && !ChecksFencing(catalogue, state->report->entry))
      continue;
    allocated_replica released;
    released.id = state->report->replica;
    released.epoch = state->report->epoch;
    released.entry = state->report->entry;
    add(MakeOrder(order_kind::kRelease, *state, released, catalogue));
  }
  return due;
}

void order_tracker::RecordSent(endpoint::order& sent, base::time_point now) {
  sent.id = endpoint::order_id(next_id_++);
  last_orders_[sent.target] = {sent, now, false};
  if (sent.kind == order_kind::kJoin)
    adapters_by_instance_[sent.target] = {sent.epoch, sent.adapters};
}

void order_tracker::OnOrderResult(const endpoint::order_result& result) {
  const auto found = last_orders_.find(result.instance);
  if (found == last_orders_.end() || found->second.order.id != result.id)
    return;
  const endpoint::order& sent = found->second.order;
  if (result.outcome == endpoint::order_outcome::kAccepted &&
      sent.kind == order_kind::kAdapters)
    adapters_by_instance_[sent.target] = {sent.epoch, sent.adapters};
}

void order_tracker::Prune(const instance_table& instances) {
  const auto unknown = [&](const auto& element) {
    return !instances.Find(element.first);
  };
  std::erase_if(last_orders_, unknown);
  std::erase_if(adapters_by_instance_, unknown);
}

bool order_tracker::AdaptersSettled(
    const domain_status& domain,
    const catalogue::snapshot& catalogue) const {
  for (const replica_status& status : domain.replicas) {
    const auto entry = catalogue.entries.find(status.replica->entry);
    if (entry == catalogue.entries.end() || !status.ready ||
        status.replica->adapters != entry->second.adapters ||
        status.replica->adapters.empty())
      continue;
    for (const base::instance_id& id : status.replica->members) {
      if (!HasAdapters(id, *status.replica))
        return false;
    }
  }
  return true;
}

}  // namespace flamingoshunt::replica
