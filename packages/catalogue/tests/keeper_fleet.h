// Defines a fleet of version keepers in virtual time: each with its platform
// client at one platform stand-in, joined by a small network that keeps the
// latest item of each origin and key, loses links, and tells who lives. An
// editor writes to the platform, and a check holds all the time: no node
// goes back, and no confirmed node lacks an edit accepted longer ago than the
// bound.
#ifndef FLAMINGOSHUNT_CATALOGUE_TESTS_KEEPER_FLEET_H_
#define FLAMINGOSHUNT_CATALOGUE_TESTS_KEEPER_FLEET_H_

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "catalogue/version_keeper.h"
#include "stand_ins/client_fleet.h"

namespace flamingoshunt::catalogue {

class keeper_fleet {
 public:
  static constexpr base::duration kBound = std::chrono::seconds(3);
  /// Longest wait of a client before it probes a platform that was down.
  static constexpr base::duration kFindOut = std::chrono::seconds(5);
  /// How long an edit is checked.
  static constexpr base::duration kChecked = std::chrono::seconds(30);
  static constexpr base::duration kCheckInterval =
      std::chrono::milliseconds(50);
  static constexpr base::duration kDetect = std::chrono::seconds(2);

  struct edit {
    store::object_key key;
    std::uint64_t generation = 0;
    base::time_point accepted;
    std::vector<std::optional<base::duration>> in_force;  // By node.
    // When a node that reaches more than half of the others first held it.
    std::optional<base::time_point> learnt;
  };

  keeper_fleet(int nodes, std::uint64_t seed)
      : clients(nodes, store::client_options{}, seed), random(seed) {
    clients.on_event = [this](int node, const store::watch_event& event) {
      Carry(node, keepers_[node]->Handle(event, now()));
    };
    clients.on_reply = [this](int node, const store::reply& answer) {
      Carry(node, keepers_[node]->Handle(answer, now()));
    };
    keepers_.resize(nodes);
    cut_.assign(nodes, std::vector<bool>(nodes, false));
    sees_dead_ = cut_;
    for (int node = 0; node < nodes; ++node)
      Start(node);
  }

  // Writes the next version of an entry, or a tombstone, as the command line
  // would: conditional on the version that was read.
  bool Edit(const std::string& name, bool remove = false) {
    store::call read;
    read.key = {"entry", name};
    const auto found = clients.platform.store.Apply(read);
    return Write(found, name, remove);
  }

  // The second half of an edit, so that tests can race two.
  bool Write(const store::reply& found,
             const std::string& name,
             bool remove = false) {
    std::uint64_t replaced = 0;
    if (found.current)
      replaced = Decode(*found.current).generation;
    const auto wall = base::wall_time(now().time_since_epoch());
    const std::uint64_t generation = NextGeneration(replaced, wall);
    const std::string writer = std::to_string(random());
    store::call write;
    write.key = {"entry", name};
    write.op =
        found.current ? store::operation::kUpdate : store::operation::kCreate;
    write.expected = found.current ? found.current->version : base::revision();
    write.value = EncodeStored(
        remove ? Tombstone(write.key, generation, writer)
               : Stored(Entry(name, generation), generation, writer));
    const auto reply = clients.platform.store.Apply(write);
    if (reply.outcome != store::call_outcome::kOk)
      return false;
    edits.push_back({write.key, generation, now(), {}, {}});
    edits.back().in_force.resize(keepers_.size());
    return true;
  }

  void Restart(int node) {
    clients.Restart(node);
    Start(node);
    for (int peer = 0; peer < size(); ++peer)
      Resend(peer, node);
  }

  // Cuts or mends both directions between two nodes, or one with @p one_way.
  void Cut(int from, int to, bool cut, bool one_way = false) {
    SetLink(from, to, cut);
    if (!one_way)
      SetLink(to, from, cut);
  }

  void CutOff(const std::set<int>& part, bool cut) {
    for (int inside : part) {
      for (int outside = 0; outside < size(); ++outside) {
        if (!part.contains(outside))
          Cut(inside, outside, cut);
      }
    }
  }

