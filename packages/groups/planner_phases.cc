// What the planner does with a group in each of its phases.
#include <algorithm>

#include "groups/planner.h"
#include "groups/planner_bounds.h"

namespace flamingoshunt::groups {

base::duration planner::LoadTime(const std::string& model) const {
  const auto* layout = layout_->Find(model);
  const base::duration full = layout ? layout->load_time : milliseconds(0);
  return requests_began_ ? full : full / kEarlyLoadDivisor;
}

// The time that a member's join takes when nothing goes wrong.
base::duration planner::JoinTime(const member& of,
                                 const std::string& model) const {
  if (of.facts.engine.model == model)
    return kRejoin;
  const auto& staged = of.facts.engine.staged_models;
  const auto* layout = layout_->Find(model);
  if (layout && std::find(staged.begin(), staged.end(), model) != staged.end())
    return layout->warm_load_time;
  return LoadTime(model);
}

void planner::StepForming(group& of, plan& out, base::time_point now) {
  std::size_t ready = 0;
  for (const base::instance_id& id : of.members) {
    member* each = Find(id);
    if (!each || !Usable(*each)) {
      Change(of, group_phase::kClosing, now, "member_lost_while_forming");
      return;
    }
    const bool in = IsIn(*each, of);
    if (in &&
        each->facts.engine.member->state != fleet::member_state::kJoining) {
      ++ready;
      continue;
    }
    const bool ordered =
        each->ordered_group == of.name && each->ordered_epoch == of.epoch &&
        now - each->ordered_at < JoinTime(*each, of.model) + kOrderPatience;
    if (in || ordered || each->order_pending || now < each->order_not_before)
      continue;
    // Nobody joins a group while still a member of another, whose head may not
    // know yet that it is over.
    const auto& other = each->facts.engine.member;
    if (other && each->left != other->epoch)
      Send(*each, fleet::leave_group{other->group, other->epoch}, out);
    else
      Send(*each, fleet::join_group{of.name, of.epoch, of.model, of.members},
           out);
  }
  if (ready < of.members.size())
    return;
  Change(of, group_phase::kOpening, now);
  member* head = Find(of.head());
  if (!head->order_pending)
    Send(*head, fleet::open_group{of.name, of.epoch}, out);
}

void planner::StepOpening(group& of, plan& out, base::time_point now) {
  for (const base::instance_id& id : of.members) {
    const member* each = Find(id);
    if (!each || !Usable(*each) || !IsIn(*each, of)) {
      Close(of, fleet::close_mode::kAbort, "member_lost_while_opening", now);
      return;
    }
  }
  member* head = Find(of.head());
  // A report tells late; the head serves when its time to open is over.
  const bool open_taken =
      head->ordered_open == of.epoch &&
      now >= head->opened_at + layout_->form_time + kOpenMargin;
  if (open_taken ||
      head->facts.engine.member->state == fleet::member_state::kOpen) {
    Change(of, group_phase::kServing, now);
    return;
  }
  if (!head->order_pending && now >= head->order_not_before)
    Send(*head, fleet::open_group{of.name, of.epoch}, out);
}

void planner::StepServing(group& of, plan&, base::time_point now) {
  std::size_t leaving = 0;
  for (const base::instance_id& id : of.members) {
    const member* each = Find(id);
    if (!each || each->lost || Displaced(*each)) {
      Close(of, fleet::close_mode::kAbort, "member_lost:" + id.str(), now);
      return;
    }
    if (!IsIn(*each, of)) {
      Close(of, fleet::close_mode::kAbort, "member_restarted:" + id.str(), now);
      return;
    }
    // One that is no longer listed but answers is leaving, or cut off.
    leaving += each->facts.leaving || each->gone ? 1 : 0;
  }
  const member& head = *Find(of.head());
  const auto state = head.facts.engine.member->state;
  if (state == fleet::member_state::kBroken) {
    Close(of, fleet::close_mode::kAbort, "broken", now);
    return;
  }
  // The order to open had no effect after all.
  const bool reported = head.reported_at > of.since + kOrderPatience;
  if (state == fleet::member_state::kReady && reported) {
    Change(of, group_phase::kForming, now, "not_open");
    return;
  }
  if (!HeadRests(of))
    of.rests_since.reset();
  if (leaving == 0)
    return;
  // A head that leaves or is not listed takes nothing new; what runs there gets
  // time to complete, and one that was only cut off from the platform may be
  // listed again.
  if (HeadRests(of)) {
    if (!of.rests_since)
      of.rests_since = now;
    if (now - *of.rests_since > kFinishBound)
      Close(of, fleet::close_mode::kAbort, "head_leaving", now);
    return;
  }
  // A leaving member stays while its head has work: its group serves on until
  // it can be whole again at once, and groups take turns, so that many that
  // leave together don't end all service.
  const bool turn =
      WarmIn(head.facts.engine.fabric_domain, of.model) >= leaving &&
      ClosingForOthers(of.model) < kPlannedAtOnce;
  if (turn)
    Close(of, fleet::close_mode::kDrain, kLeavingReason, now);
}

bool planner::HeadRests(const group& of) const {
  const member* head = Find(of.head());
  return !head || head->facts.leaving || head->gone;
}

// @return the free replicas of @p domain that need no load for @p model.
std::size_t planner::WarmIn(const base::fabric_domain_id& domain,
                            const std::string& model) const {
  const auto free = FreeIn(domain);
  return static_cast<std::size_t>(
      std::count_if(free.begin(), free.end(), [&](const member* each) {
        return each->loading.empty() && Holds(*each, model);
      }));
}

// @return the groups of @p model that are changed because a member leaves.
int planner::ClosingForOthers(const std::string& model) const {
  int count = 0;
  for (const auto& [name, each] : groups_) {
    const bool closing =
        each.phase == group_phase::kClosing && each.reason == kLeavingReason;
    const bool forming = each.phase == group_phase::kForming ||
                         each.phase == group_phase::kOpening;
    count += each.model == model && (closing || forming) ? 1 : 0;
  }
  return count;
}

// @return whether the members are free.
bool planner::StepClosing(group& of, plan& out, base::time_point now) {
  if (of.reason == "member_lost_while_forming")
    return true;
  member* head = Find(of.head());
  if (!head)
    return true;
  // A head that is out of this node's reach may still serve others for a
  // moment. Its members leave it before they join elsewhere.
  if (head->lost)
    return head->refused || now >= *head->lost_at + kLostHead;
  // Its members leave the group before they join another, so a head that takes
  // no more requests needs no further look.
  const bool told = head->ordered_close == of.epoch;
  if (told && head->closed_by == fleet::close_mode::kAbort)
    return true;
  const bool reported_since = head->reported_at > of.since;
  if (reported_since || head->facts.engine.started_ms > of.head_started_ms) {
    if (!IsIn(*head, of))
      return true;
    const auto state = head->facts.engine.member->state;
    // An order to open shows only when it is done.
    const bool opening =
        head->reported_at < head->opened_at + layout_->form_time;
    if (state == fleet::member_state::kBroken ||
        (state == fleet::member_state::kReady && told && !opening))
      return true;
  }
  if (of.close == fleet::close_mode::kDrain && now - of.since > kFinishBound) {
    of.close = fleet::close_mode::kAbort;
    head->order_not_before = now;
  }
  if (!head->order_pending && now >= head->order_not_before)
    Send(*head, fleet::close_group{of.name, of.epoch, of.close}, out);
  return false;
}

}  // namespace flamingoshunt::groups
