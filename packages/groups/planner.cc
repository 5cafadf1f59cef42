#include "groups/planner.h"

#include <algorithm>
#include <utility>

#include "groups/planner_bounds.h"

namespace flamingoshunt::groups {
namespace {

base::epoch EpochOf(const fleet::engine_state& state) {
  return state.member ? state.member->epoch : base::epoch();
}

}  // namespace

const char* NameOf(group_phase phase) {
  switch (phase) {
    case group_phase::kForming:
      return "forming";
    case group_phase::kOpening:
      return "opening";
    case group_phase::kServing:
      return "serving";
    case group_phase::kClosing:
      return "closing";
  }
  return "unknown";
}

planner::planner(std::string service) : service_(std::move(service)) {}

void planner::SetLayout(const gateway::engine_profile& layout) {
  layout_ = layout;
  loads_.SetRate(layout.max_loads_per_second);
}

planner::member* planner::Find(const base::instance_id& id) {
  const auto found = members_.find(id);
  return found == members_.end() ? nullptr : &found->second;
}

const planner::member* planner::Find(const base::instance_id& id) const {
  const auto found = members_.find(id);
  return found == members_.end() ? nullptr : &found->second;
}

void planner::Listed(const fleet::replica& replica, base::time_point now) {
  const auto [place, added] = members_.try_emplace(replica.id);
  member& of = place->second;
  of.gone = false;
  const fleet::engine_state known = of.facts.engine;
  const std::string address = std::exchange(of.facts.address, "");
  of.facts = replica;
  of.listed_start_ms = replica.engine.started_ms;
  SettleAddress(replica.address);
  if (address != replica.address)
    SettleAddress(address);
  if (added) {
    last_added_ = now;
    of.question_due = !adopted_ && term_ != 0;
    return;
  }
  if (replica.engine.started_ms > known.started_ms) {
    ForgetOrders(of);
    return;
  }
  // The list tells late, after an outage very late. Epochs only rise, so an
  // earlier one is history; the replica itself is asked what holds.
  const base::epoch listed = EpochOf(replica.engine);
  const bool history =
      replica.engine.started_ms < known.started_ms || listed < EpochOf(known);
  const bool report_is_fresher = now - of.reported_at < kListLag;
  if (history || (listed == EpochOf(known) && report_is_fresher))
    of.facts.engine = known;
  of.question_due = of.question_due || (history && !report_is_fresher);
}

void planner::ForgetOrders(member& of) {
  of.ordered_group.clear();
  of.loading.clear();
  of.lost = false;
  of.lost_at.reset();
  of.failures = 0;
}

void planner::Gone(const base::instance_id& id) {
  member* of = Find(id);
  if (!of)
    return;
  of->gone = true;
  SettleAddress(of->facts.address);
  // It may only be cut off from the platform.
  of->question_due = true;
}

void planner::Reported(const base::instance_id& id,
                       const fleet::engine_state& state,
                       base::time_point now) {
  member* of = Find(id);
  if (!of)
    return;
  if (Displaced(*of)) {
    // Told by the replica that has its address now.
    Unreachable(id, true, now);
    return;
  }
  of->asked_at.reset();
  of->failures = 0;
  if (state.started_ms < of->facts.engine.started_ms)
    return;
  if (state.started_ms > of->facts.engine.started_ms)
    ForgetOrders(*of);
  of->lost = false;
  of->refused = false;
  of->lost_at.reset();
  of->reported_at = now;
  const base::fabric_domain_id domain = of->facts.engine.fabric_domain;
  of->facts.engine = state;
  if (state.fabric_domain.empty())
    of->facts.engine.fabric_domain = domain;
}

void planner::Unreachable(const base::instance_id& id,
                          bool refused,
                          base::time_point now) {
  member* of = Find(id);
  if (!of)
    return;
  of->asked_at.reset();
  ++of->failures;
  of->refused = refused;
  if (!refused && of->failures < kFailuresUntilLost) {
    of->question_due = true;
    return;
  }
  of->lost = true;
  if (!of->lost_at)
    of->lost_at = now;
}

void planner::Suspected(const base::instance_id& instance,
                        base::time_point now) {
  const auto found = group_of_.find(instance);
  if (found == group_of_.end())
    return;
  for (const base::instance_id& id : groups_.at(found->second).members) {
    member* of = Find(id);
    if (of && now - of->reported_at > kFreshReport)
      of->question_due = true;
  }
}

bool planner::Usable(const member& of) const {
  return !of.gone && !of.lost && !of.facts.leaving && !Displaced(of);
}

// @return whether another replica was started at the address of @p of since.
// Its entry outlives it for a while, and whoever has the address now would
// answer for it.
bool planner::Displaced(const member& of) const {
  const auto found = holders_.find(of.facts.address);
  return found != holders_.end() && found->second != of.facts.id;
}

void planner::SettleAddress(const std::string& address) {
  const member* last = nullptr;
  for (const auto& [id, each] : members_) {
    const bool here = !each.gone && each.facts.address == address;
    if (here && (!last || each.listed_start_ms >= last->listed_start_ms))
      last = &each;
  }
  if (last)
    holders_[address] = last->facts.id;
  else
    holders_.erase(address);
}

bool planner::Holds(const member& of, const std::string& model) const {
  const auto& staged = of.facts.engine.staged_models;
  return of.loading == model || of.facts.engine.model == model ||
         std::find(staged.begin(), staged.end(), model) != staged.end();
}

bool planner::IsIn(const member& of, const group& group) const {
  const auto& in = of.facts.engine.member;
  return in && in->group == group.name && in->epoch == group.epoch;
}

void planner::Change(group& of,
                     group_phase phase,
                     base::time_point now,
                     std::string reason) {
  of.phase = phase;
  of.since = now;
  of.reason = std::move(reason);
  changes_.push_back({of, NameOf(phase)});
}

void planner::Close(group& of,
                    fleet::close_mode mode,
                    std::string reason,
                    base::time_point now) {
  of.close = mode;
  if (member* head = Find(of.head()))
    head->order_not_before = now;
  Change(of, group_phase::kClosing, now, std::move(reason));
}

void planner::Send(member& to, fleet::order_body body, plan& out) {
  to.order_pending = true;
  const std::uint64_t number = next_order_++;
  out.orders.push_back({fleet::order_id(number), to.facts.id, to.facts.address,
                        term_, term_ * kFencesPerTerm + number,
                        std::move(body)});
}

void planner::Settled(const fleet::order& order,
                      fleet::order_result result,
                      base::time_point now) {
  member* of = Find(order.to);
  if (!of)
    return;
  of->order_pending = false;
  const bool accepted = result == fleet::order_result::kAccepted ||
                        result == fleet::order_result::kDone;
  if (result == fleet::order_result::kNoAnswer)
    of->question_due = true;
  if (result == fleet::order_result::kOtherInstance)
    Unreachable(order.to, true, now);
  of->order_not_before = now + (accepted ? kOrderPatience : kOrderRetry);
  const auto* join = std::get_if<fleet::join_group>(&order.body);
  if (join && accepted) {
    of->ordered_group = join->group;
    of->ordered_epoch = join->epoch;
    of->ordered_at = now;
  }
  const auto* leave = std::get_if<fleet::leave_group>(&order.body);
  if (leave && (accepted || result == fleet::order_result::kStateConflict)) {
    of->left = leave->epoch;
    of->order_not_before = now;
  }
  const auto* close = std::get_if<fleet::close_group>(&order.body);
  if (close && (accepted || result == fleet::order_result::kStateConflict)) {
    of->ordered_close = close->epoch;
    of->closed_by = close->mode;
  }
  const auto* open = std::get_if<fleet::open_group>(&order.body);
  if (open)
    of->opened_at = now;
  if (open && accepted)
    of->ordered_open = open->epoch;
  if (open && result == fleet::order_result::kStateConflict) {
    const auto found = groups_.find(open->group);
    if (found != groups_.end() && found->second.epoch == open->epoch &&
        found->second.phase == group_phase::kOpening)
      Change(found->second, group_phase::kForming, now, "head_not_ready");
  }
}

void planner::UpdateStatement() {
  std::vector<fleet::serving_group> serving;
  for (const auto& [name, each] : groups_) {
    if (each.phase == group_phase::kServing && !HeadRests(each))
      serving.push_back({each.name, each.epoch, each.model, each.head()});
  }
  if (serving == statement_.groups && statement_.edition != 0)
    return;
  statement_.groups = std::move(serving);
  ++statement_.edition;
}

plan planner::Tick(base::time_point now) {
  plan out;
  if (!layout_ || term_ == 0)
    return out;
  if (!adopted_) {
    const bool all_reported =
        !members_.empty() &&
        std::all_of(members_.begin(), members_.end(), [&](const auto& each) {
          return each.second.reported_at != base::time_point() ||
                 each.second.lost || each.second.gone || Displaced(each.second);
        });
    if (!all_reported && now < stocktaking_until_) {
      AskWhereDue(out, now);
      return out;
    }
    Adopt(now);
    AdoptLoads(now);
  }
  for (auto& [id, each] : members_) {
    const auto& staged = each.facts.engine.staged_models;
    const auto& in = each.facts.engine.member;
    const bool still = each.facts.engine.busy ||
                       (in && in->state == fleet::member_state::kJoining);
    if (std::find(staged.begin(), staged.end(), each.loading) != staged.end() ||
        (each.loading == kUnknownModel && !still) ||
        each.loading_until + kOrderPatience < now)
      each.loading.clear();
  }
  for (auto it = groups_.begin(); it != groups_.end();) {
    group& of = it->second;
    if (of.phase == group_phase::kForming)
      StepForming(of, out, now);
    else if (of.phase == group_phase::kOpening)
      StepOpening(of, out, now);
    else if (of.phase == group_phase::kServing)
      StepServing(of, out, now);
    if (of.phase == group_phase::kClosing && StepClosing(of, out, now)) {
      changes_.push_back({of, "dissolved"});
      for (const base::instance_id& id : of.members)
        group_of_.erase(id);
      it = groups_.erase(it);
    } else {
      ++it;
    }
  }
  std::erase_if(members_, [&](const auto& each) {
    return each.second.gone && !group_of_.contains(each.first);
  });
  // At the first start replicas are listed one after the other; groups drawn up
  // from the first few would leave others without partners.
  const bool settled = requests_began_ || now - last_added_ >= kListSettles;
  FormGroups(settled, now);
  if (settled)
    MakeRoom(now);
  if (settled)
    StageSpares(out, now);
  for (auto& [name, of] : groups_) {
    if (of.phase == group_phase::kForming)
      StepForming(of, out, now);
  }
  AskWhereDue(out, now);
  UpdateStatement();
  return out;
}

base::time_point planner::NextTimer(base::time_point now) const {
  const bool busy =
      !adopted_ ||
      std::any_of(groups_.begin(), groups_.end(),
                  [](const auto& each) {
                    return each.second.phase != group_phase::kServing;
                  }) ||
      std::any_of(members_.begin(), members_.end(), [](const auto& each) {
        return each.second.question_due || !each.second.loading.empty();
      });
  return now + (busy ? kBusyTick : kIdleTick);
}

std::vector<group_change> planner::TakeChanges() {
  return std::exchange(changes_, {});
}

}  // namespace flamingoshunt::groups
