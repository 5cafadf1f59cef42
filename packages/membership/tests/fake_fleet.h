// Defines a fleet of agents in virtual time over a small fake network with
// delay, loss, one-way cuts, pauses and crashes, and a fake platform that keeps
// the node objects. One seed gives one run.
#ifndef FLAMINGOSHUNT_MEMBERSHIP_TESTS_FAKE_FLEET_H_
#define FLAMINGOSHUNT_MEMBERSHIP_TESTS_FAKE_FLEET_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "membership/agent.h"

namespace flamingoshunt::membership {

inline constexpr char kTestKey[] = "a cluster key for tests";
inline constexpr std::uint64_t kFirstIncarnation = 1764000000000;  // ms

struct fake_platform {
  bool down = false;
  bool lose_write_answers = false;
  std::string hidden_from_lists;
  std::uint64_t revision = 0;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::map<std::string, store::object> objects;

  store::reply Handle(const store::call& call) {
    using store::call_outcome;
    using store::operation;
    store::reply reply{call.id, call_outcome::kOk, {}, {}, {}};
    const bool write =
        call.op != operation::kGet && call.op != operation::kList;
    if (down) {
      reply.outcome = call_outcome::kUnavailable;
      return reply;
    }
    ++(write ? writes : reads);
    const auto found = objects.find(call.key.name);
    const bool exists = found != objects.end();
    if (call.op == operation::kList) {
      for (const auto& [name, object] : objects) {
        if (name != hidden_from_lists)
          reply.listed.push_back(object);
      }
    } else if (!exists && call.op != operation::kCreate) {
      reply.outcome = call_outcome::kNotFound;
    } else if (exists && write && call.expected != found->second.version) {
      reply.outcome = call_outcome::kConflict;
      reply.current = found->second;
    } else if (call.op == operation::kDelete) {
      objects.erase(found);
    } else if (call.op == operation::kGet) {
      reply.current = found->second;
    } else {
      reply.current = objects[call.key.name] = {
          call.key, base::revision(++revision), call.value};
    }
    if (write && lose_write_answers)
      return {call.id, call_outcome::kUnknown, {}, {}, {}};
    return reply;
  }
};

class fake_fleet {
 public:
  struct node {
    base::node_id id;
    std::string region;
    std::unique_ptr<agent> running;  // null while crashed
    std::uint64_t run = 0;           // rises with each start
    bool paused = false;
    std::vector<std::function<void()>> held;  // inputs while paused
    base::time_point next_wake = base::time_point::max();
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t messages_sent = 0;
    bool left = false;
  };
  struct observed {
    std::size_t by;
    peer change;
    base::time_point when;
  };

  explicit fake_fleet(std::uint64_t seed) : random_(seed) {}

  /// Adds a node without starting it.
  std::size_t Add(std::string region = "r0") {
    node& added = *nodes.emplace_back(std::make_unique<node>());
    added.id = base::node_id("n" + std::to_string(nodes.size() - 1));
    added.region = std::move(region);
    index_[added.id] = nodes.size() - 1;
    return nodes.size() - 1;
  }

  void Start(std::size_t at,
             std::uint64_t incarnation = kFirstIncarnation,
             base::duration after = {}) {
    const std::string name = nodes[at]->id.str();
    node& starting = *nodes[at];
    ++starting.run;
    starting.paused = starting.left = false;
    starting.running = agent_builder()
                           .Node(starting.id)
                           .Address("10.0.0.1:" + std::to_string(7000 + at))
                           .FailureDomain(base::failure_domain_id("zone"))
                           .Region(base::region_id(starting.region))
                           .Incarnation(incarnation)
                           .ClusterKeys({kTestKey})
                           .Timing(times)
                           .SpreadBudget(budget)
                           .Random(base::random_engine(random_()))
                           .Build();
    Deliver(at, after, [](agent& a, base::time_point t) { return a.Start(t); });
  }

  /// Adds and starts @p count nodes, all in one region, and lets them settle.
  void StartAll(std::size_t count, std::vector<std::string> regions = {"r0"}) {
    for (std::size_t at = 0; at < count; ++at)
      Add(regions[at % regions.size()]);
    for (std::size_t at = 0; at < count; ++at)
      Start(at, kFirstIncarnation, std::chrono::milliseconds(10 * at));
    RunFor(std::chrono::seconds(20));
  }

