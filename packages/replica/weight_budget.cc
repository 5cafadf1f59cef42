#include "replica/weight_budget.h"

#include <algorithm>
#include <limits>
#include <tuple>

#include "base/checked_json.h"

namespace flamingoshunt::replica {
namespace {

namespace json = boost::json;
using endpoint::member_state;

// The loads that one replica still needs, and how soon they should come.
struct need {
  bool serves_without = false;  // Only prepares a replacement.
  double ready_share = 0;       // Of its entry, by replicas.
  base::epoch epoch;
  std::vector<grant> loads;

  auto Rank() const {
    return std::tuple(serves_without, loads.size(), ready_share, epoch.value());
  }
};

struct share {
  double ready = 0;
  double all = 0;
};

std::map<base::entry_name, share> Shares(const survey& seen) {
  std::map<base::entry_name, share> shares;
  for (const auto& [name, domain] : seen) {
    for (const replica_status& status : domain.replicas) {
      share& entry = shares[status.replica->entry];
      entry.all += 1;
      entry.ready += status.ready;
    }
  }
  return shares;
}

bool CanLoad(const instance_state* state,
             const settings& chosen,
             base::time_point now) {
  return state && state->report &&
         state->HeardWithin(chosen.freshness * 2, now);
}

need NeedOf(const replica_status& status,
            const instance_table& instances,
            const settings& chosen,
            base::time_point now) {
  const allocated_replica& replica = *status.replica;
  need out;
  out.serves_without = status.ready && status.leaving.empty();
  out.epoch = replica.epoch;
  for (const base::instance_id& id : replica.members) {
    const instance_state* state = instances.Find(id);
    if (CanLoad(state, chosen, now) &&
        NeedsLoad(*state, replica, replica.LoadsSince(id)))
      out.loads.push_back({id, replica.id, replica.epoch});
  }
  for (const incoming_member& each : replica.incoming) {
    const instance_state* state = instances.Find(each.instance);
    if (CanLoad(state, chosen, now) &&
        NeedsLoad(*state, replica, replica.incoming_epoch))
      out.loads.push_back({each.instance, replica.id, replica.incoming_epoch});
  }
  return out;
}

std::vector<need> Needs(const survey& seen,
                        const instance_table& instances,
                        const settings& chosen,
                        base::time_point now) {
  const auto shares = Shares(seen);
  std::vector<need> needs;
  for (const auto& [name, domain] : seen) {
    for (const replica_status& status : domain.replicas) {
      if (!status.Complete() || (status.ready && !status.Replacing()))
        continue;
      need one = NeedOf(status, instances, chosen, now);
      const share& entry = shares.at(status.replica->entry);
      one.ready_share = entry.ready / entry.all;
      if (!one.loads.empty())
        needs.push_back(std::move(one));
    }
  }
  std::stable_sort(
      needs.begin(), needs.end(),
      [](const need& a, const need& b) { return a.Rank() < b.Rank(); });
  return needs;
}

const allocated_replica* FindReplica(const survey& seen,
                                     const base::replica_id& id) {
  for (const auto& [name, domain] : seen) {
    if (!domain.current)
      continue;
    if (const allocated_replica* found = domain.current->Find(id))
      return found;
  }
  return nullptr;
}

// Whether a granted load may still run or come to run.
bool InFlight(const grant& held,
              const survey& seen,
              const instance_table& instances,
              const settings& chosen,
              base::time_point now) {
  const instance_state* state = instances.Find(held.instance);
  if (!state)
    return false;
  if (!state->HeardWithin(chosen.freshness * 2, now))
    return state->HeardWithin(chosen.load_limit, now);
  if (!state->report || state->report->state == member_state::kLoading)
    return true;
  const allocated_replica* replica = FindReplica(seen, held.replica);
  if (!replica)
    return false;
  if (replica->incoming_epoch == held.epoch)
    return NeedsLoad(*state, *replica, held.epoch);
  return replica->epoch == held.epoch && replica->HasMember(held.instance) &&
         NeedsLoad(*state, *replica, replica->LoadsSince(held.instance));
}

}  // namespace

bool weight_budget::Granted(const base::instance_id& instance,
                            const base::replica_id& replica,
                            base::epoch epoch) const {
  const grant wanted{instance, replica, epoch};
  return std::find(grants.begin(), grants.end(), wanted) != grants.end();
}

std::string ToJson(const weight_budget& written) {
  json::array grants;
  for (const grant& each : written.grants)
    grants.emplace_back(json::object{{"instance", each.instance.str()},
                                     {"replica", each.replica.str()},
                                     {"epoch", each.epoch.value()}});
  return json::serialize(json::object{{"grants", std::move(grants)}});
}

weight_budget WeightBudgetFromObject(const store::object& source) {
  base::json_problems problems;
  weight_budget read;
  read.version = source.version;
  if (const auto parsed = base::ParseJson(source.value, problems)) {
    base::object_reader reader(*parsed, "", problems);
    reader.Each("grants", [&](const json::value& each, const std::string& at) {
      base::object_reader one(each, at, problems);
      grant held;
      held.instance = base::instance_id(one.String("instance"));
      held.replica = base::replica_id(one.String("replica"));
      held.epoch = base::epoch(
          one.Integer("epoch", 1, std::numeric_limits<std::int64_t>::max()));
      one.Finish();
      read.grants.push_back(std::move(held));
    });
    reader.Finish();
  }
  if (!problems.empty())
    throw allocation_error("weight budget: " + problems.front().Text());
  return read;
}

std::optional<weight_budget> PlanGrants(const weight_budget& current,
                                        const survey& seen,
                                        const instance_table& instances,
                                        const settings& chosen,
                                        base::time_point now) {
  weight_budget next = current;
  std::erase_if(next.grants, [&](const grant& held) {
    return !InFlight(held, seen, instances, chosen, now);
  });
  const auto slots = static_cast<std::size_t>(chosen.weight_slots);
  if (next.grants.size() < slots) {
    for (const need& one : Needs(seen, instances, chosen, now)) {
      for (const grant& wanted : one.loads) {
        if (next.grants.size() >= slots)
          break;
        if (!next.Granted(wanted.instance, wanted.replica, wanted.epoch))
          next.grants.push_back(wanted);
      }
    }
  }
  if (next == current)
    return std::nullopt;
  return next;
}

}  // namespace flamingoshunt::replica
