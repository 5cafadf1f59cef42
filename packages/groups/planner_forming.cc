// How the planner makes groups from free replicas, and keeps spares warm.
#include <algorithm>
#include <tuple>
#include <utility>

#include "groups/planner.h"
#include "groups/planner_bounds.h"

namespace flamingoshunt::groups {

std::vector<const planner::member*> planner::FreeIn(
    const base::fabric_domain_id& domain) const {
  std::vector<const member*> free;
  for (const auto& [id, each] : members_) {
    if (each.facts.engine.fabric_domain == domain && Usable(each) &&
        !group_of_.contains(id))
      free.push_back(&each);
  }
  return free;
}

std::size_t planner::InDomain(const base::fabric_domain_id& domain) const {
  return static_cast<std::size_t>(
      std::count_if(members_.begin(), members_.end(), [&](const auto& each) {
        return each.second.facts.engine.fabric_domain == domain;
      }));
}

std::set<base::fabric_domain_id> planner::Domains() const {
  std::set<base::fabric_domain_id> domains;
  for (const auto& [id, each] : members_) {
    if (!each.facts.engine.fabric_domain.empty())
      domains.insert(each.facts.engine.fabric_domain);
  }
  return domains;
}

// @return how many groups of @p model its share of the work calls for.
double planner::GroupsMeant(const gateway::model_layout& model) const {
  double usable = 0;
  for (const auto& [id, each] : members_)
    usable += Usable(each) ? 1 : 0;
  return std::max(1.0, model.share * usable / model.size);
}

// @return the part of the groups meant for @p model that it lacks.
double planner::Need(const gateway::model_layout& model) const {
  const double target = GroupsMeant(model);
  double have = 0;
  for (const auto& [name, each] : groups_) {
    if (each.model == model.name && each.phase != group_phase::kClosing)
      ++have;
  }
  return (target - have) / target;
}

int planner::LoadsUnderWay(base::time_point now) const {
  int count = 0;
  for (const auto& [id, each] : members_)
    count += !each.loading.empty() && each.loading_until > now ? 1 : 0;
  return count;
}

bool planner::MayLoad(int count, base::time_point now) {
  if (count == 0)
    return true;
  const int at_once = requests_began_
                          ? layout_->max_concurrent_loads
                          : layout_->max_concurrent_loads * kEarlyLoadsAtOnce;
  return LoadsUnderWay(now) < at_once && loads_.Allows(count, now);
}

std::optional<planner::draft> planner::Draft(
    const gateway::model_layout& model,
    const std::vector<const member*>& free) const {
  const auto size = static_cast<std::size_t>(model.size);
  if (size == 0 || free.size() < size)
    return std::nullopt;
  std::vector<const member*> order = free;
  const auto rank = [&](const member* each) {
    const bool same = each->facts.engine.model == model.name;
    const bool held = Holds(*each, model.name);
    const bool empty =
        each->facts.engine.staged_models.empty() && each->loading.empty();
    const bool slow = each->facts.engine.slowness > kSlow;
    return std::tuple(slow, same ? 0 : (held ? 1 : (empty ? 2 : 3)),
                      each->facts.id);
  };
  std::sort(order.begin(), order.end(), [&](const member* a, const member* b) {
    return rank(a) < rank(b);
  });
  draft result;
  result.model = model.name;
  for (std::size_t i = 0; i < size; ++i) {
    result.members.push_back(order[i]->facts.id);
    result.loads += Holds(*order[i], model.name) ? 0 : 1;
  }
  result.need = Need(model);
  return result;
}

// Small groups form from any few survivors, so that after some losses nothing
// is left for the large ones.
// @return whether another model lacks so many more groups than @p model that
//         the free replicas of @p domain wait for it.
bool planner::KeptForAnother(const gateway::model_layout& model,
                             const base::fabric_domain_id& domain) const {
  const double need = Need(model);
  return std::any_of(
      layout_->models.begin(), layout_->models.end(), [&](const auto& other) {
        return other.size > model.size &&
               InDomain(domain) >= static_cast<std::size_t>(other.size) &&
               Need(other) > need + kLacking;
      });
}

// Closes a group of a model that has enough where its members and the free
// replicas make one of a model that starves; one at a time.
void planner::MakeRoom(base::time_point now) {
  const bool under_way =
      std::any_of(groups_.begin(), groups_.end(), [](const auto& each) {
        return each.second.phase == group_phase::kClosing &&
               each.second.reason == kMakesRoomReason;
      });
  if (under_way)
    return;
  for (const auto& starving : layout_->models) {
    const double need = Need(starving);
    const bool forming =
        std::any_of(groups_.begin(), groups_.end(), [&](const auto& each) {
          return each.second.model == starving.name &&
                 (each.second.phase == group_phase::kForming ||
                  each.second.phase == group_phase::kOpening);
        });
    if (need < kStarving || forming)
      continue;
    group* best = nullptr;
    std::size_t most_free = 0;
    for (auto& [name, each] : groups_) {
      const auto* model = layout_->Find(each.model);
      const member* head = Find(each.head());
      if (!model || !head || each.phase != group_phase::kServing)
        continue;
      // What it gives away must not leave it as needy as the other.
      const double after = Need(*model) + 1 / GroupsMeant(*model);
      const std::size_t free = FreeIn(head->facts.engine.fabric_domain).size();
      const bool enough =
          free + each.members.size() >= static_cast<std::size_t>(starving.size);
      if (after + kLacking <= need && enough && (!best || free > most_free)) {
        best = &each;
        most_free = free;
      }
    }
    if (best) {
      Close(*best, fleet::close_mode::kDrain, kMakesRoomReason, now);
      return;
    }
  }
}

bool planner::FormOneIn(const base::fabric_domain_id& domain,
                        base::time_point now) {
  const auto free = FreeIn(domain);
  std::set<std::string> served;
  for (const auto& [name, each] : groups_) {
    const member* head = Find(each.head());
    if (head && head->facts.engine.fabric_domain == domain)
      served.insert(each.model);
  }
  std::optional<draft> best;
  for (const auto& model : layout_->models) {
    auto candidate = Draft(model, free);
    if (!candidate || !MayLoad(candidate->loads, now) ||
        KeptForAnother(model, domain))
      continue;
    if (!served.contains(model.name))
      candidate->need += kMixBonus;
    // What can serve within seconds goes before what must load first.
    const auto rank = [](const draft& of) {
      return std::tuple(of.loads == 0, of.need, of.members.size());
    };
    if (!best || rank(*candidate) > rank(*best))
      best = std::move(candidate);
  }
  if (!best)
    return false;
  group formed;
  formed.name = "g" + std::to_string(term_) + "-" + std::to_string(++names_);
  formed.epoch = base::epoch(term_ * kEpochsPerTerm + ++epochs_);
  formed.model = best->model;
  formed.members = best->members;
  loads_.Note(best->loads, now);
  for (const base::instance_id& id : formed.members) {
    member& each = *Find(id);
    group_of_[id] = formed.name;
    each.ordered_group.clear();
    each.order_not_before = now;
    if (!Holds(each, formed.model)) {
      each.loading = formed.model;
      each.loading_until = now + LoadTime(formed.model);
    }
  }
  formed.head_started_ms = Find(formed.head())->facts.engine.started_ms;
  group& placed = groups_[formed.name] = std::move(formed);
  Change(placed, group_phase::kForming, now);
  return true;
}

// @param settled whether all replicas are listed; before, only domains that
//        have enough for one group of each model.
void planner::FormGroups(bool settled, base::time_point now) {
  std::size_t one_of_each = 0;
  for (const auto& model : layout_->models)
    one_of_each += static_cast<std::size_t>(model.size);
  bool formed = true;
  while (formed) {
    formed = false;
    std::vector<std::pair<std::size_t, base::fabric_domain_id>> order;
    for (const auto& domain : Domains()) {
      if (settled || InDomain(domain) >= one_of_each)
        order.emplace_back(FreeIn(domain).size(), domain);
    }
    std::sort(order.rbegin(), order.rend());
    for (const auto& [free, domain] : order)
      formed = FormOneIn(domain, now) || formed;
  }
}

// @return how many free replicas of @p domain are to hold a copy of @p model:
//         one against the next loss, or a whole group's where they wait for it.
std::size_t planner::CopiesMeant(const gateway::model_layout& model,
                                 const base::fabric_domain_id& domain) const {
  const bool awaited = std::any_of(
      layout_->models.begin(), layout_->models.end(), [&](const auto& other) {
        return other.size < model.size &&
               Need(model) > Need(other) + kLacking &&
               KeptForAnother(other, domain);
      });
  return awaited ? static_cast<std::size_t>(model.size) : 1;
}

void planner::StageSpares(plan& out, base::time_point now) {
  auto models = layout_->models;
  std::sort(models.begin(), models.end(),
            [](const auto& a, const auto& b) { return a.size > b.size; });
  for (const auto& domain : Domains()) {
    const auto free = FreeIn(domain);
    for (const auto& model : models) {
      const auto holding = static_cast<std::size_t>(std::count_if(
          free.begin(), free.end(),
          [&](const member* each) { return Holds(*each, model.name); }));
      const std::size_t meant = CopiesMeant(model, domain);
      if (holding >= meant)
        continue;
      const auto fit =
          std::find_if(free.begin(), free.end(), [&](const member* each) {
            const bool empty = each->facts.engine.staged_models.empty();
            return (empty || (meant > 1 && !Holds(*each, model.name))) &&
                   each->loading.empty() && !each->order_pending &&
                   now >= each->order_not_before;
          });
      if (fit == free.end() || !MayLoad(1, now))
        continue;
      member& spare = *Find((*fit)->facts.id);
      spare.loading = model.name;
      spare.loading_until = now + LoadTime(model.name);
      loads_.Note(1, now);
      Send(spare, fleet::stage_model{model.name}, out);
    }
  }
}

}  // namespace flamingoshunt::groups
