// Tests that every node of a large fleet learns the loads, the suspicions, the
// announcements and the liveness of all, through one relay in each failure
// domain, at a cost that doesn't grow with the fleet's placements.
#include <catch2/catch.hpp>

#include "fleet/tests/relay_fleet.h"

namespace flamingoshunt::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNodes = 195;
constexpr int kDomains = 5;

relay_fleet& Settled(relay_fleet& fleet) {
  fleet.Run(seconds(3));
  return fleet;
}

}  // namespace

TEST_CASE("A placement is known to all nodes within 150 ms, and counted once") {
  relay_fleet fleet(kNodes, kDomains, 1);
  Settled(fleet);
  fleet.Place(17, "h", 1);
  fleet.Place(18, "h", 2);
  fleet.Run(milliseconds(150));
  for (int i = 0; i < kNodes; ++i)
    CHECK(fleet.PeerLoad(i, "h") == (i == 17 ? 2 : i == 18 ? 1 : 3));
  fleet.Place(18, "h", 0);
  fleet.Run(milliseconds(150));
  for (int i = 0; i < kNodes; ++i)
    CHECK(fleet.PeerLoad(i, "h") == (i == 17 ? 0 : 1));
}

TEST_CASE("A suspicion reaches all nodes within 40 ms") {
  relay_fleet fleet(kNodes, kDomains, 2);
  Settled(fleet).Suspect(100, "h");
  fleet.Run(milliseconds(40));
  for (int i = 0; i < kNodes; ++i)
    CHECK((i == 100 || fleet.Suspects(i, "h")));
}

TEST_CASE("An announcement reaches all nodes within 150 ms") {
  relay_fleet fleet(kNodes, kDomains, 3);
  Settled(fleet).Announce(50, {1, 1, {{"g", base::epoch(1), "m", {}}}});
  fleet.Run(milliseconds(150));
  for (int i = 0; i < kNodes; ++i)
    CHECK((i == 50 || fleet.Edition(i) == 1));
}

TEST_CASE("A query reaches the nodes with requests on the replica, no others") {
  relay_fleet fleet(kNodes, kDomains, 4);
  Settled(fleet).Place(60, "h", 1);
  fleet.Place(61, "other", 1);
  fleet.Run(milliseconds(200));
  fleet.Query(120, "h");
  fleet.Run(milliseconds(20));
  for (int i = 0; i < kNodes; ++i)
    CHECK(fleet.WasAsked(i, "h") == (i == 60));
}

TEST_CASE("One node with many cores relays for each failure domain") {
  relay_fleet fleet(kNodes, kDomains, 5);
  Settled(fleet);
  const auto relays = fleet.Relays();
  CHECK(relays.size() == kDomains);
  for (int i = 0; i < kNodes; ++i)
    CHECK(fleet.LiveNodes(i) == kNodes);
}

TEST_CASE("A node receives few datagrams however many requests are placed") {
  relay_fleet fleet(kNodes, kDomains, 6);
  Settled(fleet);
  const auto relays = fleet.Relays();
  std::vector<std::uint64_t> before;
  for (int i = 0; i < kNodes; ++i)
    before.push_back(fleet.DatagramsReceived(i));
  // Each node places five requests a second.
  constexpr int kRounds = 200;
  for (int round = 0; round < kRounds; ++round) {
    for (int node = round % 8; node < kNodes; node += 8)
      fleet.Place(node, "h" + std::to_string((node + round) % 120), 1);
    fleet.Run(milliseconds(5));
  }
  const double length_s = 1;
  for (int i = 0; i < kNodes; ++i) {
    if (std::find(relays.begin(), relays.end(), relay_fleet::Name(i)) !=
        relays.end())
      continue;
    const auto received = static_cast<double>(
        fleet.DatagramsReceived(i) - before[static_cast<std::size_t>(i)]);
    CHECK(received / length_s <= 30);
  }
}

TEST_CASE("Relays are not used while most nodes run an older program") {
  relay_network network(base::node_id("n0"), 1);
  std::map<base::node_id, fleet_node> nodes;
  for (int i = 0; i < 80; ++i)
    nodes[relay_fleet::Name(i)].failure_domain =
        base::failure_domain_id(i < 40 ? "d" : "");
  network.SetNodes(nodes, base::time_point());
  CHECK_FALSE(network.in_use());
  nodes[relay_fleet::Name(40)].failure_domain = base::failure_domain_id("d");
  network.SetNodes(nodes, base::time_point());
  CHECK(network.in_use());
}

TEST_CASE("A small fleet uses no relays") {
  relay_fleet fleet(relay_network::kMaxMeshNodes, 3, 7);
  fleet.Run(seconds(2));
  CHECK(fleet.Relays().empty());
}

}  // namespace flamingoshunt::fleet
