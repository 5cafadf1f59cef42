#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <vector>

#include "admission/limit_shares.h"
#include "base/random.h"
#include "tests/fixed_seed.h"

namespace flamingoshunt::admission {

namespace {

const char* const kKey = "entry a";

/// Nodes whose items are lost, late, repeated and reordered while rosters
/// change.
class lossy_network {
 public:
  lossy_network(int nodes, std::uint64_t seed) : random_(seed) {
    for (int i = 0; i < nodes; ++i)
      Join();
    NextRoster();
  }

  void Step() {
    const auto index = base::RandomIndex(random_, nodes_.size());
    switch (base::RandomIndex(random_, 12)) {
      case 0:
        NextRoster();
        break;
      case 1:
        Restart(index);
        break;
      case 2:
        if (nodes_.size() < 8)
          Join();
        break;
      case 3:
      case 4:
        nodes_[index].shares->Apply(
            rosters_[base::RandomIndex(random_, rosters_.size())]);
        break;
      case 5:
      case 6:
        Exchange(index);
        break;
      default:
        Deliver(index);
    }
    SetRandomDemand();
  }

  limit_shares::points Sum() const {
    limit_shares::points sum = 0;
    for (const auto& member : nodes_)
      sum += member.shares->HeldPoints(kKey);
    return sum;
  }

  /// Brings every node to the latest roster and delivers all messages.
  void Heal() {
    NextRoster();
    for (int round = 0; round < 30; ++round) {
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        nodes_[i].shares->Apply(rosters_.back());
        Exchange(i);
      }
      for (const auto& item : items_)
        for (auto& node : nodes_)
          node.shares->Apply(item);
    }
  }

  void SetDemand(std::size_t index, limit_shares::points demand) {
    for (std::size_t i = 0; i < nodes_.size(); ++i)
      nodes_[i].shares->SetDemand(kKey, i == index ? demand : 0, 0);
  }

  limit_shares::points HeldAt(std::size_t index) const {
    return nodes_[index].shares->HeldPoints(kKey);
  }

 private:
  struct node {
    base::node_id id;
    std::uint64_t incarnation = 1;
    std::uint64_t version = 0;
    std::unique_ptr<limit_shares> shares;
  };

  void Join() {
    node joined;
    joined.id = base::node_id("n" + std::to_string(nodes_.size()));
    joined.shares = std::make_unique<limit_shares>(joined.id, 1);
    joined.shares->RetainLimits({kKey});
    // A process reads the agreed roster before it admits requests.
    if (!rosters_.empty())
      joined.shares->Apply(rosters_.back());
    nodes_.push_back(std::move(joined));
  }

  void Restart(std::size_t index) {
    node& old = nodes_[index];
    ++old.incarnation;
    old.shares = std::make_unique<limit_shares>(old.id, old.incarnation);
    old.shares->RetainLimits({kKey});
    old.shares->Apply(rosters_.back());
  }

  void NextRoster() {
    limit_roster next;
    next.version = base::revision(++last_roster_);
    for (const auto& member : nodes_)
      next.members.push_back({member.id, member.incarnation});
    rosters_.push_back(next);
    if (rosters_.size() == 1) {
      for (auto& member : nodes_)
        member.shares->Apply(next);
    }
  }

  void Exchange(std::size_t index) {
    for (const auto& publication : nodes_[index].shares->Rebalance())
      items_.push_back({publication.topic, publication.key, nodes_[index].id,
                        ++nodes_[index].version, publication.value});
  }

  // Any item ever sent may arrive, once or repeatedly.
  void Deliver(std::size_t index) {
    if (!items_.empty())
      nodes_[index].shares->Apply(
          items_[base::RandomIndex(random_, items_.size())]);
  }

  void SetRandomDemand() {
    const auto index = base::RandomIndex(random_, nodes_.size());
    nodes_[index].shares->SetDemand(
        kKey,
        static_cast<limit_shares::points>(
            base::RandomIndex(random_, limit_shares::kTotalPoints + 1)),
        0);
  }

  base::random_engine random_;
  std::vector<node> nodes_;
  std::vector<limit_roster> rosters_;
  std::vector<membership::item> items_;
  std::uint64_t last_roster_ = 0;
};

}  // namespace

TEST_CASE("Points held never exceed the total, whatever is lost or restarted") {
  CHECK(tests::Holds(
      [] {
        lossy_network nodes(*rc::gen::inRange(1, 7),
                            *rc::gen::arbitrary<std::uint64_t>());
        for (int step = 0; step < 400; ++step) {
          nodes.Step();
          RC_ASSERT(nodes.Sum() <= limit_shares::kTotalPoints);
        }
        nodes.Heal();
        nodes.SetDemand(0, limit_shares::kTotalPoints);
        nodes.Heal();
        RC_ASSERT(nodes.Sum() <= limit_shares::kTotalPoints);
        RC_ASSERT(nodes.HeldAt(0) >= limit_shares::kTotalPoints * 95 / 100);
      },
      60));
}

}  // namespace flamingoshunt::admission
