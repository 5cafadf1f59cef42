#include <catch2/catch.hpp>

#include <map>
#include <set>

#include "packages/admission/tests/cluster.h"

namespace flamingoshunt::admission {

namespace {

/// A fleet whose endpoints crash on one fingerprint. Each granted attempt runs
/// for a fixed time; a crashing request breaks its replica and all attempts in
/// flight there.
class crash_simulation {
 public:
  static constexpr int kNodes = 5;
  static constexpr int kReplicas = 12;
  const base::fingerprint crashing_fingerprint{0xbad};

  crash_simulation() : cluster_(kNodes) {
    for (int i = 0; i < kReplicas; ++i)
      cluster_.HandleEverywhere(Serving(i, 4));
  }

  void Send(int node, const std::string& id, bool is_crashing) {
    slot_request request = MakeRequest(id);
    if (is_crashing)
      request.shape.fingerprint = crashing_fingerprint;
    SendRequest(node, request);
  }

  void Advance(base::duration by) {
    const auto end = cluster_.now() + by;
    while (cluster_.now() < end) {
      for (const auto& [node, each] : cluster_.Advance(50ms))
        OnEffect(node, each);
      FinishDue();
    }
  }

  int crashes = 0;
  std::set<std::string> completed;
  std::map<std::string, refusal_reason> refused;
  int most_suspects_together = 0;
  simulated_cluster& cluster() { return cluster_; }

 private:
  struct running_attempt {
    int node = 0;
    slot_request request;
    grant granted;
    base::time_point ends;
  };

  void SendRequest(int node, const slot_request& request) {
    requests_[request.shape.request] = {node, request};
    for (const auto& each : cluster_.Handle(node, request))
      OnEffect(node, each);
  }

  void OnEffect(int node, const effect& each) {
    if (const auto* granted = std::get_if<grant>(&each)) {
      const slot_request request = requests_.at(granted->request).second;
      const bool is_crashing =
          request.shape.fingerprint == crashing_fingerprint;
      attempts_.push_back({node, request, *granted,
                           cluster_.now() + (is_crashing ? 400ms : 900ms)});
    }
    if (const auto* refused_request = std::get_if<refusal>(&each))
      refused[refused_request->request.str()] = refused_request->reason;
  }

  void FinishDue() {
    for (std::size_t i = 0; i < attempts_.size(); ++i) {
      if (attempts_[i].ends > cluster_.now())
        continue;
      const running_attempt finished = attempts_[i];
      if (finished.request.shape.fingerprint == crashing_fingerprint) {
        Crash(finished.granted.place.replica);
      } else {
        attempts_.erase(attempts_.begin() + static_cast<std::ptrdiff_t>(i));
        completed.insert(finished.request.shape.request.str());
        Release(finished, routing::attempt_result::kCompleted);
      }
      return FinishDue();
    }
  }

  void Crash(const base::replica_id& replica) {
    ++crashes;
    std::vector<running_attempt> broken;
    std::erase_if(attempts_, [&](const running_attempt& each) {
      if (each.granted.place.replica == replica)
        broken.push_back(each);
      return each.granted.place.replica == replica;
    });
    const int number = std::stoi(replica.str().substr(1));
    for (const auto& each : broken)
      Release(each, routing::attempt_result::kBroken);
    // The replica is formed again with a new epoch.
    cluster_.HandleEverywhere(
        Serving(number, 4, replica::serving_state::kServing, ++epoch_));
    for (auto each : broken) {
      ++each.request.attempt;
      each.request.shape.excluded = {replica};
      SendRequest(each.node, each.request);
    }
  }

  void Release(const running_attempt& each, routing::attempt_result result) {
    const auto next = cluster_.Handle(
        each.node, MakeRelease(each.granted, each.request, result));
    for (const auto& effect : next)
      OnEffect(each.node, effect);
  }

  simulated_cluster cluster_;
  std::uint64_t epoch_ = 1;
  std::map<base::request_id, std::pair<int, slot_request>> requests_;
  std::vector<running_attempt> attempts_;
};

}  // namespace

TEST_CASE("A crashing request crashes two endpoints and is then refused") {
  crash_simulation simulation;
  for (int i = 0; i < 40; ++i)
    simulation.Send(i % crash_simulation::kNodes,
                    "bystander " + std::to_string(i), false);
  simulation.Send(0, "poison", true);
  simulation.Advance(20s);
  CHECK(simulation.crashes == 2);
  CHECK(simulation.refused["poison"] == refusal_reason::kQuarantined);
  // Every other request in flight at the crashes completed.
  CHECK(simulation.completed.size() == 40);
  CHECK(simulation.refused.size() == 1);
}

TEST_CASE("Retries through other nodes don't raise the number of crashes") {
  crash_simulation simulation;
  simulation.Send(0, "first", true);
  simulation.Advance(450ms);  // It has crashed; the items have not arrived yet.
  simulation.Send(1, "second", true);
  simulation.Advance(1s);
  simulation.Send(2, "third", true);
  simulation.Send(2, "third again", true);
  simulation.Send(3, "fourth", true);
  simulation.Advance(30s);
  CHECK(simulation.crashes == 2);
  CHECK(simulation.refused.size() == 5);
  for (int node = 0; node < crash_simulation::kNodes; ++node)
    CHECK(simulation.cluster()
              .At(node)
              .ListQuarantined(simulation.cluster().now())
              .size() == 1);
}

TEST_CASE("A quarantine expires or is lifted by an operator on every node") {
  crash_simulation simulation;
  simulation.Send(0, "first", true);
  simulation.Advance(20s);
  REQUIRE(simulation.crashes == 2);
  SECTION("lifted") {
    simulation.cluster().Handle(
        4, lift_quarantine{simulation.crashing_fingerprint});
    simulation.Advance(1s);
  }
  SECTION("expired") {
    simulation.Advance(routing::quarantine::kQuarantineTime);
  }
  for (int node = 0; node < crash_simulation::kNodes; ++node)
    CHECK(simulation.cluster()
              .At(node)
              .ListQuarantined(simulation.cluster().now())
              .empty());
  simulation.Send(3, "again", true);
  simulation.Advance(200ms);
  CHECK(simulation.refused.count("again") == 0);
}

}  // namespace flamingoshunt::admission
