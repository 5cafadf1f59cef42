// Repair: where a model that lacks groups gets the replicas for one, and on
// which replicas weights are staged before they are needed. A load takes many
// times as long as a join from staged weights, so none is left for the moment
// in which members wait.
#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>
#include <utility>

#include "groups/planner.h"
#include "groups/planner_bounds.h"

namespace flamingoshunt::groups {

void planner::NoteLosses(base::time_point now) {
  for (auto& [id, replica] : replicas_) {
    const bool usable = IsUsable(replica);
    if (!usable && !replica.loss_noted)
      losses_.Record(now);
    replica.loss_noted = !usable;
  }
}

// @return whether a group of @p model is worth the groups @p given_up: more
//         replicas serve with it, or the model lacks far more than theirs.
bool planner::IsWorthGivingUp(const gateway::model_layout& model,
                              const std::vector<group*>& given_up,
                              const census& fleet) const {
  const double shortfall = Shortfall(model, fleet);
  if (shortfall <= 0)
    return false;
  std::size_t replicas = 0;
  std::map<std::string, int> lost;
  for (const group* group : given_up) {
    replicas += group->members.size();
    ++lost[group->model];
  }
  double shortest_after = -1;
  for (const auto& [name, count] : lost) {
    const auto* other = layout_->Find(name);
    if (!other || fleet.serving.at(name) <= count)
      return false;
    shortest_after =
        std::max(shortest_after, Shortfall(*other, fleet) +
                                     count / TargetGroups(*other, fleet));
  }
  if (replicas < static_cast<std::size_t>(model.size))
    return shortest_after <= shortfall + kShortfallMargin;
  if (LacksGroupByDemand(model, fleet) && shortest_after <= 0)
    return true;
  return shortfall >= kRebalanceShortfall &&
         shortest_after + kShortfallMargin <= shortfall;
}

// @return whether callers ask for one more group of @p model, which pays back
//         what it takes from others.
bool planner::LacksGroupByDemand(const gateway::model_layout& model,
                                 const census& fleet) const {
  return targets_.Share(model.name) &&
         Shortfall(model, fleet) * TargetGroups(model, fleet) >= 1;
}

// @return the least that makes a group of @p model possible in @p domain: its
//         free replicas, and the fewest groups of other models that must be
//         given up. Nothing if there are too few, or it isn't worth them.
std::optional<planner::room> planner::FindRoom(
    const gateway::model_layout& model,
    domain_census& domain,
    const census& fleet) const {
  const auto size = static_cast<std::size_t>(model.size);
  if (domain.usable < size)
    return std::nullopt;
  const auto holds = [&](const base::instance_id& id) {
    const replica_state* replica = Find(id);
    return replica && HoldsWeights(*replica, model.name);
  };
  const auto count_holders = [&](const group* group) {
    return static_cast<std::size_t>(
        std::count_if(group->members.begin(), group->members.end(), holds));
  };
  std::size_t replicas = domain.free.size();
  std::size_t holders = 0;
  for (const replica_state* replica : domain.free) {
    holders += HoldsWeights(*replica, model.name) ? 1 : 0;
  }
  std::optional<room> found;
  if (replicas >= size) {
    found = room{&model, &domain, {}, size - std::min(size, holders)};
    if (found->missing == 0)
      return found;
  }
  if (Shortfall(model, fleet) <= 0)
    return found;
  std::vector<group*> others;
  for (group* group : domain.groups) {
    if (group->model != model.name && !group->provisional &&
        group->phase == group_phase::kServing && !IsHeadDraining(*group) &&
        !IsEvacuated(*group))
      others.push_back(group);
  }
  std::sort(others.begin(), others.end(),
            [&](const group* left, const group* right) {
              return std::tuple(count_holders(right), left->members.size(),
                                left->name) < std::tuple(count_holders(left),
                                                         right->members.size(),
                                                         right->name);
            });
  std::vector<group*> given_up;
  for (group* group : others) {
    given_up.push_back(group);
    replicas += group->members.size();
    holders += count_holders(group);
    if (!IsWorthGivingUp(model, given_up, fleet))
      break;
    if (replicas < size)
      continue;
    const std::size_t missing = size - std::min(size, holders);
    if (missing == 0 || !found)
      found = room{&model, &domain, given_up, missing};
    if (missing == 0)
      break;
  }
  return found;
}

// @return rooms for all models and domains: those that need nothing first, then
//         those of the models that lack most, with the least to load.
std::vector<planner::room> planner::FindRooms(census& fleet) const {
  std::vector<
      std::pair<std::tuple<bool, double, std::size_t, std::size_t>, room>>
      ranked;
  for (auto& [id, domain] : fleet.domains) {
    if (promised_.contains(id) || domain.incomplete)
      continue;
    for (const auto& model : layout_->models) {
      if (auto found = FindRoom(model, domain, fleet))
        ranked.emplace_back(
            std::tuple(found->missing > 0, -Shortfall(model, fleet),
                       found->missing, found->given_up.size()),
            std::move(*found));
    }
  }
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<room> rooms;
  for (auto& [rank, each] : ranked)
    rooms.push_back(std::move(each));
  return rooms;
}

// Gives up groups for one of a model that is short, once enough replicas hold
// its weights; before the first request loads are short, and nobody waits.
void planner::MakeRoom(census& fleet, base::time_point now) {
  std::erase_if(promised_, [&](const auto& promise) {
    return now >= promise.second.second;
  });
  if (promised_.size() >= kRoomsAtOnce)
    return;
  const bool is_forming =
      std::any_of(groups_.begin(), groups_.end(), [](const auto& entry) {
        return entry.second.phase == group_phase::kForming;
      });
  if (!first_request_seen_ && is_forming)
    return;
  for (const room& each : FindRooms(fleet)) {
    if ((each.missing > 0 && first_request_seen_) || each.given_up.empty())
      continue;
    const replica_state* head = Find(each.given_up.front()->head());
    promised_[head->record.engine.fabric_domain] = {each.model->name,
                                                    now + kPromiseTime};
    for (group* group : each.given_up)
      Close(*group, fleet::close_mode::kDrain, kRebalanceReason, now);
    return;
  }
}

bool planner::CanStage(const replica_state& replica,
                       const std::string& model,
                       base::time_point now) const {
  return !HasModel(replica, model) && replica.loading_model.empty() &&
         !replica.order_pending && now >= replica.next_order_at &&
         MayJoin(replica) && !replica.silent_since &&
         replica.reported_at != base::time_point();
}

void planner::Stage(replica_state& replica,
                    const std::string& model,
                    plan& out,
                    base::time_point now) {
  replica.loading_model = model;
  replica.loading_until = now + LoadTime(model);
  loads_.Record(1, now);
  Send(replica, fleet::stage_model{model}, out);
}

void planner::StageWeights(census& fleet, plan& out, base::time_point now) {
  StageForRooms(fleet, out, now);
  StageSpares(fleet, out, now);
}

// Stages what a group lacks: on free replicas first, then on members of the
// groups that will be given up, while these serve.
void planner::StageForRooms(census& fleet, plan& out, base::time_point now) {
  if (!first_request_seen_)
    return;
  for (const room& each : FindRooms(fleet)) {
    const std::string& model = each.model->name;
    // Spares cover what little is missing; many loads need a reason.
    const bool is_worth_loads =
        each.given_up.empty() || each.missing <= kMostSpares ||
        Shortfall(*each.model, fleet) > kShortfallMargin ||
        LacksGroupByDemand(*each.model, fleet);
    if (each.missing == 0 || !is_worth_loads)
      continue;
    std::vector<replica_state*> members = each.domain->free;
    for (const group* group : each.given_up) {
      for (auto id = group->members.rbegin(); id != group->members.rend(); ++id)
        members.push_back(Find(*id));
    }
    auto lacking =
        each.model->size - std::count_if(members.begin(), members.end(),
                                         [&](const replica_state* replica) {
                                           return HasModel(*replica, model);
                                         });
    // Hosts that hold nothing lose nothing.
    std::stable_partition(members.begin(), members.end(),
                          [](const replica_state* replica) {
                            return replica->record.engine.staged_models.empty();
                          });
    for (replica_state* replica : members) {
      if (lacking <= 0)
        break;
      if (!CanStage(*replica, model, now))
        continue;
      if (!CanStartLoads(1, now))
        return;
      Stage(*replica, model, out, now);
      --lacking;
    }
  }
}

// @return how many spares of @p model should hold its weights in @p domain: as
//         many as members of its groups are likely to be lost while weights
//         load, and those that leave.
std::size_t planner::WantedSpares(const gateway::model_layout& model,
                                  const domain_census& domain,
                                  const census& fleet,
                                  base::time_point now) const {
  if (domain.usable < static_cast<std::size_t>(model.size))
    return 0;
  double members = 0;
  std::size_t leaving = 0;
  for (const group* group : domain.groups) {
    if (group->model != model.name || group->phase == group_phase::kClosing)
      continue;
    members += static_cast<double>(group->members.size());
    if (!domain.has_leaving)
      continue;
    for (const base::instance_id& id : group->members) {
      const replica_state* replica = Find(id);
      leaving += replica && replica->record.leaving ? 1 : 0;
    }
  }
  const double load_seconds =
      std::chrono::duration<double>(model.load_time).count();
  const double expected = losses_.PerSecond(now) / std::max(1.0, fleet.usable) *
                          members * load_seconds;
  const double least = first_request_seen_ ? 1 : kEarlySpares;
  const double spares = std::clamp(std::ceil(expected + std::sqrt(expected)),
                                   least, static_cast<double>(kMostSpares));
  return static_cast<std::size_t>(spares) + leaving;
}

bool planner::CanStartPreventiveLoad(base::time_point now) {
  // Repairs find half of the places free.
  return (!first_request_seen_ ||
          2 * CountLoadsInProgress(now) < layout_->max_concurrent_loads) &&
         CanStartLoads(1, now);
}

// @return whether staging @p model would take the last weights of another model
//         from a replica that is wanted as its spare.
bool planner::IsSpareOfOther(const replica_state& replica,
                             const std::string& model,
                             const std::map<std::string, int>& surplus) const {
  const auto& staged = replica.record.engine.staged_models;
  return std::any_of(
      staged.begin(), staged.end(), [&](const std::string& name) {
        const auto left = surplus.find(name);
        return name != model && name != replica.record.engine.model &&
               left != surplus.end() && left->second <= 0;
      });
}

// @return a member of a serving group of a smaller model, preferably of one
//         that already has such members: it is the one to be given up.
planner::replica_state* planner::FindMemberToStage(
    const gateway::model_layout& model,
    const domain_census& domain,
    base::time_point now) {
  replica_state* best = nullptr;
  std::size_t most_holders = 0;
  for (const group* group : domain.groups) {
    const auto* own = layout_->Find(group->model);
    if (!own || own->size >= model.size || group->provisional ||
        group->phase != group_phase::kServing)
      continue;
    replica_state* candidate = nullptr;
    std::size_t holders = 1;
    // Not the head: an order under way would delay its closing.
    for (auto id = std::next(group->members.begin());
         id != group->members.end(); ++id) {
      replica_state* replica = Find(*id);
      holders += replica && HasModel(*replica, model.name) ? 1 : 0;
      if (replica && CanStage(*replica, model.name, now))
        candidate = replica;
    }
    if (candidate && holders > most_holders) {
      best = candidate;
      most_holders = holders;
    }
  }
  return best;
}

// Each model has one spare among the free replicas before any has two. Further
// ones of a larger model are members of smaller groups: a free replica that
// holds the smaller one's weights restores such a group at once, and giving one
// up frees enough for the larger.
void planner::StageSpares(census& fleet, plan& out, base::time_point now) {
  for (const std::size_t most : {std::size_t{1}, std::size_t{0}}) {
    for (auto& [id, domain] : fleet.domains)
      StageSparesIn(domain, fleet, most, out, now);
  }
}

// @param most bounds the spares of each model; 0 if nothing but the number
//        wanted does.
void planner::StageSparesIn(domain_census& domain,
                            const census& fleet,
                            std::size_t most,
                            plan& out,
                            base::time_point now) {
  auto models = layout_->models;
  std::sort(models.begin(), models.end(),
            [](const auto& a, const auto& b) { return a.size > b.size; });
  std::map<std::string, int> surplus;
  for (const auto& model : models) {
    const std::size_t wanted = WantedSpares(model, domain, fleet, now);
    const auto holders = std::count_if(domain.free.begin(), domain.free.end(),
                                       [&](const replica_state* replica) {
                                         return HasModel(*replica, model.name);
                                       });
    surplus[model.name] =
        static_cast<int>(holders) -
        static_cast<int>(most == 0 ? wanted : std::min(most, wanted));
  }
  for (const auto& model : models) {
    int& left = surplus[model.name];
    const bool has_smaller = std::any_of(
        domain.groups.begin(), domain.groups.end(), [&](const group* group) {
          return static_cast<int>(group->members.size()) < model.size &&
                 group->phase == group_phase::kServing;
        });
    for (replica_state* replica : domain.free) {
      if (left >= 0 || (most == 0 && has_smaller))
        break;
      if (!CanStage(*replica, model.name, now) ||
          IsSpareOfOther(*replica, model.name, surplus))
        continue;
      if (!CanStartPreventiveLoad(now))
        return;
      Stage(*replica, model.name, out, now);
      ++left;
    }
    if (left >= 0)
      continue;
    int in_groups = CountStagedInOtherGroups(model.name, domain);
    for (; left + in_groups < 0; ++in_groups) {
      replica_state* member = FindMemberToStage(model, domain, now);
      if (!member || !CanStartPreventiveLoad(now))
        break;
      Stage(*member, model.name, out, now);
    }
  }
}

// @return the members of groups of other models that hold @p model too.
int planner::CountStagedInOtherGroups(const std::string& model,
                                      const domain_census& domain) const {
  int count = 0;
  for (const group* group : domain.groups) {
    if (group->model == model)
      continue;
    count += static_cast<int>(
        std::count_if(group->members.begin(), group->members.end(),
                      [&](const base::instance_id& id) {
                        const replica_state* replica = Find(id);
                        return replica && HasModel(*replica, model);
                      }));
  }
  return count;
}

}  // namespace flamingoshunt::groups
