#include "groups/planner.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace flamingoshunt::groups {
namespace {

using std::chrono::milliseconds;

// Epochs of a term start here, so that those of a later term are higher.
constexpr std::uint64_t kEpochsPerTerm = 1'000'000;
// Fences of a term start here, likewise.
constexpr std::uint64_t kFencesPerTerm = 1'000'000'000;
// A listed state counts against a report only when the report is this old: the
// list shows changes late.
constexpr milliseconds kListLag{1500};
// Time for the replicas to answer before a new actor takes stock.
constexpr milliseconds kStocktaking{600};
constexpr milliseconds kListSettles{400};
// Between an order without a usable answer and the next try.
constexpr milliseconds kOrderRetry{300};
// An accepted order that shows no effect is repeated after its time and this.
constexpr milliseconds kOrderPatience{2000};
// Requests of a closing group get so long to complete before they are cut and
// continue elsewhere.
constexpr milliseconds kFinishBound{1500};
// After the time that a head takes to open.
constexpr milliseconds kOpenMargin{20};
// A join whose model the replica had in its last group.
constexpr milliseconds kRejoin{200};
constexpr milliseconds kAskSoon{80};
constexpr milliseconds kAskLoading{300};
constexpr milliseconds kAskLost{2000};
constexpr milliseconds kAskLostHead{250};
// How long a head without an answer is asked again before it is given up.
constexpr milliseconds kLostHead{1000};
// A question without any answer counts as failed after this.
constexpr milliseconds kQuestionBound{2000};
// A report younger than this answers a new suspicion as well.
constexpr milliseconds kFreshReport{150};
// Questions in a row without an answer that make a replica lost. A single one
// may have met a lost packet.
constexpr int kFailuresUntilLost = 2;
// Before the first request loads take this part of their time.
constexpr int kEarlyLoadDivisor = 10;
// Before the first request so many times the loads that run at full speed are
// started: they share the rate, but what has begun stays cheap.
constexpr int kEarlyLoadsAtOnce = 2;
// Preference for a model that a domain doesn't serve yet: keeps the sizes mixed
// so that few replicas of a domain are left over.
constexpr double kMixBonus = 0.3;
constexpr milliseconds kBusyTick{40};
constexpr milliseconds kIdleTick{400};
// Groups of one model that are changed at once because members leave.
constexpr int kPlannedAtOnce = 1;
constexpr char kLeavingReason[] = "member_leaving";
constexpr double kSlow = 1.5;  // A slower replica is taken last.

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

void planner::SetLayout(const gateway::engine_pace& layout) {
  layout_ = layout;
  loads_.SetRate(layout.loads_per_second);
}

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
  of.facts = replica;
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
  // It may only be cut off from the platform.
  of->question_due = true;
}

void planner::Reported(const base::instance_id& id,
                       const fleet::engine_state& state,
                       base::time_point now) {
  member* of = Find(id);
  if (!of)
    return;
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
  return !of.gone && !of.lost && !of.facts.leaving;
}

