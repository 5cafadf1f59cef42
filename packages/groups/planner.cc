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

const char* NameOf(inventory::stage stage) {
  switch (stage) {
    case inventory::stage::kCollecting:
      return "inventory_begun";
    case inventory::stage::kPartial:
      return "inventory_partial";
    case inventory::stage::kComplete:
      return "inventory_complete";
  }
  return "unknown";
}

planner::planner(std::string service) : service_(std::move(service)) {}

void planner::SetLayout(const gateway::engine_profile& layout) {
  layout_ = layout;
  loads_.SetRate(layout.max_loads_per_second);
}

planner::replica_state* planner::Find(const base::instance_id& id) {
  const auto it = replicas_.find(id);
  return it == replicas_.end() ? nullptr : &it->second;
}

const planner::replica_state* planner::Find(const base::instance_id& id) const {
  const auto it = replicas_.find(id);
  return it == replicas_.end() ? nullptr : &it->second;
}

void planner::OnListed(const fleet::replica& listed, base::time_point now) {
  const auto [it, added] = replicas_.try_emplace(listed.id);
  replica_state& replica = it->second;
  replica.unlisted = false;
  const fleet::engine_state known_engine = replica.record.engine;
  const std::string previous_address =
      std::exchange(replica.record.address, "");
  replica.record = listed;
  replica.listed_start_ms = listed.engine.started_ms;
  UpdateAddressHolder(listed.address);
  if (previous_address != listed.address)
    UpdateAddressHolder(previous_address);
  if (added) {
    last_listed_ = now;
    replica.query_due = term_ != 0;
    NoteDomain(listed.engine.fabric_domain);
    return;
  }
  if (listed.engine.started_ms > known_engine.started_ms) {
    ResetOrderState(replica);
    return;
  }
  // The list lags behind, after an outage by a lot. Epochs only rise, so an
  // entry with an earlier one is outdated; the replica itself is queried for
  // its current state.
  const base::epoch listed_epoch = EpochOf(listed.engine);
  const bool is_outdated = listed.engine.started_ms < known_engine.started_ms ||
                           listed_epoch < EpochOf(known_engine);
  const bool report_is_newer = now - replica.reported_at < kListLag;
  if (is_outdated || report_is_newer)
    replica.record.engine = known_engine;
  const bool by_other_leader =
      listed_epoch > EpochOf(known_engine) && !IsOfThisTerm(listed_epoch);
  replica.query_due =
      replica.query_due || by_other_leader || (is_outdated && !report_is_newer);
}

void planner::ResetOrderState(replica_state& replica) {
  replica.accepted_join_group.clear();
  replica.loading_model.clear();
  replica.membership_known_at = {};
  replica.orders_begun.reset();
  replica.reported_member.reset();
  replica.left_epoch = {};
  replica.accepted_open_epoch = {};
  replica.handled_close_epoch = {};
  replica.lost = false;
  replica.lost_since.reset();
  ClearSilence(replica);
  replica.failed_queries = 0;
}

bool planner::IsOutdated(const replica_state& replica,
                         const fleet::engine_state& report,
                         base::time_point now) {
  return replica.orders_begun && report.orders_begun &&
         *report.orders_begun < *replica.orders_begun &&
         now - replica.order_begun_at < kListLag;
}

// Epochs of other terms are those of other leaders. An earlier one may not have
// learned yet that it was replaced, or its order was executed late.
void planner::NoteMembership(replica_state& replica) {
  const fleet::engine_state& state = replica.record.engine;
  const auto before = std::exchange(replica.reported_member, state.member);
  const auto& now_in = state.member;
  const bool joined = now_in && (!before || before->group != now_in->group ||
                                 before->epoch != now_in->epoch);
  if (joined && !IsOfThisTerm(now_in->epoch) && IsSettled(state.fabric_domain))
    changed_domains_.insert(state.fabric_domain);
}

bool planner::IsOfThisTerm(base::epoch epoch) const {
  return epoch.value() / kEpochsPerTerm == term_;
}

bool planner::ShowsLaterLeader(const fleet::order& order) const {
  const auto* join = std::get_if<fleet::join_group>(&order.body);
  return !join || IsOfThisTerm(join->epoch);
}

// A replica that has seen a later epoch never joins this one.
void planner::DropUnjoinable(const fleet::join_group& join,
                             base::time_point now) {
  const auto it = groups_.find(join.group);
  if (it != groups_.end() && it->second.epoch == join.epoch &&
      it->second.phase == group_phase::kForming)
    SetPhase(it->second, group_phase::kClosing, now, kMemberLostReason);
}