  void Crash(std::size_t at) {
    nodes[at]->running.reset();
    nodes[at]->held.clear();
    nodes[at]->next_wake = base::time_point::max();
  }

  void Pause(std::size_t at) { nodes[at]->paused = true; }

  void Resume(std::size_t at) {
    nodes[at]->paused = false;
    auto held = std::move(nodes[at]->held);
    nodes[at]->held.clear();
    for (const auto& input : held)
      input();
  }

  /// Makes sure that the node's next timer is served.
  void Wake(std::size_t at) {
    node& target = *nodes[at];
    const auto due = target.running->NextTimer();
    if (!due || *due >= target.next_wake)
      return;
    target.next_wake = *due;
    After(std::max(*due - now, base::duration::zero()),
          [this, at, run = target.run, due = *due] {
            if (nodes[at]->run != run || nodes[at]->next_wake != due)
              return;
            nodes[at]->next_wake = base::time_point::max();
            Apply(at, run, [](agent& a, base::time_point t) {
              return a.Handle(tick{}, t);
            });
          });
  }

  void Publish(std::size_t at,
               std::string topic,
               std::string key,
               std::string value) {
    Deliver(at, {}, [=](agent& a, base::time_point t) {
      return a.Handle(publish{topic, key, value}, t);
    });
  }

  void Leave(std::size_t at) {
    Deliver(at, {},
            [](agent& a, base::time_point t) { return a.Handle(leave{}, t); });
  }

  void RunFor(base::duration length) {
    const base::time_point end = now + length;
    while (!events_.empty() && events_.top().when <= end) {
      const event next = events_.top();
      events_.pop();
      now = next.when;
      next.act();
    }
    now = end;
  }

  /// @return how @p by sees @p of; kLeft when it does not know it.
  peer_state StateOf(std::size_t by, std::size_t of) const {
    const auto* record =
        nodes[by]->running->state().members().Find(nodes[of]->id);
    return record ? record->known.state : peer_state::kLeft;
  }

  /// @return whether all running nodes hold the same live records.
  bool Agree() const {
    std::set<std::uint64_t> digests;
    for (const auto& each : nodes) {
      if (each->running)
        digests.insert(each->running->state().digest());
    }
    return digests.size() <= 1;
  }

  /// @return the value of the item at node @p by; "(none)" when missing.
  std::string ValueAt(std::size_t by,
                      const std::string& topic,
                      const std::string& key,
                      std::size_t origin) const {
    const auto* record = nodes[by]->running->state().items().Find(
        ItemRecordId(topic, key, nodes[origin]->id));
    return record ? record->kept.value : "(none)";
  }

  std::size_t DeathsSeen(std::size_t of) const {
    return static_cast<std::size_t>(
        std::count_if(seen.begin(), seen.end(), [&](const observed& each) {
          return each.change.id == nodes[of]->id &&
                 each.change.state == peer_state::kDead;
        }));
  }

  base::time_point now;
  timing times;
  spread_budget budget;
  fake_platform store;
  std::vector<std::unique_ptr<node>> nodes;
  std::vector<observed> seen;
  double loss = 0;  ///< Share of messages lost, each way.
  std::function<bool(std::size_t from, std::size_t to)> cut =
      [](std::size_t, std::size_t) { return false; };
  std::function<void(std::size_t at, const item&)> on_item = [](std::size_t,
                                                                const item&) {};
  std::function<void(const peer_call&)> on_call = [](const peer_call&) {};
  base::duration near_delay = std::chrono::microseconds(1500);
  base::duration far_delay = std::chrono::milliseconds(40);
  base::duration platform_delay = std::chrono::milliseconds(5);
  /// HTTP header bytes of a request and of an answer.
  std::uint64_t request_overhead = 110;
  std::uint64_t answer_overhead = 70;

 private:
  struct event {
    base::time_point when;
    std::uint64_t order;
    std::function<void()> act;
    bool operator<(const event& other) const {
      return std::tie(other.when, other.order) < std::tie(when, order);
    }
  };
  using input = std::function<effects(agent&, base::time_point)>;

