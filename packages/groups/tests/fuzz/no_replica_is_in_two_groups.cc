// Guards against a new leader that orders a replica to join although it doesn't
// know the replica's group: its list is older than the group, and the replica
// has not reported yet, since the leader is busy or the answer was lost.
#include <catch2/catch.hpp>

#include "groups/tests/fake_replicas.h"

namespace flamingoshunt::groups::testing {
namespace {

using fleet_list = std::vector<fleet::replica>;

gateway::engine_profile LargeLayout() {
  gateway::engine_profile layout = TwoModelLayout();
  layout.models[0].size = 16;
  layout.models[1].size = 4;
  // Loads are not what limits the groups here.
  layout.max_loads_per_second = 2000;
  layout.max_concurrent_loads = 2000;
  return layout;
}

fleet_list ListOf(const fake_replicas& replicas) {
  fleet_list listed;
  for (const auto& [id, host] : replicas.hosts()) {
    if (!host.dead)
      listed.push_back(host.record);
  }
  return listed;
}

planner MakeLeader(const fake_replicas& replicas,
                   const fleet_list& listed,
                   std::uint64_t term) {
  planner leader("llm");
  leader.SetLayout(replicas.layout());
  for (const fleet::replica& each : listed)
    leader.OnListed(each, replicas.now());
  leader.BeginTerm(term, replicas.now());
  return leader;
}

// Leaders follow each other, each with a list from a random moment before, and
// each may go on for a while after the next one has begun. Answers come late or
// never, orders are carried out late, and members die.
std::vector<std::string> RunTakeovers(std::uint64_t seed, int domains) {
  fake_replicas replicas(domains, 35, LargeLayout());
  replicas.random.seed(seed);
  base::random_engine random(seed);
  std::vector<fleet_list> lists{ListOf(replicas)};
  planner leader = MakeLeader(replicas, lists.back(), 1);
  replicas.Run(leader, milliseconds(5000));
  replicas.late_share = 0.05;
  for (std::uint64_t term = 2; term < 7; ++term) {
    lists.push_back(ListOf(replicas));
    auto died = replicas.hosts().begin();
    std::advance(died, base::RandomIndex(random, replicas.hosts().size()));
    replicas.At(died->first).dead = true;
    leader.OnUnlisted(died->first);
    replicas.Run(leader, milliseconds(base::RandomIndex(random, 3000)));
    replicas.answers_per_step = static_cast<int>(base::RandomIndex(random, 6));
    planner next = MakeLeader(
        replicas, lists[base::RandomIndex(random, lists.size())], term);
    replicas.Run(next, milliseconds(base::RandomIndex(random, 2000)));
    replicas.Run(leader, milliseconds(base::RandomIndex(random, 500)));
    replicas.Run(next, milliseconds(3000));
    leader = std::move(next);
  }
  return replicas.violations();
}

// A leader that handles a few answers in each step takes over from one that has
// formed all groups since it read its list.
void CheckBusyTakeover(int domains, int answers_per_step) {
  fake_replicas replicas(domains, 35, LargeLayout());
  const fleet_list before = ListOf(replicas);
  planner first = MakeLeader(replicas, before, 1);
  replicas.Run(first, milliseconds(5000));
  const int large = replicas.CompleteGroups("large");
  const int small = replicas.CompleteGroups("small");
  REQUIRE(large >= domains);
  REQUIRE(small > domains);
  planner second = MakeLeader(replicas, before, 2);
  replicas.answers_per_step = answers_per_step;
  replicas.Run(second, milliseconds(5000));
  CHECK(second.inventory_stage() == inventory::stage::kComplete);
  CHECK(replicas.CompleteGroups("large") >= large);
  CHECK(replicas.CompleteGroups("small") >= small);
  CHECK(replicas.violations().empty());
}

}  // namespace

TEST_CASE("A replica that has not reported to a new leader is not ordered") {
  fake_replicas replicas(1, 35, LargeLayout());
  const fleet_list before = ListOf(replicas);
  planner first = MakeLeader(replicas, before, 1);
  replicas.Run(first, milliseconds(5000));
  REQUIRE(replicas.CompleteGroups("large") == 1);
  REQUIRE(replicas.CompleteGroups("small") >= 3);
  // Those in the first half of the list answer nothing for a while.
  planner second = MakeLeader(replicas, before, 2);
  int muted = 0;
  for (const auto& [id, host] : replicas.hosts()) {
    if (muted++ < 17)
      replicas.At(id).unreachable = true;
  }
  replicas.Run(second, milliseconds(80));
  for (const auto& [id, host] : replicas.hosts())
    replicas.At(id).unreachable = false;
  replicas.Run(second, milliseconds(4000));
  CHECK(replicas.violations().empty());
}

TEST_CASE("A busy leader takes over all groups without a change") {
  CheckBusyTakeover(4, 1);
}

TEST_CASE("No replica joins a group while the head of its own one serves") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    INFO("seed " << seed);
    const auto violations = RunTakeovers(seed, 2);
    CAPTURE(violations);
    CHECK(violations.empty());
  }
}

// By hand: build/release/packages/groups/groups_tests "[.many-takeovers]"
TEST_CASE("No replica joins two groups in many takeovers",
          "[.many-takeovers]") {
  CheckBusyTakeover(25, 3);
  for (std::uint64_t seed = 100; seed < 160; ++seed) {
    INFO("seed " << seed);
    const auto violations = RunTakeovers(seed, seed % 10 == 0 ? 25 : 4);
    CAPTURE(violations);
    CHECK(violations.empty());
  }
}

}  // namespace flamingoshunt::groups::testing
