// Replays a wave that meets few groups: lines have grown at every node when a
// new group opens, and each node's news reach the others late.
#include <catch2/catch.hpp>

#include <set>

#include "gateway/tests/dispatch_fixture.h"

namespace flamingoshunt::gateway::testing {
namespace {

constexpr int kNodes = 12;
constexpr int kLine = 9;
constexpr int kSlots = 26;
constexpr int kNewsDelayMs = 6;
// A replica queues a few requests beyond its slots and turns others away.
constexpr int kQueued = 6;

class lines_of_a_fleet {
 public:
  explicit lines_of_a_fleet(std::uint64_t seed) {
    for (std::uint64_t i = 0; i < kNodes; ++i)
      nodes_.emplace_back(base::random_engine(seed * kNodes + i));
    // The only head is full with what a node that is gone had placed.
    for (dispatcher& each : nodes_) {
      each.SetView(View(1, kSlots, kNodes), At(0));
      each.UpdatePeerLoads({{base::instance_id("h0"), {kSlots, 0, 0}}}, At(0));
    }
    for (std::uint64_t i = 0; i < kNodes * kLine; ++i)
      nodes_[i % kNodes].Ask(Stream(i + 1, 0, 100), At(0));
    Exchange();
  }

  /// The second head opens, and @p ms pass.
  void Open(int ms) {
    for (int now = 1; now <= ms; ++now) {
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        const decisions made =
            now == 1 ? nodes_[i].SetView(View(2, kSlots, kNodes), At(now))
                     : nodes_[i].Tick(At(now));
        if (!made.grants.empty())
          told_at_.insert(now + kNewsDelayMs);
      }
      if (told_at_.contains(now))
        Exchange(now);
    }
  }

  int Placed() const {
    int sum = 0;
    for (const dispatcher& each : nodes_) {
      for (const auto& [head, load] : each.own_loads())
        sum += load.running;
    }
    return sum;
  }

 private:
  void Exchange(int now = 0) {
    for (std::size_t to = 0; to < nodes_.size(); ++to) {
      load_map loads;
      line_map lines;
      for (std::size_t from = 0; from < nodes_.size(); ++from) {
        if (from == to)
          continue;
        for (const auto& [head, load] : nodes_[from].own_loads())
          loads[head] += load;
        for (const auto& [pool, waiting] : nodes_[from].own_lines())
          lines[pool] += waiting;
      }
      nodes_[to].SetPeerLines(lines);
      nodes_[to].UpdatePeerLoads(loads, At(now));
    }
  }

  std::vector<dispatcher> nodes_;
  std::set<int> told_at_;
};

}  // namespace

TEST_CASE("A new group gets no more than it can take, and soon all of that") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    lines_of_a_fleet fleet(seed);
    REQUIRE(fleet.Placed() == 0);
    fleet.Open(150);
    CHECK(fleet.Placed() <= kSlots + kQueued);
    CHECK(fleet.Placed() >= kSlots - 1);
  }
}

TEST_CASE("A node whose request has ended takes the place without a share") {
  dispatcher line{base::random_engine(3)};
  line.SetView(View(1, 1), At(0));
  line.Ask(Stream(1, 0), At(0));
  line.Ask(Stream(2, 0), At(0));
  line.SetPeerLines({{"llm/m", 1000}});
  CHECK(line.Ended(ticket_id(1), true, At(900)).grants.size() == 1);
}

TEST_CASE("A caller who would leave before its first event doesn't wait") {
  dispatcher line{base::random_engine(3)};
  line.SetView(View(1, 1), At(0));
  line.Ask(Stream(1, 0), At(0));
  line.Ended(ticket_id(1), true, At(900));  // A request takes 0.9 s.
  line.Ask(Stream(2, 900), At(900));
  std::vector<refusal> refused;
  for (std::uint64_t i = 3; i <= 6; ++i) {
    auto request = Stream(i, 900);
    request.first_event_by = At(900 + 2000);
    for (const refusal& each : line.Ask(request, At(900)).refusals)
      refused.push_back(each);
  }
  // The place comes free after 0.9 and 1.8 s; after 2.7 s is too late.
  REQUIRE(refused.size() == 2);
  CHECK(refused[0].reason == refusal_reason::kWaitTooLong);
  CHECK(refused[0].retry_after == milliseconds(2700));
}

}  // namespace flamingoshunt::gateway::testing
