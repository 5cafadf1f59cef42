// Tests that the nodes of a large fleet agree on loads and announcements after
// relays have been paused, cut off and restarted while datagrams were lost.
#include <catch2/catch.hpp>

#include "fleet/tests/relay_fleet.h"

namespace flamingoshunt::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNodes = 60;
constexpr int kDomains = 5;
// The sanitizers make a seed take ten seconds on a busy instance.
constexpr std::uint64_t kSeeds = 3;
constexpr std::uint64_t kManySeeds = 40;
constexpr double kLoss = 0.025;
// Until the nodes of a failure domain use the best relay again, and a full
// report and a full digest have repaired what was lost on the way.
constexpr seconds kSettled{8};

// Pauses, cuts off or restarts a relay, and lets all nodes go on.
void Disturb(relay_fleet& fleet, base::random_engine& random) {
  const auto relays = fleet.Relays();
  REQUIRE(!relays.empty());
  const base::node_id& relay = relays[base::RandomIndex(random, relays.size())];
  switch (base::RandomIndex(random, 3)) {
    case 0:
      fleet.paused.insert(relay);
      break;
    case 1:
      fleet.cut.insert(relay);
      break;
    default:
      fleet.cut.insert(relay);
      fleet.Run(seconds(1));
      fleet.Start(fleet.IndexOf(relay));
      break;
  }
  fleet.Run(milliseconds(500 + 100 * base::RandomIndex(random, 20)));
  fleet.paused.clear();
  fleet.cut.clear();
  fleet.Run(milliseconds(100 * base::RandomIndex(random, 20)));
}

// Fails relays under @p seed, and checks what the nodes know afterwards.
void CheckSeed(std::uint64_t seed) {
  INFO("seed " << seed);
  base::random_engine random(seed);
  relay_fleet fleet(kNodes, kDomains, seed);
  fleet.loss = kLoss;
  fleet.Run(seconds(3));
  std::map<std::pair<int, std::string>, int> placed;
  const int leader = static_cast<int>(base::RandomIndex(random, kNodes));
  std::uint64_t edition = 0;
  for (int round = 0; round < 6; ++round) {
    for (int i = 0; i < 30; ++i) {
      const int node = static_cast<int>(base::RandomIndex(random, kNodes));
      const std::string replica =
          "h" + std::to_string(base::RandomIndex(random, 5));
      const int running = static_cast<int>(base::RandomIndex(random, 3));
      fleet.Place(node, replica, running);
    }
    fleet.Announce(leader, {1, ++edition, {}});
    Disturb(fleet, random);
  }
  // What counts is what each node says last.
  for (int node = 0; node < kNodes; ++node) {
    for (int replica = 0; replica < 5; ++replica) {
      const int running = static_cast<int>(base::RandomIndex(random, 3));
      const std::string name = "h" + std::to_string(replica);
      fleet.Place(node, name, running);
      placed[{node, name}] = running;
    }
  }
  fleet.Announce(leader, {1, ++edition, {}});
  fleet.Run(kSettled);
  std::map<std::string, int> totals;
  for (const auto& [key, running] : placed)
    totals[key.second] += running;
  for (int node = 0; node < kNodes; ++node) {
    INFO("node " << node);
    for (const auto& [replica, total] : totals)
      CHECK(fleet.PeerLoad(node, replica) == total - placed[{node, replica}]);
    if (node != leader)
      CHECK(fleet.Edition(node) == edition);
    CHECK_FALSE(fleet.WentBack(node));
    CHECK(fleet.LiveNodes(node) == kNodes);
  }
  CHECK(fleet.Relays().size() == kDomains);
}

}  // namespace

TEST_CASE("All nodes agree after relays have failed in series") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed)
    CheckSeed(seed);
}

// By hand, after changes to the relays.
TEST_CASE("All nodes agree after relays have failed in series, many seeds",
          "[.many-seeds]") {
  for (std::uint64_t seed = 1; seed <= kManySeeds; ++seed)
    CheckSeed(seed);
}

TEST_CASE("All nodes know a placement soon after their relay has died") {
  relay_fleet fleet(kNodes, kDomains, 20);
  fleet.Run(seconds(3));
  const auto relays = fleet.Relays();
  fleet.cut.insert(relays.front());
  // The silence is noticed, the nodes report to the next one.
  fleet.Run(seconds(2));
  const int dead = fleet.IndexOf(relays.front());
  const int placing = (dead + kDomains) % kNodes;
  fleet.Place(placing, "h", 2);
  fleet.Run(milliseconds(150));
  for (int node = 0; node < kNodes; ++node) {
    if (node != dead && node != placing)
      CHECK(fleet.PeerLoad(node, "h") == 2);
  }
}

}  // namespace flamingoshunt::fleet
