// Defines the fixture of the admission tests: a catalogue, serving replicas,
// and several admission controllers whose items reach each other after a delay,
// or not at all during a partition. Time is virtual.
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
  catalogue::snapshot snapshot;
  snapshot.version = base::revision(1);
  snapshot.entries[kEntry].name = kEntry;
  for (int i = 0; i < workspaces; ++i) {
    const base::workspace_id id("w" + std::to_string(i));
    snapshot.workspaces[id].id = id;
  }
  return snapshot;
}

inline catalogue_in_force InForce(const catalogue::snapshot& snapshot) {
  return {std::make_shared<catalogue::snapshot>(snapshot), true};
}

inline replica::serving_changed Serving(
    int number,
    int slots,
    replica::serving_state state = replica::serving_state::kServing,
    std::uint64_t epoch = 1) {
  replica::serving_replica serving;
  serving.replica = base::replica_id("r" + std::to_string(number));
  serving.epoch = base::epoch(epoch);
  serving.entry = kEntry;
  serving.failure_domain =
      base::failure_domain_id("d" + std::to_string(number % 3));
  serving.region = base::region_id("home");
  serving.members = {base::instance_id("i" + std::to_string(number))};
  serving.slots = slots;
  serving.state = state;
  return {serving};
}

inline slot_request MakeRequest(const std::string& request, int workspace = 0) {
  slot_request result;
  result.shape.request = base::request_id(request);
  result.shape.workspace = base::workspace_id("w" + std::to_string(workspace));
  result.shape.entry = kEntry;
  result.shape.fingerprint =
      base::fingerprint(std::hash<std::string>()(request));
  return result;
}

inline release MakeRelease(
    const grant& slot_grant,
    const slot_request& request,
    routing::attempt_result result = routing::attempt_result::kCompleted,
    std::uint64_t tokens = 100) {
  routing::attempt_finished finished;
  finished.request = slot_grant.request;
  finished.replica = slot_grant.place.replica;
  finished.epoch = slot_grant.place.epoch;
  finished.fingerprint = request.shape.fingerprint;
  finished.result = result;
  finished.to_first_token = 300ms;
  finished.total = 3s;
  finished.tokens = tokens;
  return {finished};
}

template <class Kind>
std::vector<Kind> EffectsOf(const effects& candidates) {
  std::vector<Kind> matches;
  for (const auto& effect : candidates) {
    if (const auto* match = std::get_if<Kind>(&effect))
      matches.push_back(*match);
  }
  return matches;
}

inline routing::location LocationOf(int number) {
  return {base::node_id("n" + std::to_string(100 + number)),
          base::failure_domain_id("d" + std::to_string(number % 3)),
          base::region_id("home")};
}

/// Several nodes that exchange membership items.
class simulated_cluster {
 public:
  explicit simulated_cluster(
      int nodes,
      const catalogue::snapshot& snapshot = MakeCatalogue())
      : last_version_(static_cast<std::size_t>(nodes)) {
    for (int i = 0; i < nodes; ++i)
      controllers_.push_back(
          std::make_unique<controller>(controller_builder()
                                           .Self(LocationOf(i))
                                           .ProvisionalNodes(nodes)
                                           .Build()));
    for (int i = 0; i < nodes; ++i) {
      Handle(i, PeersOf(i));
      Handle(i, InForce(snapshot));
    }
  }

  int size() const { return static_cast<int>(controllers_.size()); }
  base::time_point now() const { return now_; }
  controller& At(int node) {
    return *controllers_[static_cast<std::size_t>(node)];
  }

  /// Whether items sent now reach the other node; all do unless a test sets it.
  std::function<bool(int from, int to)> can_deliver = [](int, int) {
    return true;
  };
  base::duration delay = 100ms;

  effects Handle(int node, const input& message) {
    effects produced = At(node).Handle(message, now_);
    for (const auto& publication : EffectsOf<membership::publish>(produced))
      Broadcast(node, publication);
    return produced;
  }

  void HandleEverywhere(const input& message) {
    for (int i = 0; i < size(); ++i)
      Handle(i, message);
  }

  /// Replaces a node by a new process without state.
  void Restart(int node,
               std::uint64_t incarnation,
               const catalogue::snapshot& snapshot) {
    controllers_[static_cast<std::size_t>(node)] =
        std::make_unique<controller>(controller_builder()
                                         .Self(LocationOf(node))
                                         .Incarnation(incarnation)
                                         .ProvisionalNodes(controllers_.size())
                                         .Build());
    Handle(node, PeersOf(node));
    Handle(node, InForce(snapshot));
  }

  /// Advances the time and delivers items and ticks.
  /// @return effects other than published items, each with its node.
  std::vector<std::pair<int, effect>> Advance(base::duration by) {
    std::vector<std::pair<int, effect>> observed;
    const base::time_point end = now_ + by;
    while (now_ < end) {
      now_ += 50ms;
      Deliver(observed);
      for (int i = 0; i < size(); ++i)
        CollectEffects(i, Handle(i, tick{}), observed);
    }
    return observed;
  }

  limit_roster Roster(std::uint64_t version) const {
    limit_roster result;
    result.version = base::revision(version);
    for (int i = 0; i < size(); ++i)
      result.members.push_back({LocationOf(i).node, 1});
    return result;
  }

 private:
  struct pending_item {
    base::time_point due;
    int to = 0;
    membership::item item;
  };

  membership::peers_changed PeersOf(int self) const {
    membership::peers_changed changed;
    for (int i = 0; i < size(); ++i) {
      if (i == self)
        continue;
      membership::peer peer;
      peer.id = LocationOf(i).node;
      peer.region = LocationOf(i).region;
      changed.peers.push_back(peer);
    }
    return changed;
  }

  void Broadcast(int from, const membership::publish& publication) {
    const std::uint64_t version =
        ++last_version_[static_cast<std::size_t>(from)];
    for (int to = 0; to < size(); ++to) {
      if (to != from && can_deliver(from, to))
        pending_items_.push_back(
            {now_ + delay,
             to,
             {publication.topic, publication.key, LocationOf(from).node,
              version, publication.value}});
    }
  }

  void Deliver(std::vector<std::pair<int, effect>>& observed) {
    while (!pending_items_.empty() && pending_items_.front().due <= now_) {
      const pending_item next = std::move(pending_items_.front());
      pending_items_.pop_front();
      CollectEffects(next.to, Handle(next.to, next.item), observed);
    }
  }

  static void CollectEffects(int node,
                             const effects& produced,
                             std::vector<std::pair<int, effect>>& observed) {
    for (const auto& effect : produced) {
      if (!std::holds_alternative<membership::publish>(effect))
        observed.emplace_back(node, effect);
    }
  }

  base::time_point now_{};
  std::vector<std::unique_ptr<controller>> controllers_;
  std::vector<std::uint64_t> last_version_;
  std::deque<pending_item> pending_items_;
};

}  // namespace flamingoshunt::admission

#endif  // FLAMINGOSHUNT_ADMISSION_TESTS_CLUSTER_H_
