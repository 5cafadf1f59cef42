// The steps of a group in each of its phases.
#include <algorithm>

#include "groups/planner.h"
#include "groups/planner_bounds.h"

namespace flamingoshunt::groups {

base::duration planner::LoadTime(const std::string& model) const {
  const auto* layout = layout_->Find(model);
  const base::duration full = layout ? layout->load_time : milliseconds(0);
  return first_request_seen_ ? full : full / kEarlyLoadDivisor;
}

// @return the duration of a join that meets no failure.
base::duration planner::ExpectedJoinTime(const replica_state& replica,
                                         const std::string& model) const {
  if (replica.record.engine.model == model)
    return kRejoinTime;
  const auto& staged = replica.record.engine.staged_models;
  const auto* layout = layout_->Find(model);
  if (layout && std::find(staged.begin(), staged.end(), model) != staged.end())
    return layout->warm_load_time;
  return LoadTime(model);
}

void planner::StepForming(group& group, plan& out, base::time_point now) {
  std::size_t ready_members = 0;
  for (const base::instance_id& id : group.members) {
    replica_state* replica = Find(id);
    if (!replica || !IsUsable(*replica)) {
      SetPhase(group, group_phase::kClosing, now, kMemberLostReason);
      return;
    }
    const bool is_member = IsMemberOf(*replica, group);
    if (is_member &&
        replica->record.engine.member->state != fleet::member_state::kJoining) {
      ++ready_members;
      continue;
    }
    const bool join_ordered =
        replica->accepted_join_group == group.name &&
        replica->accepted_join_epoch == group.epoch &&
        now - replica->join_accepted_at <
            ExpectedJoinTime(*replica, group.model) + kOrderEffectMargin;
    if (is_member || join_ordered || replica->order_pending ||
        now < replica->next_order_at)
      continue;
    // A replica leaves its previous group before it joins another: the head of
    // the previous group may not know yet that the group has ended.
    const auto& other_group = replica->record.engine.member;
    if (other_group && replica->left_epoch != other_group->epoch)
      Send(*replica, fleet::leave_group{other_group->group, other_group->epoch},
           out);
    else if (now - replica->membership_known_at > kMembershipFreshness)
      replica->query_due = true;
    else
      Send(*replica,
           fleet::join_group{group.name, group.epoch, group.model,
                             group.members},
           out);
  }
  if (ready_members < group.members.size())
    return;
  replica_state* head = Find(group.head());
  // The size of an adopted group is known once its head names the model.
  const auto* model = layout_->Find(head->record.engine.model);
  if (model && static_cast<std::size_t>(model->size) != group.members.size()) {
    SetPhase(group, group_phase::kClosing, now, kIncompleteReason);
    return;
  }
  SetPhase(group, group_phase::kOpening, now);
  if (!head->order_pending)
    Send(*head, fleet::open_group{group.name, group.epoch}, out);
}

void planner::StepOpening(group& group, plan& out, base::time_point now) {
  for (const base::instance_id& id : group.members) {
    const replica_state* replica = Find(id);
    if (!replica || !IsUsable(*replica) || !IsMemberOf(*replica, group)) {
      Close(group, fleet::close_mode::kAbort, "member_lost_while_opening", now);
      return;
    }
  }
  replica_state* head = Find(group.head());
  // Reports lag behind, so the head also counts as serving once its opening
  // time has passed.
  const bool open_taken =
      head->accepted_open_epoch == group.epoch &&
      now >= head->open_answered_at + layout_->form_time + kOpenMargin;
  if (open_taken ||
      head->record.engine.member->state == fleet::member_state::kOpen) {
    SetPhase(group, group_phase::kServing, now);
    return;
  }
  if (!head->order_pending && now >= head->next_order_at)
    Send(*head, fleet::open_group{group.name, group.epoch}, out);
}

void planner::StepServing(group& group, plan&, base::time_point now) {
  std::size_t leaving_members = 0;
  for (const base::instance_id& id : group.members) {
    const replica_state* replica = Find(id);
    if (!replica || replica->lost || replica->displaced) {
      Close(group, fleet::close_mode::kAbort, "member_lost:" + id.str(), now);
      return;
    }
    if (!IsMemberOf(*replica, group)) {
      Close(group, fleet::close_mode::kAbort, "member_restarted:" + id.str(),
            now);
      return;
    }
    // A member that is unlisted but answers is leaving, or is disconnected from
    // the platform.
    leaving_members += replica->record.leaving || replica->unlisted ? 1 : 0;
  }
  const replica_state& head = *Find(group.head());
  const auto state = head.record.engine.member->state;
  if (state == fleet::member_state::kBroken) {
    Close(group, fleet::close_mode::kAbort, "broken", now);
    return;
  }
  // The open order had no effect.
  const bool reported_since_open =
      head.reported_at > group.phase_since + kOrderEffectMargin;
  if (state == fleet::member_state::kReady && reported_since_open) {
    SetPhase(group, group_phase::kForming, now, "not_open");
    return;
  }
  if (!IsHeadDraining(group))
    group.head_draining_since.reset();
  if (leaving_members == 0)
    return;
  // A head that is leaving or unlisted accepts no requests. Running requests
  // get time to complete, and a head that was only disconnected from the
  // platform may be listed again.
  if (IsHeadDraining(group)) {
    if (!group.head_draining_since)
      group.head_draining_since = now;
    if (now - *group.head_draining_since > kFinishTimeout)
      Close(group, fleet::close_mode::kAbort, "head_leaving", now);
    return;
  }
  // A leaving member stays while its head has work: its group serves until a
  // complete one can replace it at once. Groups are replaced one after the
  // other, so that many members that leave together do not interrupt the whole
  // service.
  const bool can_replace = CountWarmIn(head.record.engine.fabric_domain,
                                       group.model) >= leaving_members &&
                           MayReplaceOneOf(group.model, now);
  if (can_replace)
    Close(group, fleet::close_mode::kDrain, kLeavingReason, now);
}

bool planner::IsHeadDraining(const group& group) const {
  const replica_state* head = Find(group.head());
  return !head || head->record.leaving || head->unlisted;
}

// @return the number of free replicas of @p domain that can serve @p model
//         without a load.
std::size_t planner::CountWarmIn(const base::fabric_domain_id& domain,
                                 const std::string& model) const {
  const auto free = FreeReplicasIn(domain);
  return static_cast<std::size_t>(std::count_if(
      free.begin(), free.end(), [&](const replica_state* replica) {
        return replica->loading_model.empty() && HasModel(*replica, model);
      }));
}

// @return whether one more group of @p model may be replaced because a member
//         leaves.
bool planner::MayReplaceOneOf(const std::string& model,
                              base::time_point now) const {
  const auto replaced = replaced_at_.find(model);
  if (replaced != replaced_at_.end() && replaced->second == now)
    return false;
  int in_replacement = 0;
  int serving = 0;
  for (const auto& [name, group] : groups_) {
    if (group.model != model)
      continue;
    const bool is_closing =
        group.phase == group_phase::kClosing && group.reason == kLeavingReason;
    const bool is_forming = group.phase == group_phase::kForming ||
                            group.phase == group_phase::kOpening;
    in_replacement += is_closing || is_forming ? 1 : 0;
    serving += group.phase == group_phase::kServing ? 1 : 0;
  }
  return in_replacement < std::max(1, serving / kServingPerReplacement);
}

// @return whether the group is dissolved and its members are free.
bool planner::StepClosing(group& group, plan& out, base::time_point now) {
  if (group.reason == kMemberLostReason)
    return true;
  replica_state* head = Find(group.head());
  if (!head)
    return true;
  // A head that this node cannot reach may still serve others for a moment. Its
  // members leave the group before they join another.
  if (head->lost)
    return head->connection_refused ||
           now >= *head->lost_since + kLostHeadTimeout;
  // The members leave the group before they join another, so a head that
  // accepts no more requests needs no further check.
  const bool close_taken = head->handled_close_epoch == group.epoch;
  if (close_taken && head->handled_close_mode == fleet::close_mode::kAbort)
    return true;
  const bool reported_since = head->reported_at > group.phase_since;
  if (reported_since ||
      head->record.engine.started_ms > group.head_started_ms) {
    if (!IsMemberOf(*head, group))
      return true;
    const auto state = head->record.engine.member->state;
    // An open order shows in reports only once it is done.
    const bool is_opening =
        head->reported_at < head->open_answered_at + layout_->form_time;
    if (state == fleet::member_state::kBroken ||
        (state == fleet::member_state::kReady && close_taken && !is_opening))
      return true;
  }
  if (group.closing_mode == fleet::close_mode::kDrain &&
      now - group.phase_since > kFinishTimeout) {
    group.closing_mode = fleet::close_mode::kAbort;
    head->next_order_at = now;
  }
  if (!head->order_pending && now >= head->next_order_at)
    Send(*head, fleet::close_group{group.name, group.epoch, group.closing_mode},
         out);
  return false;
}

}  // namespace flamingoshunt::groups
