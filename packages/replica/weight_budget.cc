#include "replica/weight_budget.h"

#include <algorithm>
#include <limits>
#include <tuple>

#include "base/checked_json.h"

namespace flamingoshunt::replica {
namespace {

namespace json = boost::json;
using endpoint::member_state;

// The loads that one replica still needs, with their priority.
struct load_demand {
  bool serves_without_loads = false;  // The loads only prepare a replacement.
  double ready_share = 0;  // Share of the entry's replicas that are ready.
  base::epoch epoch;
  std::vector<grant> loads;

  auto Rank() const {
    return std::tuple(serves_without_loads, loads.size(), ready_share,
                      epoch.value());
  }
};

struct readiness_count {
  double ready = 0;
  double total = 0;
};

std::map<base::entry_name, readiness_count> CountReadyReplicas(
    const fleet_inventory& inventory) {
  std::map<base::entry_name, readiness_count> counts_by_entry;
  for (const auto& [name, domain] : inventory) {
    for (const replica_status& status : domain.replicas) {
      readiness_count& entry = counts_by_entry[status.replica->entry];
      entry.total += 1;
      entry.ready += status.ready;
    }
  }
  return counts_by_entry;
}

bool CanLoad(const instance_state* state,
             const settings& config,
             base::time_point now) {
  return state && state->report &&
         state->ActiveWithin(config.freshness * 2, now);
}

load_demand LoadDemandOf(const replica_status& status,
                         const instance_table& instances,
                         const settings& config,
                         base::time_point now) {
  const allocated_replica& replica = *status.replica;
  load_demand out;
  out.serves_without_loads = status.ready && status.leaving.empty();
  out.epoch = replica.epoch;
  for (const base::instance_id& id : replica.members) {
    const instance_state* state = instances.Find(id);
    if (CanLoad(state, config, now) &&
        NeedsLoad(*state, replica, replica.LoadRequiredSince(id)))
      out.loads.push_back({id, replica.id, replica.epoch});
  }
  for (const incoming_member& incoming : replica.incoming) {
    const instance_state* state = instances.Find(incoming.instance);
    if (CanLoad(state, config, now) &&
        NeedsLoad(*state, replica, replica.incoming_epoch))
      out.loads.push_back(
          {incoming.instance, replica.id, replica.incoming_epoch});
  }
  return out;
}

std::vector<load_demand> LoadDemands(const fleet_inventory& inventory,
                                     const instance_table& instances,
                                     const settings& config,
                                     base::time_point now) {
  const auto counts_by_entry = CountReadyReplicas(inventory);
  std::vector<load_demand> demands;
  for (const auto& [name, domain] : inventory) {
    for (const replica_status& status : domain.replicas) {
      if (!status.IsComplete() || (status.ready && !status.IsReplacing()))
        continue;
      load_demand demand = LoadDemandOf(status, instances, config, now);
      const readiness_count& entry = counts_by_entry.at(status.replica->entry);
      demand.ready_share = entry.ready / entry.total;
      if (!demand.loads.empty())
        demands.push_back(std::move(demand));
    }
  }
  std::stable_sort(demands.begin(), demands.end(),
                   [](const load_demand& a, const load_demand& b) {
                     return a.Rank() < b.Rank();
                   });
  return demands;
}

const allocated_replica* FindReplica(const fleet_inventory& inventory,
                                     const base::replica_id& id) {
  for (const auto& [name, domain] : inventory) {
    if (!domain.current)
      continue;
    if (const allocated_replica* found = domain.current->FindReplica(id))
      return found;
  }
  return nullptr;
}

// Whether a granted load may still run or start.
bool IsInFlight(const grant& granted,
                const fleet_inventory& inventory,
                const instance_table& instances,
                const settings& config,
                base::time_point now) {
  const instance_state* state = instances.Find(granted.instance);
  if (!state)
    return false;
  if (!state->ActiveWithin(config.freshness * 2, now))
    return state->ActiveWithin(config.load_limit, now);
  if (!state->report || state->report->state == member_state::kLoading)
    return true;
  const allocated_replica* replica = FindReplica(inventory, granted.replica);
  if (!replica)
    return false;
  if (replica->incoming_epoch == granted.epoch)
    return NeedsLoad(*state, *replica, granted.epoch);
  return replica->epoch == granted.epoch &&
         replica->HasMember(granted.instance) &&
         NeedsLoad(*state, *replica,
                   replica->LoadRequiredSince(granted.instance));
}

}  // namespace

bool weight_budget::IsGranted(const base::instance_id& instance,
                              const base::replica_id& replica,
                              base::epoch epoch) const {
  const grant requested{instance, replica, epoch};
  return std::find(grants.begin(), grants.end(), requested) != grants.end();
}

std::string ToJson(const weight_budget& budget) {
  json::array grants;
  for (const grant& granted : budget.grants)
    grants.emplace_back(json::object{{"instance", granted.instance.str()},
                                     {"replica", granted.replica.str()},
                                     {"epoch", granted.epoch.value()}});
  return json::serialize(json::object{{"grants", std::move(grants)}});
}

weight_budget WeightBudgetFromObject(const store::object& source) {
  base::json_problems problems;
  weight_budget budget;
  budget.version = source.version;
  if (const auto parsed = base::ParseJson(source.value, problems)) {
    base::object_reader reader(*parsed, "", problems);
    reader.Each(
        "grants", [&](const json::value& item, const std::string& item_path) {
          base::object_reader grant_reader(item, item_path, problems);
          grant granted;
          granted.instance = base::instance_id(grant_reader.String("instance"));
          granted.replica = base::replica_id(grant_reader.String("replica"));
          granted.epoch = base::epoch(grant_reader.Integer(
              "epoch", 1, std::numeric_limits<std::int64_t>::max()));
          grant_reader.Finish();
          budget.grants.push_back(std::move(granted));
        });
    reader.Finish();
  }
  if (!problems.empty())
    throw allocation_error("weight budget: " + problems.front().Text());
  return budget;
}

std::optional<weight_budget> PlanGrants(const weight_budget& current,
                                        const fleet_inventory& inventory,
                                        const instance_table& instances,
                                        const settings& config,
                                        base::time_point now) {
  weight_budget next = current;
  std::erase_if(next.grants, [&](const grant& granted) {
    return !IsInFlight(granted, inventory, instances, config, now);
  });
  const auto slots = static_cast<std::size_t>(config.weight_slots);
  if (next.grants.size() < slots) {
    for (const load_demand& demand :
         LoadDemands(inventory, instances, config, now)) {
      for (const grant& requested : demand.loads) {
        if (next.grants.size() >= slots)
          break;
        if (!next.IsGranted(requested.instance, requested.replica,
                            requested.epoch))
          next.grants.push_back(requested);
      }
    }
  }
  if (next == current)
    return std::nullopt;
  return next;
}

}  // namespace flamingoshunt::replica
