#include <catch2/catch.hpp>

#include <cmath>
#include <vector>

#include "packages/routing/tests/replicas.h"

namespace flamingoshunt::routing {

TEST_CASE("Nodes that see the same report together get its free slots") {
  constexpr int kNodes = 13;
  constexpr int kSlots = 8;
  std::vector<replica_table> tables;
  for (int node = 0; node < kNodes; ++node) {
    tables.emplace_back(LocationOf(node));
    tables.back().Apply(PeersOf(node, kNodes));
    tables.back().Apply(Serving(0, kSlots));
  }
  std::vector<int> total_allowance(kNodes);
  for (std::uint64_t sequence = 1; sequence <= 1'300; ++sequence) {
    const int running = 4 + static_cast<int>(sequence % 5);
    int sum = 0;
    for (int node = 0; node < kNodes; ++node) {
      auto& node_table = tables[static_cast<std::size_t>(node)];
      node_table.Apply(Report(0, sequence, running), base::time_point());
      const int allowance = node_table.At(*node_table.Find(IdOf(0))).allowance;
      sum += allowance;
      total_allowance[static_cast<std::size_t>(node)] += allowance;
    }
    // The upper bound includes the overcommitment of idle replicas.
    const double free = kSlots - running;
    const double idle = free / kSlots;
    CHECK(sum <= std::ceil(free * (1 + 2 * idle * idle)));
    CHECK(sum >= free);
  }
  // No node gets much more than the others.
  const auto [least, most] =
      std::minmax_element(total_allowance.begin(), total_allowance.end());
  CHECK(*most <= *least * 1.3);
}

TEST_CASE("Starts and ends since the measurement correct a late report") {
  replica_table test_table(LocationOf(0));
  test_table.Apply(PeersOf(0, 2));
  test_table.Apply(Serving(0, 8));
  const auto position = *test_table.Find(IdOf(0));
  const base::time_point start(10s);
  test_table.RecordStart(position, false, start);
  test_table.RecordStart(position, false, start + 1s);
  test_table.RecordEnd(position, false, start + 2s);
  // Measured after the first start: it counts that attempt and three of other
  // nodes.
  auto late = Report(0, 1, 4);
  late.age = 2s;
  test_table.Apply(late, start + 2500ms);
  CHECK(test_table.At(position).own_running_at_report == 1);
  CHECK(test_table.At(position).Outstanding() == 4);
  test_table.RecordStart(position, false, start + 3s);
  CHECK(test_table.At(position).Outstanding() == 5);
  // A report of an earlier epoch or with an old sequence changes nothing.
  auto stale = Report(0, 9, 0);
  stale.epoch = base::epoch(0);
  test_table.Apply(stale, start + 3s);
  test_table.Apply(Report(0, 1, 0), start + 3s);
  CHECK(test_table.At(position).Outstanding() == 5);
}

TEST_CASE("At 3,900 replicas each node sends to a part, and all are covered") {
  constexpr int kNodes = 130;
  constexpr int kReplicas = 3'900;
  std::vector<int> senders(kReplicas);
  std::size_t most = 0;
  for (int node = 0; node < kNodes; ++node) {
    replica_table test_table(LocationOf(node));
    test_table.Apply(PeersOf(node, kNodes));
    for (int i = 0; i < kReplicas; ++i)
      test_table.Apply(Serving(i, 8));
    const auto& subset = test_table.Subset(kEntry);
    most = std::max(most, subset.size());
    for (const auto position : subset)
      ++senders[static_cast<std::size_t>(
          NumberOf(test_table.At(position).serving.replica))];
  }
  CHECK(most < kReplicas / 6);
  CHECK(*std::min_element(senders.begin(), senders.end()) >= 16);
  CHECK(*std::max_element(senders.begin(), senders.end()) <= 17);
}

TEST_CASE(
    "Replicas of other regions are used only if the own region has none") {
  replica_table test_table(LocationOf(0));
  test_table.Apply(Serving(0, 8));
  auto remote = Serving(1, 8);
  remote.replica.region = base::region_id("elsewhere");
  test_table.Apply(remote);
  REQUIRE(test_table.Subset(kEntry).size() == 1);
  CHECK(test_table.At(test_table.Subset(kEntry)[0]).serving.replica == IdOf(0));
  test_table.Apply(Serving(0, 8, replica::serving_state::kDraining));
  REQUIRE(test_table.Subset(kEntry).size() == 1);
  CHECK(test_table.At(test_table.Subset(kEntry)[0]).serving.replica == IdOf(1));
}

}  // namespace flamingoshunt::routing
