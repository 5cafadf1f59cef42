// Which replicas the planner asks for a report, and when.
#include <algorithm>

#include "groups/planner.h"
#include "groups/planner_bounds.h"

namespace flamingoshunt::groups {

void planner::Ask(member& of, plan& out, base::time_point now) {
  of.question_due = false;
  if (Displaced(of))
    return;
  if (of.asked_at && now - *of.asked_at < kQuestionBound)
    return;
  of.asked_at = now;
  of.last_asked = now;
  out.questions.push_back({of.facts.id, of.facts.address});
}

void planner::AskWhereDue(plan& out, base::time_point now) {
  const auto ask_every = [&](member& of, base::duration interval) {
    if (now - std::max(of.last_asked, of.reported_at) >= interval)
      Ask(of, out, now);
  };
  for (auto& [id, each] : members_) {
    if (each.question_due)
      Ask(each, out, now);
    else if (each.lost && !each.gone)
      ask_every(each, kAskLost);
  }
  for (auto& [name, of] : groups_) {
    member* head = Find(of.head());
    if (of.phase == group_phase::kForming) {
      for (const base::instance_id& id : of.members) {
        member* each = Find(id);
        const bool ordered = each && each->ordered_group == of.name;
        const bool ready =
            each && IsIn(*each, of) &&
            each->facts.engine.member->state != fleet::member_state::kJoining;
        // One that an earlier actor told to join tells its progress as well.
        const bool joining = each && IsIn(*each, of);
        if ((!ordered && !joining) || ready)
          continue;
        const base::duration join = JoinTime(*each, of.model);
        if (ordered && now - each->ordered_at >= join * 9 / 10)
          ask_every(*each, kAskSoon);
        else
          ask_every(*each, kAskLoading);
      }
    } else if (of.phase == group_phase::kOpening && head) {
      if (now - of.since >= layout_->form_time * 9 / 10)
        ask_every(*head, kAskSoon);
    } else if (of.phase == group_phase::kClosing && head) {
      ask_every(*head, head->lost ? kAskLostHead : kAskSoon);
    }
  }
}

}  // namespace flamingoshunt::groups