bool planner::Holds(const member& of, const std::string& model) const {
  const auto& staged = of.facts.engine.staged;
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

// Rebuilds the groups from what the replicas say of themselves.
void planner::Adopt(base::time_point now) {
  adopted_ = true;
  std::map<std::pair<std::string, base::epoch>, std::vector<const member*>>
      found;
  for (const auto& [id, each] : members_) {
    if (each.facts.engine.member)
      found[{each.facts.engine.member->group, each.facts.engine.member->epoch}]
          .push_back(&each);
  }
  for (auto& [key, in] : found) {
    std::sort(in.begin(), in.end(), [](const member* a, const member* b) {
      return a->facts.engine.member->rank < b->facts.engine.member->rank;
    });
    const member& head = *in.front();
    const fleet::membership& of = *head.facts.engine.member;
    const auto* model = layout_->Find(head.facts.engine.model);
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
    adopted.model = head.facts.engine.model;
    for (const member* each : in) {
      adopted.members.push_back(each->facts.id);
      group_of_[each->facts.id] = adopted.name;
    }
    group& placed = groups_[adopted.name] = std::move(adopted);
    if (!whole)
      Close(placed, fleet::close_mode::kCut, "incomplete_when_adopted", now);
    else if (of.state == fleet::member_state::kOpen)
      Change(placed, group_phase::kServing, now, "adopted");
    else if (of.state == fleet::member_state::kClosing)
      Close(placed, fleet::close_mode::kFinish, "closing_when_adopted", now);
    else
      Change(placed, group_phase::kForming, now, "adopted");
  }
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
  const bool accepted = result == fleet::order_result::kBegun ||
                        result == fleet::order_result::kDone;
  if (result == fleet::order_result::kNoAnswer)
    of->question_due = true;
  of->order_not_before = now + (accepted ? kOrderPatience : kOrderRetry);
  const auto* join = std::get_if<fleet::join_group>(&order.body);
  if (join && accepted) {
    of->ordered_group = join->group;
    of->ordered_epoch = join->epoch;
    of->ordered_at = now;
  }
  const auto* leave = std::get_if<fleet::leave_group>(&order.body);
  if (leave && (accepted || result == fleet::order_result::kUnfit)) {
    of->left = leave->epoch;
    of->order_not_before = now;
  }
  const auto* close = std::get_if<fleet::close_group>(&order.body);
  if (close && (accepted || result == fleet::order_result::kUnfit)) {
    of->ordered_close = close->epoch;
    of->closed_by = close->mode;
  }
  const auto* open = std::get_if<fleet::open_group>(&order.body);
  if (open)
    of->opened_at = now;
  if (open && accepted)
    of->ordered_open = open->epoch;
  if (open && result == fleet::order_result::kUnfit) {
    const auto found = groups_.find(open->group);
    if (found != groups_.end() && found->second.epoch == open->epoch &&
        found->second.phase == group_phase::kOpening)
      Change(found->second, group_phase::kForming, now, "head_not_ready");
  }
}

base::duration planner::LoadTime(const std::string& model) const {
  const auto* layout = layout_->Find(model);
  const base::duration full = layout ? layout->load : milliseconds(0);
  return requests_began_ ? full : full / kEarlyLoadDivisor;
}

// The time that a member's join takes when nothing goes wrong.
base::duration planner::JoinTime(const member& of,
                                 const std::string& model) const {
  if (of.facts.engine.model == model)
    return kRejoin;
  const auto& staged = of.facts.engine.staged;
  const auto* layout = layout_->Find(model);
  if (layout && std::find(staged.begin(), staged.end(), model) != staged.end())
    return layout->warm;
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
      Close(of, fleet::close_mode::kCut, "member_lost_while_opening", now);
      return;
    }
  }
  member* head = Find(of.head());
  // A report tells late; the head serves when its time to open is over.
  const bool open_taken = head->ordered_open == of.epoch &&
                          now >= head->opened_at + layout_->form + kOpenMargin;
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
    if (!each || each->lost) {
      Close(of, fleet::close_mode::kCut, "member_lost:" + id.str(), now);
      return;
    }
    if (!IsIn(*each, of)) {
      Close(of, fleet::close_mode::kCut, "member_restarted:" + id.str(), now);
      return;
    }
    // One that is no longer listed but answers is leaving, or cut off.
    leaving += each->facts.leaving || each->gone ? 1 : 0;
  }
  const member& head = *Find(of.head());
  const auto state = head.facts.engine.member->state;
  if (state == fleet::member_state::kBroken) {
    Close(of, fleet::close_mode::kCut, "broken", now);
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
      Close(of, fleet::close_mode::kCut, "head_leaving", now);
    return;
  }
  // A leaving member stays while its head has work: its group serves on until
  // it can be whole again at once, and groups take turns, so that many that
  // leave together don't end all service.
  const bool turn =
      WarmIn(head.facts.engine.fabric_domain, of.model) >= leaving &&
      ClosingForOthers(of.model) < kPlannedAtOnce;
  if (turn)
    Close(of, fleet::close_mode::kFinish, kLeavingReason, now);
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
  if (told && head->closed_by == fleet::close_mode::kCut)
    return true;
  const bool reported_since = head->reported_at > of.since;
  if (reported_since || head->facts.engine.started_ms > of.head_started_ms) {
    if (!IsIn(*head, of))
      return true;
    const auto state = head->facts.engine.member->state;
    // An order to open shows only when it is done.
    const bool opening = head->reported_at < head->opened_at + layout_->form;
    if (state == fleet::member_state::kBroken ||
        (state == fleet::member_state::kReady && told && !opening))
      return true;
  }
  if (of.close == fleet::close_mode::kFinish && now - of.since > kFinishBound) {
    of.close = fleet::close_mode::kCut;
    head->order_not_before = now;
  }
  if (!head->order_pending && now >= head->order_not_before)
    Send(*head, fleet::close_group{of.name, of.epoch, of.close}, out);
  return false;
}

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

