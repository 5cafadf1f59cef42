#include <catch2/catch.hpp>

#include "admission/limit_shares.h"

namespace flamingoshunt::admission {
namespace {

constexpr char kKey[] = "entry a";

limit_roster Roster(std::uint64_t version, std::vector<std::string> names) {
  limit_roster roster;
  roster.version = base::revision(version);
  for (const std::string& name : names)
    roster.members.push_back({base::node_id(name), 1});
  return roster;
}

}  // namespace

TEST_CASE("The first roster keeps a node's points while other nodes are late") {
  limit_shares shares(base::node_id("a"), 1);
  shares.RetainLimits({kKey});
  shares.SetProvisionalNodes(3);
  const auto before = shares.HeldPoints(kKey);
  // One of the three is paused and publishes nothing.
  shares.Apply(Roster(33, {"a", "b", "c"}));
  CHECK_FALSE(shares.is_settled());
  CHECK(shares.HeldPoints(kKey) == before);
}

TEST_CASE("The first roster never leaves a node more than its base share") {
  limit_shares shares(base::node_id("a"), 1);
  shares.RetainLimits({kKey});
  shares.SetProvisionalNodes(1);
  shares.Apply(Roster(33, {"a", "b", "c", "d"}));
  CHECK(shares.HeldPoints(kKey) == limit_shares::kTotalPoints / 4);
}

TEST_CASE("A node that an older roster didn't list waits for the other nodes") {
  limit_shares shares(base::node_id("a"), 1);
  shares.RetainLimits({kKey});
  shares.SetProvisionalNodes(3);
  shares.Apply(Roster(33, {"b", "c"}));
  CHECK(shares.HeldPoints(kKey) == 0);
  shares.Apply(Roster(34, {"a", "b", "c"}));
  CHECK(shares.HeldPoints(kKey) == 0);
}

}  // namespace flamingoshunt::admission
