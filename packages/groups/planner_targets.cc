// How the models' parts of the replicas follow demand.
#include <utility>

#include "groups/planner.h"

namespace flamingoshunt::groups {

void planner::OnDemand(const model_loads& loads, base::time_point now) {
  if (follows_demand_ && layout_)
    demand_.Record(loads, layout_->slots, now);
}

void planner::UpdateTargets(const census& fleet, base::time_point now) {
  std::vector<group_targets::model> models;
  for (const auto& model : layout_->models) {
    const auto existing = fleet.existing.find(model.name);
    const auto serving = fleet.serving.find(model.name);
    models.push_back({model.name, model.size, model.share,
                      existing == fleet.existing.end() ? 0 : existing->second,
                      demand_.Groups(model.name, now), model.load_time});
    target_and_serving_[model.name] = {
        TargetGroups(model, fleet),
        serving == fleet.serving.end() ? 0 : serving->second};
  }
  if (!follows_demand_ || !first_request_seen_ || !all_settled_)
    return;
  if (auto decision = targets_.Update(models, fleet.usable, now))
    target_decisions_.push_back(std::move(*decision));
}

std::vector<group_targets::decision> planner::TakeTargetDecisions() {
  return std::exchange(target_decisions_, {});
}

}  // namespace flamingoshunt::groups
