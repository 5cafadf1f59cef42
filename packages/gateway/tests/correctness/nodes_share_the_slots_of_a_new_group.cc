// Guards against overloading a new group during a burst: every node has queued
// requests when the group opens, and without shares each would fill all its
// slots before learning of the others' placements.
#include <catch2/catch.hpp>

#include <set>

#include "gateway/tests/dispatch_fixture.h"

namespace flamingoshunt::gateway::testing {
namespace {

constexpr int kNodes = 12;
constexpr int kQueuedPerNode = 9;
constexpr int kSlots = 26;
constexpr int kPeerUpdateDelayMs = 6;
// A replica queues a few requests beyond its slots and refuses others.
constexpr int kReplicaQueueSlots = 6;

class queued_fleet {
 public:
  explicit queued_fleet(std::uint64_t seed) {
    for (std::uint64_t i = 0; i < kNodes; ++i)
      nodes_.emplace_back(base::random_engine(seed * kNodes + i));
    // The only head is full with the requests of a node that has failed.
    for (dispatcher& node : nodes_) {
      node.SetView(MakeView(1, kSlots, kNodes), At(0));
      node.UpdatePeerLoads({{base::instance_id("h0"), {kSlots, 0, 0}}}, At(0));
    }
    for (std::uint64_t i = 0; i < kNodes * kQueuedPerNode; ++i)
      nodes_[i % kNodes].Submit(MakeStreamRequest(i + 1, 0, 100), At(0));
    Exchange();
  }

  /// Opens the second head and runs for @p ms.
  void OpenSecondHead(int ms) {
    for (int now = 1; now <= ms; ++now) {
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        const decisions result =
            now == 1 ? nodes_[i].SetView(MakeView(2, kSlots, kNodes), At(now))
                     : nodes_[i].Tick(At(now));
        if (!result.grants.empty())
          exchange_times_ms_.insert(now + kPeerUpdateDelayMs);
      }
      if (exchange_times_ms_.contains(now))
        Exchange(now);
    }
  }

  int CountPlaced() const {
    int sum = 0;
    for (const dispatcher& node : nodes_) {
      for (const auto& [head, load] : node.own_loads())
        sum += load.running;
    }
    return sum;
  }

 private:
  void Exchange(int now = 0) {
    for (std::size_t to = 0; to < nodes_.size(); ++to) {
      load_map loads;
      queue_length_map queue_lengths;
      for (std::size_t from = 0; from < nodes_.size(); ++from) {
        if (from == to)
          continue;
        for (const auto& [head, load] : nodes_[from].own_loads())
          loads[head] += load;
        for (const auto& [pool, waiting] : nodes_[from].own_queue_lengths())
          queue_lengths[pool] += waiting;
      }
      nodes_[to].SetPeerQueueLengths(queue_lengths);
      nodes_[to].UpdatePeerLoads(loads, At(now));
    }
  }

  std::vector<dispatcher> nodes_;
  std::set<int> exchange_times_ms_;
};

}  // namespace

TEST_CASE("A new group is filled soon, but not beyond its capacity") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    queued_fleet fleet(seed);
    REQUIRE(fleet.CountPlaced() == 0);
    fleet.OpenSecondHead(150);
    CHECK(fleet.CountPlaced() <= kSlots + kReplicaQueueSlots);
    CHECK(fleet.CountPlaced() >= kSlots - 1);
  }
}

TEST_CASE("A node reuses the slot of its own ended request without a share") {
  dispatcher node{base::random_engine(3)};
  node.SetView(MakeView(1, 1), At(0));
  node.Submit(MakeStreamRequest(1, 0), At(0));
  node.Submit(MakeStreamRequest(2, 0), At(0));
  node.SetPeerQueueLengths({{"llm/m", 1000}});
  CHECK(node.Release(ticket_id(1), true, At(900)).grants.size() == 1);
}

TEST_CASE("A request is refused if its first event would miss its deadline") {
  dispatcher node{base::random_engine(3)};
  node.SetView(MakeView(1, 1), At(0));
  node.Submit(MakeStreamRequest(1, 0), At(0));
  node.Release(ticket_id(1), true, At(900));  // A request takes 0.9 s.
  node.Submit(MakeStreamRequest(2, 900), At(900));
  std::vector<refusal> refused;
  for (std::uint64_t i = 3; i <= 6; ++i) {
    auto request = MakeStreamRequest(i, 900);
    request.first_event_deadline = At(900 + 2000);
    for (const refusal& rejection : node.Submit(request, At(900)).refusals)
      refused.push_back(rejection);
  }
  // The slot becomes free after 0.9 and 1.8 s; 2.7 s would be too late.
  REQUIRE(refused.size() == 2);
  CHECK(refused[0].reason == refusal_reason::kWaitTooLong);
  CHECK(refused[0].retry_after == milliseconds(2700));
}

}  // namespace flamingoshunt::gateway::testing