  void RunFor(base::duration span) {
    const base::time_point end = now() + span;
    clients.Settle();
    for (auto next = NextTimer(); next <= end; next = NextTimer()) {
      clients.AdvanceTo(next);
      Step();
    }
    clients.AdvanceTo(end);
  }

  // Broken invariants, one a line.
  std::string Faults() const {
    std::string text;
    for (const std::string& fault : faults)
      text += fault + '\n';
    return text;
  }

  version_keeper& node(int index) { return *keepers_[index]; }
  base::time_point now() const { return clients.now(); }
  int size() const { return static_cast<int>(keepers_.size()); }

  static entry Entry(const std::string& name, std::uint64_t generation) {
    entry item;
    item.name = base::entry_name(name);
    item.owner = "owner";
    item.model = "model";
    item.version = std::to_string(generation);
    return item;
  }

  stand_ins::client_fleet clients;
  base::random_engine random;
  std::vector<edit> edits;
  std::set<std::string> faults;  // Broken invariants, in words.
  std::uint64_t peer_bytes = 0;
  std::uint64_t peer_messages = 0;
  base::duration peer_latency = std::chrono::milliseconds(2);

 private:
  using held_map = std::map<std::string, std::uint64_t>;
  struct item_under_way {
    int to;
    membership::item item;
  };
  struct pending_view {
    base::time_point due;
    int node;
    int peer;
    bool dead;
  };

  static stored_item Decode(const store::object& found) {
    base::json_problems problems;
    return *DecodeStored(found.key, found.value, problems);
  }

  static std::string Name(int node) { return "node-" + std::to_string(node); }

  void Start(int node) {
    keeper_options options;
    options.self = base::node_id(Name(node));
    options.bound = kBound;
    keepers_[node] = std::make_unique<version_keeper>(options);
    held_.resize(keepers_.size());
    held_[node].clear();
    items_[node].clear();
    ++incarnation_[node];
    TellPeers(node);
    clients.Watch(node, store::watch_id(1), "entry");
    clients.Watch(node, store::watch_id(2), "workspace");
  }

  void TellPeers(int node) {
    membership::peers_changed changed;
    for (int peer = 0; peer < size(); ++peer) {
      if (peer == node)
        continue;
      membership::peer each;
      each.id = base::node_id(Name(peer));
      each.state = sees_dead_[node][peer] ? membership::peer_state::kDead
                                          : membership::peer_state::kAlive;
      changed.peers.push_back(each);
    }
    Carry(node, keepers_[node]->Handle(changed, now()));
  }

  void SetLink(int from, int to, bool cut) {
    if (cut_[from][to] == cut)
      return;
    cut_[from][to] = cut;
    views_.push_back({now() + kDetect, to, from, cut});
    if (!cut)
      Resend(from, to);
  }

  void Resend(int from, int to) {
    if (from == to)
      return;
    for (const auto& [key, item] : items_[from])
      Send(to, from, item);
  }

  void Send(int to, int from, const membership::item& item) {
    if (cut_[from][to])
      return;
    peer_bytes += item.topic.size() + item.key.size() + item.value.size() + 24;
    ++peer_messages;
    under_way_.emplace(now() + peer_latency, item_under_way{to, item});
  }

  void Carry(int node, const keeper_effects& effects) {
    if (effects.in_force)
      CheckRise(node, *effects.in_force);
    for (const membership::publish& each : effects.publish) {
      membership::item item{each.topic, each.key, base::node_id(Name(node)),
                            (incarnation_[node] << 32) + ++last_version_,
                            each.value};
      items_[node][each.key] = item;
      for (int peer = 0; peer < size(); ++peer) {
        if (peer != node)
          Send(peer, node, item);
      }
    }
    for (const store::call& request : effects.calls)
      clients.Submit(node, request);
  }

  base::time_point NextTimer() {
    auto next = clients.NextTimer().value_or(base::time_point::max());
    for (const auto& keeper : keepers_)
      next = std::min(next, keeper->NextTimer().value_or(next));
    if (!under_way_.empty())
      next = std::min(next, under_way_.begin()->first);
    for (const pending_view& view : views_)
      next = std::min(next, view.due);
    return std::max(next, now());
  }