void planner::OnLeaving(const base::instance_id& id) {
  if (replica_state* replica = Find(id))
    replica->record.leaving = true;
}

void planner::OnUnlisted(const base::instance_id& id) {
  replica_state* replica = Find(id);
  if (!replica)
    return;
  replica->unlisted = true;
  UpdateAddressHolder(replica->record.address);
  // The replica may still run and only be disconnected from the platform.
  replica->query_due = true;
}

void planner::OnReport(const base::instance_id& id,
                       const fleet::engine_state& state,
                       base::time_point now) {
  replica_state* replica = Find(id);
  if (!replica)
    return;
  if (replica->displaced) {
    // The report comes from the replica that owns the address now.
    OnUnreachable(id, true, now);
    return;
  }
  replica->query_sent_at.reset();
  replica->inconclusive = false;
  if (state.started_ms < replica->record.engine.started_ms) {
    // An earlier process answers in its place.
    OnUnreachable(id, false, now);
    return;
  }
  if (state.started_ms > replica->record.engine.started_ms)
    ResetOrderState(*replica);
  replica->failed_queries = 0;
  replica->lost = false;
  replica->connection_refused = false;
  replica->lost_since.reset();
  ClearSilence(*replica);
  if (IsOutdated(*replica, state, now)) {
    replica->query_due = true;
    return;
  }
  replica->reported_at = now;
  replica->membership_known_at = now;
  replica->orders_begun = state.orders_begun;
  // A late or repeated join has put it back into the group that it left.
  if (state.member && state.member->epoch == replica->left_epoch)
    replica->left_epoch = {};
  const fleet::engine_state before =
      std::exchange(replica->record.engine, state);
  if (state.fabric_domain.empty())
    replica->record.engine.fabric_domain = before.fabric_domain;
  NoteMembership(*replica);
  NoteDomain(replica->record.engine.fabric_domain);
}

// A domain that appears later than the term has to be settled like the others.
void planner::NoteDomain(const base::fabric_domain_id& domain) {
  if (!domain.empty() && !IsSettled(domain))
    all_settled_ = false;
}

void planner::OnUnreachable(const base::instance_id& id,
                            bool refused,
                            base::time_point now) {
  replica_state* replica = Find(id);
  if (!replica)
    return;
  replica->query_sent_at.reset();
  replica->inconclusive = false;
  ++replica->failed_queries;
  replica->connection_refused = refused;
  if (!refused && replica->failed_queries < kFailedQueriesUntilLost) {
    replica->query_due = true;
    return;
  }
  replica->lost = true;
  ClearSilence(*replica);
  if (!replica->lost_since)
    replica->lost_since = now;
}

void planner::ClearSilence(replica_state& replica) {
  replica.silent_since.reset();
  replica.silent_queries = 0;
}

// @return whether it is silent and asked until it answers or is lost.
bool planner::IsAwaited(const replica_state& replica) {
  return replica.silent_since && !replica.lost && !replica.displaced;
}

void planner::OnSilent(const base::instance_id& id, base::time_point now) {
  replica_state* replica = Find(id);
  if (!replica)
    return;
  // Later than the query was sent: this node may have been paused since.
  if (!replica->silent_since)
    replica->silent_since = now;
  ++replica->silent_queries;
  replica->query_sent_at.reset();
  replica->inconclusive = false;
  replica->failed_queries = 0;
  if (now - *replica->silent_since < kSilenceUntilLost ||
      replica->silent_queries < kSilentQueriesUntilLost || replica->lost)
    return;
  replica->lost = true;
  replica->lost_since = now;
}

void planner::OnInconclusive(const base::instance_id& id) {
  replica_state* replica = Find(id);
  if (!replica)
    return;
  replica->query_sent_at.reset();
  replica->inconclusive = true;
  ClearSilence(*replica);
}

void planner::OnStallSuspected(const base::instance_id& head,
                               base::time_point now) {
  const auto it = group_of_.find(head);
  if (it == group_of_.end())
    return;
  for (const base::instance_id& id : groups_.at(it->second).members) {
    replica_state* replica = Find(id);
    if (replica && now - replica->reported_at > kFreshReportAge)
      replica->query_due = true;
  }
}

bool planner::IsUsable(const replica_state& replica) const {
  return !replica.unlisted && !replica.lost && !replica.record.leaving &&
         !replica.displaced;
}

