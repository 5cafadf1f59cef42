// Takeover by a new leader: rebuilds groups and loads in progress from the
// replicas' reports.
#include <algorithm>
#include <utility>

#include "groups/planner.h"
#include "groups/planner_bounds.h"

namespace flamingoshunt::groups {

void planner::BeginTerm(std::uint64_t term, base::time_point now) {
  term_ = term;
  epochs_used_ = 0;
  names_used_ = 0;
  adopted_ = false;
  all_settled_ = false;
  settled_domains_.clear();
  changed_domains_.clear();
  groups_.clear();
  group_of_.clear();
  promised_.clear();
  targets_.Reset();
  announcement_ = {};
  announcement_.term = term;
  for (auto& [id, replica] : replicas_) {
    replica.query_due = true;
    replica.order_pending = false;
    replica.accepted_join_group.clear();
    replica.reported_at = {};
    replica.membership_known_at = {};
    replica.left_epoch = {};
    // An earlier term may have lost it for a trouble of this node.
    replica.lost = false;
    replica.lost_since.reset();
    ClearSilence(replica);
    replica.failed_queries = 0;
  }
  term_began_at_ = now;
}

// @return whether its state is known in this term, or that it won't answer.
bool planner::HasAnswered(const replica_state& replica) const {
  return replica.reported_at != base::time_point() || replica.lost ||
         replica.unlisted || replica.displaced;
}

std::set<base::fabric_domain_id> planner::UnsettledDomains() const {
  std::set<base::fabric_domain_id> unsettled;
  for (const auto& [id, replica] : replicas_) {
    const auto& domain = replica.record.engine.fabric_domain;
    if (!IsSettled(domain) && !HasAnswered(replica))
      unsettled.insert(domain);
  }
  return unsettled;
}

void planner::SettleDomains(base::time_point now) {
  const auto unsettled = UnsettledDomains();
  for (const auto& domain : FabricDomains()) {
    if (unsettled.contains(domain) || !settled_domains_.insert(domain).second)
      continue;
    DropProvisional(domain);
    AdoptGroups(domain, now);
    AdoptLoads(domain, now);
  }
  all_settled_ = !replicas_.empty() && unsettled.empty();
}

void planner::AdoptProvisionally(base::time_point now) {
  adopted_ = true;
  for (const auto& domain : UnsettledDomains()) {
    AdoptLoads(domain, now);
    for (const auto& [id, head] : replicas_) {
      const auto& membership = head.record.engine.member;
      if (head.record.engine.fabric_domain != domain || !membership ||
          membership->rank != 0 || !IsUsable(head) ||
          membership->state != fleet::member_state::kOpen ||
          groups_.contains(membership->group))
        continue;
      group adopted_group;
      adopted_group.name = membership->group;
      adopted_group.epoch = membership->epoch;
      adopted_group.model = head.record.engine.model;
      adopted_group.members = {id};
      adopted_group.provisional = true;
      group_of_[id] = adopted_group.name;
      SetPhase(groups_[adopted_group.name] = std::move(adopted_group),
               group_phase::kServing, now, "provisional");
    }
  }
}

void planner::DropProvisional(const base::fabric_domain_id& domain) {
  for (auto it = groups_.begin(); it != groups_.end();) {
    const replica_state* head = Find(it->second.head());
    const bool is_here = !head || head->record.engine.fabric_domain == domain;
    if (!it->second.provisional || !is_here) {
      ++it;
      continue;
    }
    group_of_.erase(it->second.head());
    it = groups_.erase(it);
  }
}

// Groups that serve are still announced while the replicas of their domain
// report again; the others are rebuilt from what they report.
void planner::ResettleDomains(base::time_point now) {
  for (const auto& domain : std::exchange(changed_domains_, {})) {
    for (auto& [id, replica] : replicas_) {
      if (replica.record.engine.fabric_domain != domain)
        continue;
      replica.query_due = true;
      replica.accepted_join_group.clear();
      replica.reported_at = {};
      replica.membership_known_at = {};
    }
    for (auto it = groups_.begin(); it != groups_.end();) {
      const replica_state* head = Find(it->second.head());
      if (!head || head->record.engine.fabric_domain != domain) {
        ++it;
        continue;
      }
      group& group = it->second;
      const bool serves = group.phase == group_phase::kServing;
      for (const base::instance_id& id : group.members) {
        if (!serves || id != group.head())
          group_of_.erase(id);
      }
      if (!serves) {
        group.reason = kOtherLeaderReason;
        changes_.push_back({group, "dissolved"});
        it = groups_.erase(it);
        continue;
      }
      group.members.resize(1);
      group.provisional = true;
      SetPhase(group, group_phase::kServing, now, kOtherLeaderReason);
      ++it;
    }
    settled_domains_.erase(domain);
    all_settled_ = false;
  }
}

inventory planner::Inventory(base::time_point now) const {
  inventory known;
  known.replicas = replicas_.size();
  for (const auto& [id, replica] : replicas_) {
    known.reported += replica.reported_at != base::time_point() ? 1 : 0;
    known.lost += replica.lost ? 1 : 0;
  }
  known.unsettled_domains = UnsettledDomains().size();
  known.elapsed = now - term_began_at_;
  return known;
}

// Counts the loads that an earlier leader started, since more loads at once
// would slow down all of them.
void planner::AdoptLoads(const base::fabric_domain_id& domain,
                         base::time_point now) {
  for (auto& [id, replica] : replicas_) {
    if (replica.record.engine.fabric_domain != domain)
      continue;
    const auto& membership = replica.record.engine.member;
    const bool is_joining =
        membership && membership->state == fleet::member_state::kJoining;
    if (!replica.loading_model.empty() ||
        (!is_joining && !replica.record.engine.busy))
      continue;
    // The report does not name the model that is loading, so the longest load
    // time is assumed. A join that needs no load ends soon and clears the mark.
    base::duration longest{};
    for (const auto& model : layout_->models)
      longest = std::max(longest, LoadTime(model.name));
    replica.loading_model = kUnknownModel;
    replica.loading_until = now + longest;
  }
}

// @return the model of the group with these members, the head first; null when
//         it is unknown. A member that is still joining reports its previous
//         model or none.
const gateway::model_layout* planner::InferModel(
    const std::vector<const replica_state*>& members) const {
  const fleet::engine_state& head = members.front()->record.engine;
  const auto* reported_model = layout_->Find(head.model);
  const auto fits = [&](const gateway::model_layout& model) {
    return static_cast<std::size_t>(model.size) == members.size();
  };
  if (head.member->state != fleet::member_state::kJoining ||
      (reported_model && fits(*reported_model)))
    return reported_model;
  const auto& models = layout_->models;
  const auto first = std::find_if(models.begin(), models.end(), fits);
  const bool is_unique = std::count_if(models.begin(), models.end(), fits) == 1;
  return is_unique ? &*first : nullptr;
}

// Rebuilds the groups of a domain from the memberships that its replicas
// report.
void planner::AdoptGroups(const base::fabric_domain_id& domain,
                          base::time_point now) {
  std::map<std::pair<std::string, base::epoch>,
           std::vector<const replica_state*>>
      members_by_group;
  for (const auto& [id, replica] : replicas_) {
    if (replica.record.engine.fabric_domain == domain &&
        replica.record.engine.member && !replica.displaced)
      members_by_group[{replica.record.engine.member->group,
                        replica.record.engine.member->epoch}]
          .push_back(&replica);
  }
  for (auto& [key, members] : members_by_group) {
    std::sort(members.begin(), members.end(),
              [](const replica_state* left, const replica_state* right) {
                return left->record.engine.member->rank <
                       right->record.engine.member->rank;
              });
    const replica_state& head = *members.front();
    const fleet::membership& head_membership = *head.record.engine.member;
    const auto* model = InferModel(members);
    const bool is_active =
        head_membership.state == fleet::member_state::kOpen ||
        head_membership.state == fleet::member_state::kClosing;
    // What a lost or leaving member means for a group that serves is decided
    // once it is adopted.
    const bool is_complete =
        model && head_membership.rank == 0 &&
        members.size() == static_cast<std::size_t>(model->size) &&
        (is_active || std::all_of(members.begin(), members.end(),
                                  [&](const replica_state* replica) {
                                    return IsUsable(*replica);
                                  }));
    if (head_membership.rank != 0 || (!is_active && !is_complete))
      continue;
    // Of two groups with the same name only the one with the later epoch can be
    // complete.
    if (const auto existing = groups_.find(key.first);
        existing != groups_.end()) {
      if (existing->second.epoch > key.second)
        continue;
      for (const base::instance_id& id : existing->second.members)
        group_of_.erase(id);
      groups_.erase(existing);
    }
    group adopted_group;
    adopted_group.name = key.first;
    adopted_group.epoch = key.second;
    adopted_group.model = model ? model->name : head.record.engine.model;
    for (const replica_state* replica : members) {
      adopted_group.members.push_back(replica->record.id);
      group_of_[replica->record.id] = adopted_group.name;
    }
    group& stored = groups_[adopted_group.name] = std::move(adopted_group);
    if (!is_complete)
      Close(stored, fleet::close_mode::kAbort, kIncompleteReason, now);
    else if (head_membership.state == fleet::member_state::kOpen)
      SetPhase(stored, group_phase::kServing, now, "adopted");
    else if (head_membership.state == fleet::member_state::kClosing)
      Close(stored, fleet::close_mode::kDrain, "closing_when_adopted", now);
    else
      SetPhase(stored, group_phase::kForming, now, "adopted");
  }
}

}  // namespace flamingoshunt::groups
