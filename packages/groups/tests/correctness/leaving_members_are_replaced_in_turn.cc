#include <catch2/catch.hpp>

#include "groups/tests/fake_replicas.h"

namespace flamingoshunt::groups::testing {
namespace {

void Leave(fake_replicas& replicas,
           planner& leader,
           const base::instance_id& id) {
  replicas.At(id).record.leaving = true;
  leader.OnListed(replicas.At(id).record, replicas.now());
}

}  // namespace

// A sixth of all replicas leaves at the same moment.
TEST_CASE("Members that leave together do not interrupt the whole service") {
  fake_replicas replicas(6, 11);
  planner leader = MakePlanner(replicas);
  replicas.Run(leader, milliseconds(12000));
  leader.OnFirstRequest();
  replicas.first_request_seen = true;
  for (const auto& [name, group] : leader.groups())
    Leave(replicas, leader, group.members.back());
  std::size_t least = leader.announcement().groups.size();
  REQUIRE(least == 12);
  for (int i = 0; i < 400; ++i) {
    replicas.Run(leader, milliseconds(20));
    least = std::min(least, leader.announcement().groups.size());
  }
  CHECK(least >= 10);
  CHECK(replicas.violations().empty());
}

TEST_CASE("A group with a leaving head is taken out of service at once") {
  fake_replicas replicas(1, 11);
  planner leader = MakePlanner(replicas);
  replicas.Run(leader, milliseconds(6000));
  Leave(replicas, leader, leader.announcement().groups.front().head);
  replicas.Run(leader, milliseconds(100));
  CHECK(leader.announcement().groups.size() == 1);
}

TEST_CASE(
    "A group without a warm replacement keeps its leaving member and serves") {
  fake_replicas replicas(1, 9);
  planner leader = MakePlanner(replicas);
  replicas.Run(leader, milliseconds(6000));
  for (const auto& [name, group] : leader.groups())
    Leave(replicas, leader, group.members.back());
  replicas.Run(leader, milliseconds(3000));
  CHECK(leader.announcement().groups.size() == 2);
}

}  // namespace flamingoshunt::groups::testing
