// Defines replicas in virtual time as the tests need them: they take orders
// with fences and epochs, join and load in their time, and note every breach of
// the promises about groups.
#ifndef FLAMINGOSHUNT_GROUPS_TESTS_FAKE_REPLICAS_H_
#define FLAMINGOSHUNT_GROUPS_TESTS_FAKE_REPLICAS_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "groups/planner.h"

namespace flamingoshunt::groups::testing {

using std::chrono::milliseconds;

inline gateway::engine_profile TwoModels() {
  gateway::engine_profile pace;
  pace.slots = 26;
  pace.max_loads_per_second = 5.5;
  pace.max_concurrent_loads = 8;
  pace.form_time = milliseconds(300);
  gateway::model_layout large{
      "large", 6, 0.67, 1.0, milliseconds(16000), milliseconds(1600)};
  gateway::model_layout small{
      "small", 3, 0.33, 0.6, milliseconds(12000), milliseconds(1100)};
  pace.models = {large, small};
  return pace;
}

class fake_replicas {
 public:
  struct host {
    fleet::replica facts;
    bool dead = false;
    bool cut = false;      ///< Out of reach, but alive.
    bool foreign = false;  ///< Its address belongs to another service now.
    std::uint64_t fence = 0;
    base::epoch highest_epoch;
    std::vector<base::instance_id> members;  ///< Of the joined group.
    std::string joining_model;
    base::time_point joined_at{};
    base::time_point open_at{};
    bool opening = false;
  };

  fake_replicas(int domains, int in_each) : layout_(TwoModels()) {
    for (int domain = 0; domain < domains; ++domain) {
      for (int i = 0; i < in_each; ++i)
        Add(domain);
    }
  }

  base::instance_id Add(int domain) {
    host added;
    added.facts.id = base::instance_id("i" + std::to_string(100 + next_++));
    added.facts.service = "llm";
    added.facts.address = added.facts.id.str() + ":80";
    added.facts.engine.started_ms = 1;
    added.facts.engine.fabric_domain =
        base::fabric_domain_id("d" + std::to_string(domain));
    const auto id = added.facts.id;
    hosts_[id] = added;
    return id;
  }

  void ListAll(planner& to) {
    for (const auto& [id, each] : hosts_) {
      if (!each.dead)
        to.Listed(each.facts, now_);
    }
  }

  /// Runs the planner and the replicas for @p length in small steps.
  void Run(planner& acting, base::duration length) {
    const base::time_point end = now_ + length;
    while (now_ < end) {
      now_ += milliseconds(10);
      Progress();
      Deliver(acting);
      const plan next = acting.Tick(now_);
      for (const fleet::order& order : next.orders)
        Carry(acting, order);
      for (const question& each : next.questions)
        Answer(acting, each.to);
      for (const group_change& change : acting.TakeChanges()) {
        if (on_change)
          on_change(change);
      }
    }
  }

  host& At(const base::instance_id& id) { return hosts_.at(id); }
  base::time_point now() const { return now_; }
  const std::map<base::instance_id, host>& hosts() const { return hosts_; }
  const std::vector<std::string>& breaches() const { return breaches_; }
  const gateway::engine_profile& layout() const { return layout_; }

  /// Heads that serve with every member alive and joined.
  int WholeGroups(const std::string& model) const {
    int whole = 0;
    for (const auto& [id, each] : hosts_) {
      const auto& in = each.facts.engine.member;
      if (!each.dead && in && in->rank == 0 &&
          in->state == fleet::member_state::kOpen &&
          each.facts.engine.model == model && IsWhole(each))
        ++whole;
    }
    return whole;
  }

  double late_share = 0;  ///< Orders without an answer, carried out late.
  base::random_engine random{1};

 private:
  struct late_order {
    base::time_point due;
    fleet::order order;
  };

