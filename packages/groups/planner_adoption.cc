// How a new actor takes over: groups and loads as the replicas tell of them.
#include <algorithm>
#include <utility>

#include "groups/planner.h"
#include "groups/planner_bounds.h"

namespace flamingoshunt::groups {

void planner::BeginTerm(std::uint64_t term, base::time_point now) {
  term_ = term;
  epochs_ = 0;
  names_ = 0;
  adopted_ = false;
  groups_.clear();
  group_of_.clear();
  statement_ = {};
  statement_.term = term;
  for (auto& [id, each] : members_) {
    each.question_due = true;
    each.order_pending = false;
    each.ordered_group.clear();
    each.reported_at = {};
  }
  // Marks the start of the stocktaking.
  stocktaking_until_ = now + kStocktaking;
}

// Counts the loads that an earlier actor has begun: more at once would slow all
// of them.
void planner::AdoptLoads(base::time_point now) {
  for (auto& [id, each] : members_) {
    const auto& in = each.facts.engine.member;
    const bool joins = in && in->state == fleet::member_state::kJoining;
    if (!each.loading.empty() || (!joins && !each.facts.engine.busy))
      continue;
    // What is loaded isn't told; a join that needs none ends soon and with it
    // the mark.
    base::duration longest{};
    for (const auto& model : layout_->models)
      longest = std::max(longest, LoadTime(model.name));
    each.loading = kUnknownModel;
    each.loading_until = now + longest;
  }
}

// @return the model of a group with these members, the head first; null when
// it can't be told. A member that still joins tells its last model or none.
const gateway::model_layout* planner::ModelOf(
    const std::vector<const member*>& in) const {
  const fleet::engine_state& head = in.front()->facts.engine;
  const auto* told = layout_->Find(head.model);
  const auto fits = [&](const gateway::model_layout& model) {
    return static_cast<std::size_t>(model.size) == in.size();
  };
  if (head.member->state != fleet::member_state::kJoining ||
      (told && fits(*told)))
    return told;
  const auto& models = layout_->models;
  const auto first = std::find_if(models.begin(), models.end(), fits);
  const bool one = std::count_if(models.begin(), models.end(), fits) == 1;
  return one ? &*first : nullptr;
}

// Rebuilds the groups from what the replicas say of themselves.
void planner::Adopt(base::time_point now) {
  adopted_ = true;
  std::map<std::pair<std::string, base::epoch>, std::vector<const member*>>
      found;
  for (const auto& [id, each] : members_) {
    if (each.facts.engine.member && !Displaced(each))
      found[{each.facts.engine.member->group, each.facts.engine.member->epoch}]
          .push_back(&each);
  }
  for (auto& [key, in] : found) {
    std::sort(in.begin(), in.end(), [](const member* a, const member* b) {
      return a->facts.engine.member->rank < b->facts.engine.member->rank;
    });
    const member& head = *in.front();
    const fleet::membership& of = *head.facts.engine.member;
    const auto* model = ModelOf(in);
    const bool whole = model && of.rank == 0 &&
                       in.size() == static_cast<std::size_t>(model->size) &&
                       std::all_of(in.begin(), in.end(),
                                   [&](const member* m) { return Usable(*m); });
    const bool active = of.state == fleet::member_state::kOpen ||
                        of.state == fleet::member_state::kClosing;
    if (of.rank != 0 || (!active && !whole))
      continue;
    // Of two groups that share a name only the later epoch can be whole.
    if (const auto same = groups_.find(key.first); same != groups_.end()) {
      if (same->second.epoch > key.second)
        continue;
      for (const base::instance_id& id : same->second.members)
        group_of_.erase(id);
      groups_.erase(same);
    }
    group adopted;
    adopted.name = key.first;
    adopted.epoch = key.second;
    adopted.model = model ? model->name : head.facts.engine.model;
    for (const member* each : in) {
      adopted.members.push_back(each->facts.id);
      group_of_[each->facts.id] = adopted.name;
    }
    group& placed = groups_[adopted.name] = std::move(adopted);
    if (!whole)
      Close(placed, fleet::close_mode::kAbort, "incomplete_when_adopted", now);
    else if (of.state == fleet::member_state::kOpen)
      Change(placed, group_phase::kServing, now, "adopted");
    else if (of.state == fleet::member_state::kClosing)
      Close(placed, fleet::close_mode::kDrain, "closing_when_adopted", now);
    else
      Change(placed, group_phase::kForming, now, "adopted");
  }
}

}  // namespace flamingoshunt::groups
