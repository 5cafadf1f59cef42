#include "replica/allocation_controller.h"

#include <algorithm>

namespace flamingoshunt::replica {
namespace {

// Nodes that may lead one object: the leader and its stand-ins.
constexpr std::size_t kLeaderCandidates = 4;

// Listed instances of each domain that no allocation contains.
std::map<base::fabric_domain_id, std::vector<base::instance_id>> Unallocated(
    const instance_table& instances) {
  std::map<base::fabric_domain_id, std::vector<base::instance_id>> out;
  for (const auto& [id, state] : instances.all()) {
    if (!state.allocated && state.listed)
      out[state.info.fabric_domain].push_back(id);
  }
  for (auto& [domain, ids] : out)
    std::sort(ids.begin(), ids.end());
  return out;
}

base::revision VersionOf(const domain_status& domain) {
  return domain.current ? domain.current->version : base::revision();
}

}  // namespace

allocation_controller::allocation_controller(
    const settings& config,
    std::shared_ptr<const recovery_policy> policy)
    : settings_(config), policy_(std::move(policy)), order_tracker_(config) {}

bool allocation_controller::IsLeader(
    const node_state& node,
    const std::string& name,
    base::revision version,
    std::map<std::string, pending_work>& pending,
    base::time_point now) {
  const auto [at, added] =
      pending.try_emplace(name, pending_work{version, now});
  if (!added && at->second.version != version)
    at->second = {version, now};
  const auto rank = static_cast<int>(node.losses.LeaderRank(name));
  const base::time_point takeover =
      at->second.since + rank * settings_.takeover_delay;
  if (now >= takeover)
    return true;
  next_takeover_ =
      next_takeover_ ? std::min(*next_takeover_, takeover) : takeover;
  return false;
}

void allocation_controller::Reconcile(const node_state& node,
                                      base::time_point now,
                                      effects& out) {
  next_takeover_.reset();
  if (!node.store.listed())
    return;
  const fleet_inventory inventory =
      BuildInventory(node.store.stored_allocations(), node.instances,
                     node.losses, settings_, drain_starts_, now);
  PlanAllocations(node, inventory, now, out);
  PlanBudget(node, inventory, now, out);
  SendDueOrders(node, inventory, now, out);
  order_tracker_.Prune(node.instances);
  std::erase_if(drain_starts_, [&](const auto& drain_start) {
    return std::none_of(
        inventory.begin(), inventory.end(), [&](const auto& domain) {
          const allocation* current = domain.second.current;
          return current && current->FindReplica(drain_start.first);
        });
  });
  const bool cooling = std::any_of(
      node.store.stored_allocations().begin(),
      node.store.stored_allocations().end(),
      [](const auto& stored) { return !stored.second.cooling.empty(); });
  idle_ = out.calls.empty() && out.orders.empty() && !next_takeover_ &&
          drain_starts_.empty() && !cooling &&
          node.store.budget().grants.empty();
}

void allocation_controller::PlanAllocations(const node_state& node,
                                            const fleet_inventory& inventory,
                                            base::time_point now,
                                            effects& out) {
  const placement placement_plan =
      PlanPlacement(inventory, node.catalogue, settings_, policy_->counting());
  blocked_ = placement_plan.blocked;
  static const domain_task no_task;
  for (const auto& [domain, status] : inventory) {
    const std::string& name = domain.str();
    if (node.losses.LeaderRank(name) >= kLeaderCandidates)
      continue;
    const auto task = placement_plan.tasks.find(domain);
    const auto next = PlanDomain(
        status, task == placement_plan.tasks.end() ? no_task : task->second,
        node.catalogue, *policy_,
        order_tracker_.AdaptersSettled(status, node.catalogue));
    if (!next) {
      pending_writes_.erase(name);
      continue;
    }
    const base::revision version = VersionOf(status);
    if (IsLeader(node, name, version, pending_writes_, now) &&
        node.store.CanCall(name, now))
      out.calls.push_back(node.store.Write(name, version, ToJson(*next)));
  }
}

void allocation_controller::PlanBudget(const node_state& node,
                                       const fleet_inventory& inventory,
                                       base::time_point now,
                                       effects& out) {
  const std::string name = kWeightBudgetName;
  if (node.losses.LeaderRank(name) >= kLeaderCandidates)
    return;
  const weight_budget& current = node.store.budget();
  const auto next =
      PlanGrants(current, inventory, node.instances, settings_, now);
  if (!next) {
    pending_writes_.erase(name);
    return;
  }
  if (IsLeader(node, name, current.version, pending_writes_, now) &&
      node.store.CanCall(name, now))
    out.calls.push_back(node.store.Write(name, current.version, ToJson(*next)));
}

void allocation_controller::SendDueOrders(const node_state& node,
                                          const fleet_inventory& inventory,
                                          base::time_point now,
                                          effects& out) {
  const auto unallocated = Unallocated(node.instances);
  static const std::vector<base::instance_id> none;
  for (const auto& [domain, status] : inventory) {
    const std::string& name = domain.str();
    if (node.losses.LeaderRank(name) >= kLeaderCandidates)
      continue;
    const auto domain_unallocated = unallocated.find(domain);
    auto due = order_tracker_.DueOrders(
        status,
        domain_unallocated == unallocated.end() ? none
                                                : domain_unallocated->second,
        node.store.budget(), node.instances, node.catalogue, now);
    if (due.empty()) {
      pending_orders_.erase(name);
      continue;
    }
    if (!IsLeader(node, name, VersionOf(status), pending_orders_, now))
      continue;
    const bool needs_read =
        std::any_of(due.begin(), due.end(),
                    [](const auto& due_order) { return due_order.needs_read; });
    if (needs_read && node.store.CanCall(name, now))
      out.calls.push_back(node.store.Read(name));
    SendOrders(std::move(due), false, now, out);
  }
}

void allocation_controller::OnAllocationRead(
    const node_state& node,
    const base::fabric_domain_id& domain,
    base::time_point now,
    effects& out) {
  if (node.losses.LeaderRank(domain.str()) >= kLeaderCandidates)
    return;
  const fleet_inventory inventory =
      BuildInventory(node.store.stored_allocations(), node.instances,
                     node.losses, settings_, drain_starts_, now);
  const auto status = inventory.find(domain);
  if (status == inventory.end())
    return;
  const auto unallocated = Unallocated(node.instances);
  const auto domain_unallocated = unallocated.find(domain);
  static const std::vector<base::instance_id> none;
  SendOrders(order_tracker_.DueOrders(status->second,
                                      domain_unallocated == unallocated.end()
                                          ? none
                                          : domain_unallocated->second,
                                      node.store.budget(), node.instances,
                                      node.catalogue, now),
             true, now, out);
}

void allocation_controller::SendOrders(
    std::vector<order_tracker::due_order> due,
    bool is_freshly_read,
    base::time_point now,
    effects& out) {
  for (order_tracker::due_order& due_order : due) {
    if (due_order.needs_read && !is_freshly_read)
      continue;
    order_tracker_.RecordSent(due_order.order, now);
    out.orders.push_back(std::move(due_order.order));
  }
}

}  // namespace flamingoshunt::replica