  bool IsWhole(const host& head) const {
    return std::all_of(head.members.begin(), head.members.end(),
                       [&](const auto& id) {
                         const host& each = hosts_.at(id);
                         const auto& in = each.facts.engine.member;
                         return !each.dead && in &&
                                in->group == head.facts.engine.member->group &&
                                in->epoch == head.facts.engine.member->epoch &&
                                in->state != fleet::member_state::kJoining;
                       });
  }

  void Progress() {
    for (auto& [id, each] : hosts_) {
      auto& in = each.facts.engine.member;
      if (each.dead || !in)
        continue;
      if (in->state == fleet::member_state::kJoining &&
          now_ >= each.joined_at) {
        in->state = fleet::member_state::kReady;
        each.facts.engine.model = each.joining_model;
        each.facts.engine.staged_models = {each.joining_model};
        ready_.insert({id, in->epoch});
      }
      if (each.opening && now_ >= each.open_at) {
        each.opening = false;
        in->state = fleet::member_state::kOpen;
        for (const auto& member : each.members) {
          if (!ready_.contains({member, in->epoch}))
            breaches_.push_back(id.str() + " opened without " + member.str());
        }
      }
    }
    for (auto& [id, stage] : staging_) {
      if (!stage.first.empty() && now_ >= stage.second) {
        hosts_.at(id).facts.engine.staged_models = {stage.first};
        stage.first.clear();
      }
    }
  }

  void Deliver(planner& acting) {
    while (!late_.empty() && late_.front().due <= now_) {
      const fleet::order order = late_.front().order;
      late_.pop_front();
      Execute(order);
    }
    (void)acting;
  }

  void Carry(planner& acting, const fleet::order& order) {
    host& to = hosts_.at(order.to);
    if (to.foreign) {
      acting.Settled(order, fleet::order_result::kOtherInstance, now_);
      return;
    }
    if (to.dead || to.cut) {
      acting.Settled(order, fleet::order_result::kNoAnswer, now_);
      return;
    }
    if (base::RandomUnit(random) < late_share) {
      late_.push_back({now_ + milliseconds(2000), order});
      acting.Settled(order, fleet::order_result::kNoAnswer, now_);
      return;
    }
    acting.Settled(order, Execute(order), now_);
  }

  void Answer(planner& acting, const base::instance_id& id) {
    const host& of = hosts_.at(id);
    // Whoever listens at the address answers, as some replicas do whatever
    // name they are called by.
    const auto there =
        std::find_if(hosts_.begin(), hosts_.end(), [&](const auto& each) {
          return !each.second.dead &&
                 each.second.facts.address == of.facts.address;
        });
    if (of.foreign)
      acting.Unreachable(id, true, now_);
    else if (of.dead && there != hosts_.end())
      acting.Reported(id, there->second.facts.engine, now_);
    else if (of.dead || of.cut)
      acting.Unreachable(id, of.dead && refuse_when_dead, now_);
    else
      acting.Reported(id, of.facts.engine, now_);
  }

  fleet::order_result Execute(const fleet::order& order) {
    host& to = hosts_.at(order.to);
    if (to.dead)
      return fleet::order_result::kNoAnswer;
    if (order.fence < to.fence)
      return fleet::order_result::kFenced;
    to.fence = order.fence;
    if (const auto* join = std::get_if<fleet::join_group>(&order.body))
      return Join(to, *join);
    if (const auto* open = std::get_if<fleet::open_group>(&order.body))
      return Open(to, *open);
    if (const auto* close = std::get_if<fleet::close_group>(&order.body))
      return Close(to, *close);
    if (const auto* leave = std::get_if<fleet::leave_group>(&order.body)) {
      auto& in = to.facts.engine.member;
      if (!in || in->group != leave->group || in->epoch != leave->epoch)
        return fleet::order_result::kStateConflict;
      in.reset();
      to.opening = false;
      return fleet::order_result::kAccepted;
    }
    const auto& stage = std::get<fleet::stage_model>(order.body);
    staging_[order.to] = {stage.model, now_ + Load(stage.model)};
    return fleet::order_result::kAccepted;
  }

