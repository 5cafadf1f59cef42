#include <catch2/catch.hpp>

#include <map>
#include <set>

#include "packages/admission/tests/cluster.h"

namespace flamingoshunt::admission {

namespace {

/// A fleet whose endpoints die of one fingerprint. Each grant runs for a time;
/// the poisonous request breaks its replica and everything in flight there.
class ward {
 public:
  static constexpr int kNodes = 5;
  static constexpr int kReplicas = 12;
  const base::fingerprint poison{0xbad};

  ward() : all_(kNodes) {
    for (int i = 0; i < kReplicas; ++i)
      all_.HandleEverywhere(Serving(i, 4));
  }

  void Send(int node, const std::string& request, bool is_poison) {
    ask made = MakeAsk(request);
    if (is_poison)
      made.shape.fingerprint = poison;
    Ask(node, made);
  }

  void Advance(base::duration by) {
    const auto end = all_.now() + by;
    while (all_.now() < end) {
      for (const auto& [node, each] : all_.Advance(50ms))
        Note(node, each);
      EndDue();
    }
  }

  int crashes = 0;
  std::set<std::string> completed;
  std::map<std::string, refusal_reason> refused;
  int most_suspects_together = 0;
  fleet& all() { return all_; }

 private:
  struct flight {
    int node = 0;
    ask asked;
    grant granted;
    base::time_point ends;
  };

  void Ask(int node, const ask& made) {
    asks_[made.shape.request] = {node, made};
    for (const auto& each : all_.Handle(node, made))
      Note(node, each);
  }

  void Note(int node, const effect& each) {
    if (const auto* granted = std::get_if<grant>(&each)) {
      const ask made = asks_.at(granted->request).second;
      const bool is_poison = made.shape.fingerprint == poison;
      flights_.push_back(
          {node, made, *granted, all_.now() + (is_poison ? 400ms : 900ms)});
    }
    if (const auto* no = std::get_if<refusal>(&each))
      refused[no->request.str()] = no->reason;
  }

  void EndDue() {
    for (std::size_t i = 0; i < flights_.size(); ++i) {
      if (flights_[i].ends > all_.now())
        continue;
      const flight done = flights_[i];
      if (done.asked.shape.fingerprint == poison) {
        Crash(done.granted.place.replica);
      } else {
        flights_.erase(flights_.begin() + static_cast<std::ptrdiff_t>(i));
        completed.insert(done.asked.shape.request.str());
        Give(done, routing::attempt_result::kCompleted);
      }
      return EndDue();
    }
  }

  void Crash(const base::replica_id& replica) {
    ++crashes;
    std::vector<flight> broken;
    std::erase_if(flights_, [&](const flight& each) {
      if (each.granted.place.replica == replica)
        broken.push_back(each);
      return each.granted.place.replica == replica;
    });
    const int number = std::stoi(replica.str().substr(1));
    for (const auto& each : broken)
      Give(each, routing::attempt_result::kBroken);
    // The replica is formed again with a new epoch.
    all_.HandleEverywhere(
        Serving(number, 4, replica::serving_state::kServing, ++epoch_));
    for (auto each : broken) {
      ++each.asked.attempt;
      each.asked.shape.excluded = {replica};
      Ask(each.node, each.asked);
    }
  }

  void Give(const flight& each, routing::attempt_result result) {
    const auto next =
        all_.Handle(each.node, MakeRelease(each.granted, each.asked, result));
    for (const auto& effect : next)
      Note(each.node, effect);
  }

  fleet all_;
  std::uint64_t epoch_ = 1;
  std::map<base::request_id, std::pair<int, ask>> asks_;
  std::vector<flight> flights_;
};

}  // namespace

TEST_CASE("A poisonous request crashes two endpoints and is then refused") {
  ward fleet;
  for (int i = 0; i < 40; ++i)
    fleet.Send(i % ward::kNodes, "bystander " + std::to_string(i), false);
  fleet.Send(0, "poison", true);
  fleet.Advance(20s);
  CHECK(fleet.crashes == 2);
  CHECK(fleet.refused["poison"] == refusal_reason::kQuarantined);
  // Everybody who was in flight at the crashes got an answer.
  CHECK(fleet.completed.size() == 40);
  CHECK(fleet.refused.size() == 1);
}

TEST_CASE("Resends through other nodes don't raise the number of crashes") {
  ward fleet;
  fleet.Send(0, "first", true);
  fleet.Advance(450ms);  // It has crashed; other nodes have not heard yet.
  fleet.Send(1, "second", true);
  fleet.Advance(1s);
  fleet.Send(2, "third", true);
  fleet.Send(2, "third again", true);
  fleet.Send(3, "fourth", true);
  fleet.Advance(30s);
  CHECK(fleet.crashes == 2);
  CHECK(fleet.refused.size() == 5);
  for (int node = 0; node < ward::kNodes; ++node)
    CHECK(fleet.all().At(node).Quarantined(fleet.all().now()).size() == 1);
}

TEST_CASE("A quarantine ends by time and by an operator, on every node") {
  ward fleet;
  fleet.Send(0, "first", true);
  fleet.Advance(20s);
  REQUIRE(fleet.crashes == 2);
  SECTION("lifted") {
    fleet.all().Handle(4, lift_quarantine{fleet.poison});
    fleet.Advance(1s);
  }
  SECTION("expired") {
    fleet.Advance(routing::quarantine::kQuarantineTime);
  }
  for (int node = 0; node < ward::kNodes; ++node)
    CHECK(fleet.all().At(node).Quarantined(fleet.all().now()).empty());
  fleet.Send(3, "again", true);
  fleet.Advance(200ms);
  CHECK(fleet.refused.count("again") == 0);
}

}  // namespace flamingoshunt::admission