double planner::Need(const gateway::model_layout& model) const {
  double usable = 0;
  for (const auto& [id, each] : members_)
    usable += Usable(each) ? 1 : 0;
  const double target = std::max(1.0, model.share * usable / model.size);
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
                          ? layout_->loads_at_once
                          : layout_->loads_at_once * kEarlyLoadsAtOnce;
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
        each->facts.engine.staged.empty() && each->loading.empty();
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
    if (!candidate || !MayLoad(candidate->loads, now))
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

void planner::StageSpares(plan& out, base::time_point now) {
  auto models = layout_->models;
  std::sort(models.begin(), models.end(),
            [](const auto& a, const auto& b) { return a.size > b.size; });
  for (const auto& domain : Domains()) {
    const auto free = FreeIn(domain);
    for (const auto& model : models) {
      const auto holds = [&](const member* each) {
        return Holds(*each, model.name);
      };
      if (std::any_of(free.begin(), free.end(), holds))
        continue;
      const auto empty =
          std::find_if(free.begin(), free.end(), [&](const member* each) {
            return each->facts.engine.staged.empty() && each->loading.empty() &&
                   !each->order_pending && now >= each->order_not_before;
          });
      if (empty == free.end() || !MayLoad(1, now))
        continue;
      member& spare = *Find((*empty)->facts.id);
      spare.loading = model.name;
      spare.loading_until = now + LoadTime(model.name);
      loads_.Note(1, now);
      Send(spare, fleet::stage_model{model.name}, out);
    }
  }
}

void planner::Ask(member& of, plan& out, base::time_point now) {
  of.question_due = false;
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
        if (!ordered || ready)
          continue;
        const base::duration join = JoinTime(*each, of.model);
        if (now - each->ordered_at >= join * 9 / 10)
          ask_every(*each, kAskSoon);
        else
          ask_every(*each, kAskLoading);
      }
    } else if (of.phase == group_phase::kOpening && head) {
      if (now - of.since >= layout_->form * 9 / 10)
        ask_every(*head, kAskSoon);
    } else if (of.phase == group_phase::kClosing && head) {
      ask_every(*head, head->lost ? kAskLostHead : kAskSoon);
    }
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
        std::all_of(members_.begin(), members_.end(), [](const auto& each) {
          return each.second.reported_at != base::time_point() ||
                 each.second.lost || each.second.gone;
        });
    if (!all_reported && now < stocktaking_until_) {
      AskWhereDue(out, now);
      return out;
    }
    Adopt(now);
  }
  for (auto& [id, each] : members_) {
    const auto& staged = each.facts.engine.staged;
    if (std::find(staged.begin(), staged.end(), each.loading) != staged.end() ||
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