  void Step() {
    clients.Settle();
    for (int node = 0; node < size(); ++node) {
      const auto timer = keepers_[node]->NextTimer();
      if (timer && *timer <= now())
        Carry(node, keepers_[node]->Tick(now()));
    }
    while (!under_way_.empty() && under_way_.begin()->first <= now()) {
      const item_under_way next = under_way_.begin()->second;
      under_way_.erase(under_way_.begin());
      Carry(next.to, keepers_[next.to]->Handle(
                         membership::item_received{next.item}, now()));
    }
    const auto due = views_;
    std::erase_if(views_, [&](const auto& view) { return view.due <= now(); });
    for (const pending_view& view : due) {
      if (view.due > now() || cut_[view.peer][view.node] != view.dead)
        continue;
      sees_dead_[view.node][view.peer] = view.dead;
      TellPeers(view.node);
    }
    CheckFresh();
  }

  void CheckRise(int node, const snapshot& in_force) {
    held_map held;
    for (const auto& [name, item] : in_force.entries)
      held[name.str()] = std::stoull(item.version);
    for (const auto& [name, generation] : held_[node]) {
      if (held.contains(name) && held[name] < generation)
        faults.insert(Name(node) + " went back on " + name);
    }
    held_[node] = std::move(held);
    for (edit& each : edits) {
      auto& when = each.in_force[node];
      if (!when && Has(node, each))
        when = now() - each.accepted;
    }
  }

  bool Has(int node, const edit& each) const {
    const stored_item* held = keepers_[node]->Held(each.key);
    return keepers_[node]->in_force() && held &&
           held->generation >= each.generation;
  }

  bool ReachesMost(int node) const {
    int reached = 1;
    for (int peer = 0; peer < size(); ++peer) {
      if (peer != node && !cut_[node][peer] && !cut_[peer][node])
        ++reached;
    }
    return 2 * reached > size();
  }

  // When every confirmed node must have the edit at the latest.
  base::time_point DeadlineOf(edit& each) {
    for (int node = 0; !each.learnt && node < size(); ++node) {
      if (ReachesMost(node) && Has(node, each))
        each.learnt = now();
    }
    auto deadline = base::time_point::max();
    if (each.learnt)
      deadline = *each.learnt + kBound;
    if (up_since_)
      deadline = std::min(
          deadline, std::max(each.accepted, *up_since_ + kFindOut) + kBound);
    return deadline;
  }

  void CheckFresh() {
    const auto& platform_faults = clients.platform.faults;
    if (platform_faults.refuse || platform_faults.silent)
      up_since_.reset();
    else if (!up_since_)
      up_since_ = now();
    if (now() < next_check_)
      return;
    next_check_ = now() + kCheckInterval;
    for (auto each = edits.rbegin(); each != edits.rend(); ++each) {
      if (now() - each->accepted > kChecked)
        return;
      if (DeadlineOf(*each) >= now())
        continue;
      for (int node = 0; node < size(); ++node) {
        if (keepers_[node]->Confirmed(now()) && !Has(node, *each))
          faults.insert(Name(node) + " is confirmed without edit " +
                        std::to_string(each->generation) + " of " +
                        each->key.name);
      }
    }
  }

  std::vector<std::unique_ptr<version_keeper>> keepers_;
  std::vector<held_map> held_;
  std::vector<std::vector<bool>> cut_;        // [from][to]
  std::vector<std::vector<bool>> sees_dead_;  // [node][peer]
  std::map<int, std::map<std::string, membership::item>> items_;
  std::map<int, std::uint64_t> incarnation_;
  std::uint64_t last_version_ = 0;
  std::multimap<base::time_point, item_under_way> under_way_;
  std::vector<pending_view> views_;
  base::time_point next_check_{};
  // Since when the platform has answered; nothing while it is down.
  std::optional<base::time_point> up_since_ =
      base::time_point() - std::chrono::hours(1);
};

}  // namespace flamingoshunt::catalogue

#endif  // FLAMINGOSHUNT_CATALOGUE_TESTS_KEEPER_FLEET_H_
