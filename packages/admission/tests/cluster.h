// Defines the fake surroundings of admission tests: a catalogue, replicas that
// report their load, and several machines whose items reach each other after a
// delay, or not at all while a partition lasts. Time is virtual.
#ifndef FLAMINGOSHUNT_ADMISSION_TESTS_CLUSTER_H_
#define FLAMINGOSHUNT_ADMISSION_TESTS_CLUSTER_H_

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "admission/controller.h"
#include "base/clock.h"
#include "base/random.h"

namespace flamingoshunt::admission {

using namespace std::chrono_literals;

inline const base::entry_name kEntry("ripen-llm");

inline catalogue::snapshot MakeCatalogue(int workspaces = 3) {
  catalogue::snapshot all;
  all.version = base::revision(1);
  all.entries[kEntry].name = kEntry;
  for (int i = 0; i < workspaces; ++i) {
    const base::workspace_id id("w" + std::to_string(i));
    all.workspaces[id].id = id;
  }
  return all;
}

inline catalogue_in_force InForce(const catalogue::snapshot& all) {
  return {std::make_shared<catalogue::snapshot>(all), true};
}

inline replica::serving_changed Serving(
    int number,
    int slots,
    replica::serving_state state = replica::serving_state::kServing,
    std::uint64_t epoch = 1) {
  replica::serving_replica each;
  each.replica = base::replica_id("r" + std::to_string(number));
  each.epoch = base::epoch(epoch);
  each.entry = kEntry;
  each.failure_domain =
      base::failure_domain_id("d" + std::to_string(number % 3));
  each.region = base::region_id("home");
  each.members = {base::instance_id("i" + std::to_string(number))};
  each.slots = slots;
  each.state = state;
  return {each};
}

inline ask MakeAsk(const std::string& request, int workspace = 0) {
  ask made;
  made.shape.request = base::request_id(request);
  made.shape.workspace = base::workspace_id("w" + std::to_string(workspace));
  made.shape.entry = kEntry;
  made.shape.fingerprint = base::fingerprint(std::hash<std::string>()(request));
  return made;
}

inline release MakeRelease(
    const grant& granted,
    const ask& asked,
    routing::attempt_result result = routing::attempt_result::kCompleted,
    std::uint64_t tokens = 100) {
  routing::attempt_finished finished;
  finished.request = granted.request;
  finished.replica = granted.place.replica;
  finished.epoch = granted.place.epoch;
  finished.fingerprint = asked.shape.fingerprint;
  finished.result = result;
  finished.to_first_token = 300ms;
  finished.total = 3s;
  finished.tokens = tokens;
  return {finished};
}

template <class Kind>
std::vector<Kind> Only(const effects& all) {
  std::vector<Kind> found;
  for (const auto& each : all) {
    if (const auto* match = std::get_if<Kind>(&each))
      found.push_back(*match);
  }
  return found;
}

inline routing::location Place(int number) {
  return {base::node_id("n" + std::to_string(100 + number)),
          base::failure_domain_id("d" + std::to_string(number % 3)),
          base::region_id("home")};
}

/// Several nodes that exchange items.
class fleet {
 public:
  explicit fleet(int nodes, const catalogue::snapshot& all = MakeCatalogue())
      : last_version_(static_cast<std::size_t>(nodes)) {
    for (int i = 0; i < nodes; ++i)
      machines_.push_back(std::make_unique<machine>(
          machine_builder().Self(Place(i)).ProvisionalNodes(nodes).Build()));
    for (int i = 0; i < nodes; ++i) {
      Handle(i, Peers(i));
      Handle(i, InForce(all));
    }
  }

  int size() const { return static_cast<int>(machines_.size()); }
  base::time_point now() const { return now_; }
  machine& At(int node) { return *machines_[static_cast<std::size_t>(node)]; }

  /// Whether items pass between two nodes; all do unless a test says otherwise.
  std::function<bool(int from, int to)> passes = [](int, int) { return true; };
  base::duration delay = 100ms;

  effects Handle(int node, const input& given) {
    effects all = At(node).Handle(given, now_);
    for (const auto& news : Only<membership::publish>(all))
      Spread(node, news);
    return all;
  }

  void HandleEverywhere(const input& given) {
    for (int i = 0; i < size(); ++i)
      Handle(i, given);
  }

  /// Replaces a node by a process that remembers nothing.
  void Restart(int node,
               std::uint64_t incarnation,
               const catalogue::snapshot& all) {
    machines_[static_cast<std::size_t>(node)] =
        std::make_unique<machine>(machine_builder()
                                      .Self(Place(node))
                                      .Incarnation(incarnation)
                                      .ProvisionalNodes(machines_.size())
                                      .Build());
    Handle(node, Peers(node));
    Handle(node, InForce(all));
  }

  /// Moves time on, delivering items and ticks.
  /// @return effects other than items, with the node that has them.
  std::vector<std::pair<int, effect>> Advance(base::duration by) {
    std::vector<std::pair<int, effect>> seen;
    const base::time_point end = now_ + by;
    while (now_ < end) {
      now_ += 50ms;
      Deliver(seen);
      for (int i = 0; i < size(); ++i)
        Collect(i, Handle(i, tick{}), seen);
    }
    return seen;
  }

  limit_roster Roster(std::uint64_t version) const {
    limit_roster made;
    made.version = base::revision(version);
    for (int i = 0; i < size(); ++i)
      made.members.push_back({Place(i).node, 1});
    return made;
  }

 private:
  struct parcel {
    base::time_point due;
    int to = 0;
    membership::item item;
  };

  membership::peers_changed Peers(int self) const {
    membership::peers_changed all;
    for (int i = 0; i < size(); ++i) {
      if (i == self)
        continue;
      membership::peer each;
      each.id = Place(i).node;
      each.region = Place(i).region;
      all.peers.push_back(each);
    }
    return all;
  }

  void Spread(int from, const membership::publish& news) {
    const std::uint64_t version =
        ++last_version_[static_cast<std::size_t>(from)];
    for (int to = 0; to < size(); ++to) {
      if (to != from && passes(from, to))
        parcels_.push_back(
            {now_ + delay,
             to,
             {news.topic, news.key, Place(from).node, version, news.value}});
    }
  }

  void Deliver(std::vector<std::pair<int, effect>>& seen) {
    while (!parcels_.empty() && parcels_.front().due <= now_) {
      const parcel next = std::move(parcels_.front());
      parcels_.pop_front();
      Collect(next.to, Handle(next.to, next.item), seen);
    }
  }

  static void Collect(int node,
                      const effects& all,
                      std::vector<std::pair<int, effect>>& seen) {
    for (const auto& each : all) {
      if (!std::holds_alternative<membership::publish>(each))
        seen.emplace_back(node, each);
    }
  }

  base::time_point now_{};
  std::vector<std::unique_ptr<machine>> machines_;
  std::vector<std::uint64_t> last_version_;
  std::deque<parcel> parcels_;
};

}  // namespace flamingoshunt::admission

#endif  // FLAMINGOSHUNT_ADMISSION_TESTS_CLUSTER_H_