// Finds the replica that an address belongs to: the one that started there
// last.
void planner::UpdateAddressHolder(const std::string& address) {
  std::vector<replica_state*> at_address;
  const replica_state* holder = nullptr;
  for (auto& [id, replica] : replicas_) {
    if (replica.record.address != address)
      continue;
    at_address.push_back(&replica);
    if (!replica.unlisted &&
        (!holder || replica.listed_start_ms >= holder->listed_start_ms))
      holder = &replica;
  }
  for (replica_state* replica : at_address)
    replica->displaced = holder && replica != holder;
}

bool planner::HasModel(const replica_state& replica,
                       const std::string& model) const {
  const auto& staged = replica.record.engine.staged_models;
  return replica.loading_model == model ||
         replica.record.engine.model == model ||
         std::find(staged.begin(), staged.end(), model) != staged.end();
}

bool planner::IsMemberOf(const replica_state& replica,
                         const group& group) const {
  const auto& membership = replica.record.engine.member;
  return membership && membership->group == group.name &&
         membership->epoch == group.epoch;
}

void planner::SetPhase(group& group,
                       group_phase phase,
                       base::time_point now,
                       std::string reason) {
  group.phase = phase;
  group.phase_since = now;
  group.reason = std::move(reason);
  changes_.push_back({group, NameOf(phase)});
}

void planner::Close(group& group,
                    fleet::close_mode mode,
                    std::string reason,
                    base::time_point now) {
  group.closing_mode = mode;
  if (replica_state* head = Find(group.head()))
    head->next_order_at = now;
  SetPhase(group, group_phase::kClosing, now, std::move(reason));
}

void planner::Send(replica_state& replica, fleet::order_body body, plan& out) {
  replica.order_pending = true;
  // A join presumes that the replica is in no group that serves, a leave that
  // no other leader has ordered it since: its answer counts as knowledge.
  const bool presumes_known_state =
      std::holds_alternative<fleet::join_group>(body) ||
      std::holds_alternative<fleet::leave_group>(body);
  const std::uint64_t number = next_order_++;
  out.orders.push_back(
      {fleet::order_id(number), replica.record.id, replica.record.address,
       term_, term_ * kFencesPerTerm + number, std::move(body),
       replica.membership_known_at, replica.orders_begun,
       replica.record.engine.started_ms, presumes_known_state});
}

void planner::OnOrderResult(const fleet::order& order,
                            fleet::order_result result,
                            base::time_point now) {
  replica_state* replica = Find(order.to);
  if (!replica)
    return;
  replica->order_pending = false;
  if (order.started_ms != replica->record.engine.started_ms) {
    // Answered by an earlier process of the replica, which knows nothing of it.
    replica->query_due = true;
    return;
  }
  const bool accepted = result == fleet::order_result::kAccepted ||
                        result == fleet::order_result::kDone;
  if (result == fleet::order_result::kNoAnswer)
    replica->query_due = true;
  // A leave takes effect at once, so that its answer says done.
  const bool begun =
      result == fleet::order_result::kAccepted ||
      (accepted && std::holds_alternative<fleet::leave_group>(order.body));
  if (begun && order.orders_known) {
    // A report with the effect may have come before the answer.
    replica->orders_begun =
        std::max(replica->orders_begun.value_or(0), *order.orders_known + 1);
    replica->order_begun_at = now;
  }
  if (result == fleet::order_result::kOtherInstance)
    OnUnreachable(order.to, true, now);
  replica->next_order_at =
      now + (accepted ? kOrderEffectMargin : kOrderRetryDelay);
  const auto* join = std::get_if<fleet::join_group>(&order.body);
  if (join && accepted) {
    replica->accepted_join_group = join->group;
    replica->accepted_join_epoch = join->epoch;
    replica->join_accepted_at = now;
  }
  const auto* leave = std::get_if<fleet::leave_group>(&order.body);
  if (leave && accepted) {
    replica->left_epoch = leave->epoch;
    replica->membership_known_at = now;
    replica->next_order_at = now;
  }
  if ((leave || join) && result == fleet::order_result::kStateConflict) {
    // It is in another group than was known, or in none.
    replica->membership_known_at = {};
    replica->query_due = true;
  }
  if (join && result == fleet::order_result::kFenced)
    DropUnjoinable(*join, now);
  const auto* close = std::get_if<fleet::close_group>(&order.body);
  if (close && (accepted || result == fleet::order_result::kStateConflict)) {
    replica->handled_close_epoch = close->epoch;
    replica->handled_close_mode = close->mode;
  }
  const auto* open = std::get_if<fleet::open_group>(&order.body);
  if (open)
    replica->open_answered_at = now;
  if (open && accepted)
    replica->accepted_open_epoch = open->epoch;
  if (open && result == fleet::order_result::kStateConflict) {
    const auto it = groups_.find(open->group);
    if (it != groups_.end() && it->second.epoch == open->epoch &&
        it->second.phase == group_phase::kOpening)
      SetPhase(it->second, group_phase::kForming, now, "head_not_ready");
  }
}

