#include "replica/inventory.h"

#include <algorithm>

namespace flamingoshunt::replica {
namespace {

using endpoint::member_state;

struct inventory_builder {
  const instance_table& instances;
  const loss_detector& losses;
  const settings& config;
  drain_start_times& drain_starts;
  base::time_point now;

  bool IsFailed(const base::instance_id& id,
                const instance_state* state) const {
    return !state || losses.IsLost(id) ||
           (state->report && state->report->state == member_state::kFailed);
  }

  // Twice the validity, since an order may be issued just before the release is
  // seen.
  bool IsCooling(const instance_state& state) const {
    return state.cooling_since &&
           now - *state.cooling_since <= config.order_validity * 2;
  }

  bool IsAllocatable(const instance_state& state) const {
    if (state.allocated || !state.listed || state.IsLeaving() ||
        state.drain_requested)
      return false;
    if (!state.report || !state.ActiveWithin(config.freshness * 2, now))
      return false;
    if (state.report->state == member_state::kFailed)
      return false;
    return !IsCooling(state);
  }

  void EvaluateIncoming(const allocated_replica& replica,
                        replica_status& out) const {
    out.incoming_ready = !replica.incoming.empty();
    for (const incoming_member& incoming : replica.incoming) {
      const instance_state* state = instances.Find(incoming.instance);
      if (IsFailed(incoming.instance, state) || state->IsLeaving() ||
          state->drain_requested) {
        out.incoming_lost = true;
        out.incoming_ready = false;
        return;
      }
      out.incoming_ready &=
          state->ReportsMembership(replica.id, replica.incoming_epoch) &&
          state->report->state == member_state::kReady;
    }
  }

  bool IsDrainComplete(const allocated_replica& replica,
                       bool is_closed,
                       bool busy) const {
    if (!is_closed) {
      drain_starts.erase(replica.id);
      return false;
    }
    const auto since = drain_starts.try_emplace(replica.id, now).first->second;
    return !busy && now - since >= config.drain_settle;
  }

  replica_status EvaluateReplica(const allocated_replica& replica) const {
    replica_status out;
    out.replica = &replica;
    out.ready = true;
    bool busy = false;
    for (std::size_t rank = 0; rank < replica.members.size(); ++rank) {
      const base::instance_id& id = replica.members[rank];
      const instance_state* state = instances.Find(id);
      if (IsFailed(id, state)) {
        out.lost.push_back(rank);
        out.ready = false;
        continue;
      }
      if (state->IsLeaving())
        out.leaving.push_back(rank);
      else if (state->drain_requested)
        out.drain_requested.push_back(rank);
      if (NeedsLoad(*state, replica, replica.LoadRequiredSince(id)) ||
          state->report->state == member_state::kLoading)
        out.unloaded.push_back(id);
      const bool recently_active =
          state->ActiveWithin(config.freshness * 2, now);
      const bool is_member =
          state->ReportsMembership(replica.id, replica.epoch);
      out.has_unreported_member |= !recently_active || !state->report;
      busy |=
          !recently_active || !state->report || (is_member && state->HasWork());
      out.ready &= recently_active && is_member &&
                   (state->report->state == member_state::kReady ||
                    state->report->state == member_state::kDraining);
    }
    const bool is_closed = replica.draining || !out.leaving.empty();
    out.drain_complete =
        IsDrainComplete(replica, is_closed, busy && out.lost.empty());
    EvaluateIncoming(replica, out);
    return out;
  }
};

}  // namespace

bool replica_status::IsUnloaded(const base::instance_id& id) const {
  return std::find(unloaded.begin(), unloaded.end(), id) != unloaded.end();
}

std::vector<std::size_t> replica_status::VacantRanks() const {
  std::vector<std::size_t> ranks = lost;
  if (drain_complete || !IsComplete())
    ranks.insert(ranks.end(), leaving.begin(), leaving.end());
  return ranks;
}

bool NeedsLoad(const instance_state& state,
               const allocated_replica& replica,
               std::optional<base::epoch> since) {
  if (!state.report || state.report->state == member_state::kIdle ||
      !state.HoldsWeights(replica.entry, replica.version))
    return true;
  if (!since)
    return false;
  return state.report->replica != replica.id || state.report->epoch < *since;
}

fleet_inventory BuildInventory(const allocations& stored_allocations,
                               const instance_table& instances,
                               const loss_detector& losses,
                               const settings& config,
                               drain_start_times& drain_starts,
                               base::time_point now) {
  const inventory_builder builder{instances, losses, config, drain_starts, now};
  fleet_inventory out;
  for (const auto& [id, state] : instances.all()) {
    if (!state.listed)
      continue;
    domain_status& domain = out[state.info.fabric_domain];
    // The smallest name, so that all nodes agree on the failure domain of a
    // fabric domain that spans several.
    if (domain.failure_domain.empty() ||
        state.info.failure_domain < domain.failure_domain)
      domain.failure_domain = state.info.failure_domain;
    if (builder.IsAllocatable(state))
      domain.idle.push_back(id);
  }
  for (const auto& [name, current] : stored_allocations) {
    domain_status& domain = out[name];
    domain.current = &current;
    for (const base::instance_id& id : current.cooling) {
      const instance_state* state = instances.Find(id);
      if (!state || !builder.IsCooling(*state))
        domain.cooled.push_back(id);
    }
    for (const allocated_replica& replica : current.replicas)
      domain.replicas.push_back(builder.EvaluateReplica(replica));
  }
  for (auto& [name, domain] : out) {
    domain.domain = name;
    std::sort(domain.idle.begin(), domain.idle.end());
    for (replica_status& status : domain.replicas)
      status.failure_domain = domain.failure_domain;
  }
  return out;
}

}  // namespace flamingoshunt::replica