  base::duration Load(const std::string& model) const {
    return layout_.Find(model)->load_time / (requests_began ? 1 : 10);
  }

  fleet::order_result Join(host& to, const fleet::join_group& join) {
    auto& in = to.facts.engine.member;
    if (in && in->group == join.group && in->epoch == join.epoch)
      return fleet::order_result::kDone;
    if (join.epoch < to.highest_epoch)
      return fleet::order_result::kFenced;
    if (in && !to.members.empty()) {
      const host& head = hosts_.at(to.members.front());
      const auto& of = head.facts.engine.member;
      const bool same = of && of->group == in->group && of->epoch == in->epoch;
      if (!head.dead && same &&
          (of->state == fleet::member_state::kOpen ||
           of->state == fleet::member_state::kClosing))
        breaches_.push_back(to.facts.id.str() + " left " + in->group +
                            " while its head was open");
    }
    to.highest_epoch = join.epoch;
    base::duration takes = Load(join.model);
    const auto& staged = to.facts.engine.staged_models;
    if (to.facts.engine.model == join.model)
      takes = milliseconds(200);
    else if (std::find(staged.begin(), staged.end(), join.model) !=
             staged.end())
      takes = layout_.Find(join.model)->warm_load_time;
    const auto rank =
        std::find(join.members.begin(), join.members.end(), to.facts.id) -
        join.members.begin();
    to.members = join.members;
    to.joining_model = join.model;
    to.joined_at = now_ + takes;
    to.opening = false;
    in = fleet::membership{join.group, join.epoch, static_cast<int>(rank),
                           fleet::member_state::kJoining};
    return fleet::order_result::kAccepted;
  }

  bool Names(const host& to,
             const std::string& group,
             base::epoch epoch) const {
    const auto& in = to.facts.engine.member;
    return in && in->group == group && in->epoch == epoch && in->rank == 0;
  }

  fleet::order_result Open(host& to, const fleet::open_group& open) {
    if (!Names(to, open.group, open.epoch))
      return fleet::order_result::kStateConflict;
    const auto state = to.facts.engine.member->state;
    if (state == fleet::member_state::kOpen)
      return fleet::order_result::kDone;
    if (state != fleet::member_state::kReady)
      return fleet::order_result::kStateConflict;
    to.opening = true;
    to.open_at = now_ + layout_.form_time;
    return fleet::order_result::kAccepted;
  }

  fleet::order_result Close(host& to, const fleet::close_group& close) {
    if (!Names(to, close.group, close.epoch))
      return fleet::order_result::kStateConflict;
    auto& state = to.facts.engine.member->state;
    if (state == fleet::member_state::kReady && !to.opening)
      return fleet::order_result::kDone;
    to.opening = false;
    state = fleet::member_state::kReady;
    return fleet::order_result::kAccepted;
  }

 public:
  bool refuse_when_dead = false;
  std::function<void(const group_change&)> on_change;
  bool requests_began = false;

 private:
  gateway::engine_profile layout_;
  int next_ = 0;
  base::time_point now_{std::chrono::hours(1)};
  std::map<base::instance_id, host> hosts_;
  std::set<std::pair<base::instance_id, base::epoch>> ready_;
  std::map<base::instance_id, std::pair<std::string, base::time_point>>
      staging_;
  std::deque<late_order> late_;
  std::vector<std::string> breaches_;
};

/// A planner that acts under @p term and knows all of @p replicas.
inline planner MakePlanner(fake_replicas& replicas, std::uint64_t term = 1) {
  planner acting("llm");
  acting.SetLayout(replicas.layout());
  replicas.ListAll(acting);
  acting.BeginTerm(term, replicas.now());
  return acting;
}

}  // namespace flamingoshunt::groups::testing

#endif  // FLAMINGOSHUNT_GROUPS_TESTS_FAKE_REPLICAS_H_