  void After(base::duration delay, std::function<void()> act) {
    events_.push({now + delay, next_order_++, std::move(act)});
  }

  // Gives an input to the run of a node that is current now, unless it ended.
  void Deliver(std::size_t at, base::duration delay, input in) {
    After(delay, [this, at, run = nodes[at]->run, in = std::move(in)] {
      Apply(at, run, in);
    });
  }

  void Apply(std::size_t at, std::uint64_t run, const input& in) {
    node& target = *nodes[at];
    if (!target.running || target.run != run)
      return;
    if (target.paused) {
      target.held.push_back([=, this] { Apply(at, run, in); });
      return;
    }
    const effects made = in(*target.running, now);
    target.left |= made.left;
    for (const peer& change : made.changes)
      seen.push_back({at, change, now});
    for (const item_received& each : made.items)
      on_item(at, each.received);
    for (const peer_call& call : made.calls)
      SendCall(at, call);
    for (const peer_answer& given : made.answers)
      SendAnswer(at, given);
    for (const store::call& call : made.platform_calls)
      SendPlatform(at, call);
    Wake(at);
  }

  base::duration DelayOf(std::size_t from, std::size_t to) {
    const auto usual =
        nodes[from]->region == nodes[to]->region ? near_delay : far_delay;
    const double factor = 0.8 + base::RandomUnit(random_) * 0.6;
    return base::duration(static_cast<std::int64_t>(usual.count() * factor));
  }

  bool IsLost(std::size_t from, std::size_t to) {
    return cut(from, to) || base::RandomUnit(random_) < loss;
  }

  void Account(std::size_t from, std::size_t to, std::uint64_t bytes) {
    nodes[from]->bytes_sent += bytes;
    nodes[from]->messages_sent += 1;
    nodes[to]->bytes_received += bytes;
  }

  void SendCall(std::size_t from, const peer_call& call) {
    on_call(call);
    const std::size_t to = index_.at(call.to);
    Account(from, to, call.body.size() + request_overhead);
    if (IsLost(from, to))
      return;
    const base::duration delay = DelayOf(from, to);
    if (!nodes[to]->running) {  // connection refused
      if (!IsLost(to, from))
        Deliver(from, 2 * delay, [id = call.id](agent& a, base::time_point t) {
          return a.Handle(peer_call_failed{id}, t);
        });
      return;
    }
    const peer_request_handle handle(++next_handle_);
    open_[handle] = {from, nodes[from]->run, call.id};
    Deliver(to, delay, [=](agent& a, base::time_point t) {
      return a.Handle(peer_request{handle, call.body}, t);
    });
  }

  void SendAnswer(std::size_t from, const peer_answer& given) {
    const auto found = open_.find(given.handle);
    const open_call asked = found->second;
    open_.erase(found);
    Account(from, asked.caller, given.body.size() + answer_overhead);
    if (IsLost(from, asked.caller) || nodes[asked.caller]->run != asked.run)
      return;
    Deliver(asked.caller, DelayOf(from, asked.caller),
            [id = asked.id, body = given.body](agent& a, base::time_point t) {
              return a.Handle(peer_call_answered{id, body}, t);
            });
  }

  void SendPlatform(std::size_t from, const store::call& call) {
    After(platform_delay, [=, this, run = nodes[from]->run] {
      const store::reply reply = store.Handle(call);
      if (nodes[from]->run == run)
        Deliver(from, platform_delay, [reply](agent& a, base::time_point t) {
          return a.Handle(reply, t);
        });
    });
  }

  struct open_call {
    std::size_t caller = 0;
    std::uint64_t run = 0;
    peer_call_id id;
  };

  base::random_engine random_;
  std::priority_queue<event> events_;
  std::uint64_t next_order_ = 0;
  std::uint64_t next_handle_ = 0;
  std::map<base::node_id, std::size_t> index_;
  std::map<peer_request_handle, open_call> open_;
};

}  // namespace flamingoshunt::membership

#endif  // FLAMINGOSHUNT_MEMBERSHIP_TESTS_FAKE_FLEET_H_
