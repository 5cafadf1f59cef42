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
      for (const auto& [node, effect] : cluster_.Advance(50ms))
        OnEffect(node, effect);
      FinishDue();
    }
  }

  int crash_count = 0;
  std::set<std::string> completed_requests;
  std::map<std::string, refusal_reason> refusal_reasons;
  int most_suspects_together = 0;
  simulated_cluster& cluster() { return cluster_; }

 private:
  struct running_attempt {
    int node = 0;
    slot_request request;
    grant slot_grant;
    base::time_point ends;
  };

  void SendRequest(int node, const slot_request& request) {
    requests_[request.shape.request] = {node, request};
    for (const auto& effect : cluster_.Handle(node, request))
      OnEffect(node, effect);
  }

  void OnEffect(int node, const effect& received) {
    if (const auto* slot_grant = std::get_if<grant>(&received)) {
      const slot_request request = requests_.at(slot_grant->request).second;
      const bool is_crashing =
          request.shape.fingerprint == crashing_fingerprint;
      attempts_.push_back({node, request, *slot_grant,
                           cluster_.now() + (is_crashing ? 400ms : 900ms)});
    }
    if (const auto* refused = std::get_if<refusal>(&received))
      refusal_reasons[refused->request.str()] = refused->reason;
  }

  void FinishDue() {
    for (std::size_t i = 0; i < attempts_.size(); ++i) {
      if (attempts_[i].ends > cluster_.now())
        continue;
      const running_attempt attempt = attempts_[i];
      if (attempt.request.shape.fingerprint == crashing_fingerprint) {
        Crash(attempt.slot_grant.place.replica);
      } else {
        attempts_.erase(attempts_.begin() + static_cast<std::ptrdiff_t>(i));
        completed_requests.insert(attempt.request.shape.request.str());
        Release(attempt, routing::attempt_result::kCompleted);
      }
      return FinishDue();
    }
  }

  void Crash(const base::replica_id& replica) {
    ++crash_count;
    std::vector<running_attempt> broken_attempts;
    std::erase_if(attempts_, [&](const running_attempt& attempt) {
      if (attempt.slot_grant.place.replica == replica)
        broken_attempts.push_back(attempt);
      return attempt.slot_grant.place.replica == replica;
    });
    const int number = std::stoi(replica.str().substr(1));
    for (const auto& attempt : broken_attempts)
      Release(attempt, routing::attempt_result::kBroken);
    // The replica is formed again with a new epoch.
    cluster_.HandleEverywhere(
        Serving(number, 4, replica::serving_state::kServing, ++epoch_));
    for (auto attempt : broken_attempts) {
      ++attempt.request.attempt;
      attempt.request.shape.excluded = {replica};
      SendRequest(attempt.node, attempt.request);
    }
  }

  void Release(const running_attempt& attempt, routing::attempt_result result) {
    const auto next = cluster_.Handle(
        attempt.node, MakeRelease(attempt.slot_grant, attempt.request, result));
    for (const auto& effect : next)
      OnEffect(attempt.node, effect);
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
  CHECK(simulation.crash_count == 2);
  CHECK(simulation.refusal_reasons["poison"] == refusal_reason::kQuarantined);
  // Every other request in flight at the crashes completed.
  CHECK(simulation.completed_requests.size() == 40);
  CHECK(simulation.refusal_reasons.size() == 1);
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
  CHECK(simulation.crash_count == 2);
  CHECK(simulation.refusal_reasons.size() == 5);
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
  REQUIRE(simulation.crash_count == 2);
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
  CHECK(simulation.refusal_reasons.count("again") == 0);
}

}  // namespace flamingoshunt::admission
