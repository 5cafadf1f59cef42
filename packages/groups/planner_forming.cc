// Counting what each fabric domain holds, and forming groups from its free
// replicas.
#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "groups/planner.h"
#include "groups/planner_bounds.h"

namespace flamingoshunt::groups {

bool planner::IsFree(const replica_state& replica) const {
  return IsSettled(replica.record.engine.fabric_domain) &&
         replica.reported_at != base::time_point() && !replica.silent_since &&
         MayJoin(replica) && !group_of_.contains(replica.record.id);
}

std::vector<const planner::replica_state*> planner::FreeReplicasIn(
    const base::fabric_domain_id& domain) const {
  std::vector<const replica_state*> free;
  for (const auto& [id, replica] : replicas_) {
    if (replica.record.engine.fabric_domain == domain && IsFree(replica))
      free.push_back(&replica);
  }
  return free;
}

std::set<base::fabric_domain_id> planner::FabricDomains() const {
  std::set<base::fabric_domain_id> domains;
  for (const auto& [id, replica] : replicas_) {
    if (!replica.record.engine.fabric_domain.empty())
      domains.insert(replica.record.engine.fabric_domain);
  }
  return domains;
}

planner::census planner::TakeCensus() {
  census fleet;
  for (auto& [id, replica] : replicas_) {
    const bool usable = MayJoin(replica);
    fleet.usable += usable ? 1 : 0;
    if (replica.record.engine.fabric_domain.empty())
      continue;
    domain_census& domain = fleet.domains[replica.record.engine.fabric_domain];
    ++domain.listed;
    domain.usable += usable ? 1 : 0;
    domain.incomplete = domain.incomplete || !HasAnswered(replica);
    domain.has_leaving = domain.has_leaving || replica.record.leaving;
    if (IsFree(replica))
      domain.free.push_back(&replica);
  }
  for (auto& [name, group] : groups_) {
    const bool counts = !IsEvacuated(group);
    fleet.existing[group.model] +=
        counts && group.phase != group_phase::kClosing ? 1 : 0;
    fleet.serving[group.model] +=
        counts && group.phase == group_phase::kServing ? 1 : 0;
    const replica_state* head = Find(group.head());
    if (head && !head->record.engine.fabric_domain.empty())
      fleet.domains[head->record.engine.fabric_domain].groups.push_back(&group);
  }
  for (const auto& [domain, promise] : promised_)
    ++fleet.existing[promise.first];
  return fleet;
}

// @return the number of groups that demand or the traffic share of @p model
//         calls for.
double planner::TargetGroups(const gateway::model_layout& model,
                             const census& fleet) const {
  const double share = targets_.Share(model.name).value_or(model.share);
  return std::max(1.0, share * fleet.usable / model.size);
}

// @return the share of its target number of groups that @p model lacks.
double planner::Shortfall(const gateway::model_layout& model,
                          const census& fleet) const {
  const double target = TargetGroups(model, fleet);
  const auto existing = fleet.existing.find(model.name);
  return (target - (existing == fleet.existing.end() ? 0 : existing->second)) /
         target;
}

int planner::CountLoadsInProgress(base::time_point now) const {
  int count = 0;
  for (const auto& [id, replica] : replicas_)
    count +=
        !replica.loading_model.empty() && replica.loading_until > now ? 1 : 0;
  return count;
}

bool planner::CanStartLoads(int count, base::time_point now) {
  if (count == 0)
    return true;
  const int at_once = first_request_seen_ ? layout_->max_concurrent_loads
                                          : layout_->max_concurrent_loads *
                                                kEarlyLoadConcurrencyFactor;
  return CountLoadsInProgress(now) < at_once && loads_.Allows(count, now);
}

// @return whether @p replica can serve @p model without a load that has yet to
//         end.
bool planner::HoldsWeights(const replica_state& replica,
                           const std::string& model) const {
  const auto& staged = replica.record.engine.staged_models;
  return replica.record.engine.model == model ||
         std::find(staged.begin(), staged.end(), model) != staged.end();
}

// Once there are requests, a group that has to load some of its weights would
// keep its other members from serving for as long; they wait unbound, and the
// weights are staged first. Empty replicas may load as one group.
std::optional<planner::group_candidate> planner::MakeCandidate(
    const gateway::model_layout& model,
    const domain_census& domain,
    const census& fleet) const {
  const auto size = static_cast<std::size_t>(model.size);
  if (size == 0 || domain.free.size() < size)
    return std::nullopt;
  const auto is_larger = [&](const std::string& name) {
    const auto* other = layout_->Find(name);
    return other && other->size > model.size;
  };
  const auto rank = [&](const replica_state* replica) {
    const auto& engine = replica->record.engine;
    const bool is_slow = engine.slowness > kSlowReplicaFactor;
    // Another model would lose a spare or one that joins it at once.
    const bool is_spare =
        is_larger(replica->loading_model) ||
        (!engine.model.empty() && engine.model != model.name) ||
        std::any_of(engine.staged_models.begin(), engine.staged_models.end(),
                    is_larger);
    const bool holds_nothing =
        engine.staged_models.empty() && replica->loading_model.empty();
    const int effort = engine.model == model.name           ? 0
                       : HoldsWeights(*replica, model.name) ? 1
                       : HasModel(*replica, model.name)     ? 2
                       : holds_nothing                      ? 3
                                                            : 4;
    return std::tuple(is_slow, std::max(effort, 1), is_spare, effort,
                      replica->record.id);
  };
  group_candidate candidate;
  candidate.model = model.name;
  candidate.members = domain.free;
  std::sort(candidate.members.begin(), candidate.members.end(),
            [&](const replica_state* left, const replica_state* right) {
              return rank(left) < rank(right);
            });
  candidate.members.resize(size);
  bool all_hold = true;
  bool all_empty = true;
  for (const replica_state* member : candidate.members) {
    candidate.loads += HasModel(*member, model.name) ? 0 : 1;
    all_hold = all_hold && HoldsWeights(*member, model.name);
    all_empty = all_empty && member->record.engine.staged_models.empty() &&
                member->record.engine.model.empty() &&
                member->loading_model.empty();
  }
  candidate.is_allowed = !first_request_seen_ || all_hold || all_empty;
  candidate.shortfall = Shortfall(model, fleet);
  return candidate;
}

// Small groups can form from any few survivors, which would leave nothing for
// the large ones after several losses.
// @return whether the free replicas of @p domain are reserved for a larger
//         model whose shortfall exceeds that of @p candidate, and whose weights
//         they hold soon.
bool planner::IsReservedForLargerModel(const group_candidate& candidate,
                                       const domain_census& domain,
                                       const census& fleet,
                                       base::time_point now) const {
  const auto is_ready_soon = [&](const replica_state* replica,
                                 const std::string& model) {
    return HoldsWeights(*replica, model) ||
           (replica->loading_model == model &&
            replica->loading_until - now < kReserveTime);
  };
  return std::any_of(
      layout_->models.begin(), layout_->models.end(), [&](const auto& other) {
        const auto size = static_cast<std::size_t>(other.size);
        if (size <= candidate.members.size() || domain.free.size() < size ||
            domain.free.size() - candidate.members.size() >= size ||
            Shortfall(other, fleet) <= candidate.shortfall + kShortfallMargin)
          return false;
        const auto ready =
            std::count_if(domain.free.begin(), domain.free.end(),
                          [&](const replica_state* replica) {
                            return is_ready_soon(replica, other.name);
                          });
        return !first_request_seen_ || candidate.loads > 0 ||
               static_cast<std::size_t>(ready) >= size;
      });
}

bool planner::FormGroupIn(const base::fabric_domain_id& domain_id,
                          census& fleet,
                          base::time_point now) {
  domain_census& domain = fleet.domains.at(domain_id);
  const auto promise = promised_.find(domain_id);
  std::set<std::string> served_models;
  for (const group* group : domain.groups)
    served_models.insert(group->model);
  std::optional<group_candidate> best;
  for (const auto& model : layout_->models) {
    if (promise != promised_.end() && promise->second.first != model.name)
      continue;
    auto candidate = MakeCandidate(model, domain, fleet);
    if (!candidate || !candidate->is_allowed ||
        !CanStartLoads(candidate->loads, now) ||
        IsReservedForLargerModel(*candidate, domain, fleet, now))
      continue;
    if (!served_models.contains(model.name))
      candidate->shortfall += kUnservedModelBonus;
    // Groups that serve within seconds come before those that must load a
    // model.
    const auto rank = [](const group_candidate& candidate) {
      return std::tuple(candidate.loads == 0, candidate.shortfall,
                        candidate.members.size());
    };
    if (!best || rank(*candidate) > rank(*best))
      best = std::move(candidate);
  }
  if (!best)
    return false;
  if (promise != promised_.end())
    promised_.erase(promise);
  else
    ++fleet.existing[best->model];
  std::erase_if(domain.free, [&](const replica_state* replica) {
    return std::find(best->members.begin(), best->members.end(), replica) !=
           best->members.end();
  });
  domain.groups.push_back(&StartGroup(*best, now));
  return true;
}

group& planner::StartGroup(const group_candidate& candidate,
                           base::time_point now) {
  group new_group;
  new_group.name =
      "g" + std::to_string(term_) + "-" + std::to_string(++names_used_);
  new_group.epoch = base::epoch(term_ * kEpochsPerTerm + ++epochs_used_);
  new_group.model = candidate.model;
  loads_.Record(candidate.loads, now);
  for (replica_state* replica : candidate.members) {
    new_group.members.push_back(replica->record.id);
    group_of_[replica->record.id] = new_group.name;
    replica->accepted_join_group.clear();
    replica->next_order_at = now;
    if (!HasModel(*replica, new_group.model)) {
      replica->loading_model = new_group.model;
      replica->loading_until = now + LoadTime(new_group.model);
    }
  }
  new_group.head_started_ms =
      candidate.members.front()->record.engine.started_ms;
  group& stored = groups_[new_group.name] = std::move(new_group);
  SetPhase(stored, group_phase::kForming, now);
  return stored;
}

// @param list_settled whether all replicas are listed; if not, only domains
//         with enough replicas for one group of each model are used.
void planner::FormGroups(bool list_settled,
                         census& fleet,
                         base::time_point now) {
  std::size_t one_of_each = 0;
  for (const auto& model : layout_->models)
    one_of_each += static_cast<std::size_t>(model.size);
  bool formed_any = true;
  while (formed_any) {
    formed_any = false;
    std::vector<std::pair<std::size_t, base::fabric_domain_id>> order;
    for (const auto& [id, domain] : fleet.domains) {
      // Small groups formed from the first replicas that report would leave too
      // few for a large one.
      const bool all_listed = list_settled || domain.listed >= one_of_each;
      if (all_listed && !domain.incomplete)
        order.emplace_back(domain.free.size(), id);
    }
    std::sort(order.rbegin(), order.rend());
    for (const auto& [free, domain] : order)
      formed_any = FormGroupIn(domain, fleet, now) || formed_any;
  }
}

}  // namespace flamingoshunt::groups