void planner::UpdateAnnouncement() {
  std::vector<fleet::serving_group> serving;
  for (const auto& [name, group] : groups_) {
    if (group.phase == group_phase::kServing && !IsHeadDraining(group))
      serving.push_back({group.name, group.epoch, group.model, group.head()});
  }
  if (serving == announcement_.groups && announcement_.edition != 0)
    return;
  announcement_.groups = std::move(serving);
  ++announcement_.edition;
}

plan planner::Tick(base::time_point now) {
  plan out;
  if (!layout_ || term_ == 0)
    return out;
  if (!adopted_ && now < term_began_at_ + kInventoryTime &&
      (replicas_.empty() || !UnsettledDomains().empty())) {
    QueryDueReplicas(out, now);
    return out;
  }
  ResettleDomains(now);
  if (!all_settled_)
    SettleDomains(now);
  if (!adopted_)
    AdoptProvisionally(now);
  for (auto& [id, replica] : replicas_) {
    const auto& staged = replica.record.engine.staged_models;
    const auto& membership = replica.record.engine.member;
    const bool still_loading =
        replica.record.engine.busy ||
        (membership && membership->state == fleet::member_state::kJoining);
    if (std::find(staged.begin(), staged.end(), replica.loading_model) !=
            staged.end() ||
        (replica.loading_model == kUnknownModel && !still_loading) ||
        replica.loading_until + kOrderEffectMargin < now)
      replica.loading_model.clear();
  }
  NoteLosses(now);
  for (auto it = groups_.begin(); it != groups_.end();) {
    group& group = it->second;
    if (group.provisional) {
      ++it;
      continue;
    }
    if (group.phase == group_phase::kForming)
      StepForming(group, out, now);
    else if (group.phase == group_phase::kOpening)
      StepOpening(group, out, now);
    else if (group.phase == group_phase::kServing)
      StepServing(group, out, now);
    if (group.phase == group_phase::kClosing && StepClosing(group, out, now)) {
      changes_.push_back({group, "dissolved"});
      if (group.reason == kLeavingReason)
        replaced_at_[group.model] = now;
      for (const base::instance_id& id : group.members)
        group_of_.erase(id);
      it = groups_.erase(it);
    } else {
      ++it;
    }
  }
  std::erase_if(replicas_, [&](const auto& entry) {
    const auto& domain = entry.second.record.engine.fabric_domain;
    return entry.second.unlisted && !group_of_.contains(entry.first) &&
           (domain.empty() || IsSettled(domain));
  });
  // At the first start replicas are listed one by one; groups formed from the
  // first few would leave others without enough partners.
  const bool list_settled =
      first_request_seen_ || now - last_listed_ >= kListSettleTime;
  census fleet = TakeCensus();
  UpdateTargets(fleet, now);
  FormGroups(list_settled, fleet, now);
  CloseEvacuated(now);
  if (list_settled && all_settled_)
    MakeRoom(fleet, now);
  if (list_settled)
    StageWeights(fleet, out, now);
  for (auto& [name, group] : groups_) {
    if (group.phase == group_phase::kForming)
      StepForming(group, out, now);
  }
  QueryDueReplicas(out, now);
  UpdateAnnouncement();
  return out;
}

base::time_point planner::NextTimer(base::time_point now) const {
  const bool busy =
      !all_settled_ ||
      std::any_of(groups_.begin(), groups_.end(),
                  [](const auto& entry) {
                    return entry.second.phase != group_phase::kServing;
                  }) ||
      std::any_of(replicas_.begin(), replicas_.end(), [](const auto& entry) {
        return entry.second.query_due || entry.second.inconclusive ||
               IsAwaited(entry.second) || !entry.second.loading_model.empty();
      });
  return now + (busy ? kBusyTickInterval : kIdleTickInterval);
}

std::vector<group_change> planner::TakeChanges() {
  return std::exchange(changes_, {});
}

}  // namespace flamingoshunt::groups
