#include <catch2/catch.hpp>

#include "groups/tests/fake_replicas.h"

namespace flamingoshunt::groups::testing {
namespace {

const group& FindGroup(const planner& leader, const std::string& model) {
  for (const auto& [name, group] : leader.groups()) {
    if (group.model == model)
      return group;
  }
  throw std::runtime_error("no group of " + model);
}

}  // namespace

TEST_CASE(
    "A suspected group is complete again within 3.5 s of losing a member") {
  fake_replicas replicas(1, 11);
  planner leader = MakePlanner(replicas);
  replicas.Run(leader, milliseconds(6000));
  leader.OnFirstRequest();
  replicas.first_request_seen = true;
  const group before = FindGroup(leader, "large");
  replicas.At(before.members.back()).dead = true;
  leader.OnStallSuspected(before.head(), replicas.now());
  replicas.Run(leader, milliseconds(200));
  CHECK(leader.announcement().groups.size() == 1);
  replicas.Run(leader, milliseconds(3300));
  CHECK(replicas.CompleteGroups("large") == 1);
  CHECK(leader.announcement().groups.size() == 2);
  CHECK(replicas.violations().empty());
}

TEST_CASE("Members leave an unreachable head before they join another group") {
  fake_replicas replicas(1, 11);
  planner leader = MakePlanner(replicas);
  replicas.Run(leader, milliseconds(6000));
  const group before = FindGroup(leader, "small");
  replicas.At(before.head()).unreachable = true;
  leader.OnStallSuspected(before.head(), replicas.now());
  // The head is queried again for a moment; a single lost packet changes
  // nothing.
  replicas.Run(leader, milliseconds(900));
  for (std::size_t i = 1; i < before.members.size(); ++i)
    CHECK(replicas.At(before.members[i]).record.engine.member->epoch ==
          before.epoch);
  replicas.Run(leader, milliseconds(4000));
  CHECK(leader.announcement().groups.size() == 2);
  CHECK(replicas.violations().empty());
}

TEST_CASE(
    "A head whose address refuses connections is replaced without delay") {
  fake_replicas replicas(1, 11);
  replicas.refuse_when_dead = true;
  planner leader = MakePlanner(replicas);
  replicas.Run(leader, milliseconds(6000));
  const group before = FindGroup(leader, "small");
  replicas.At(before.head()).dead = true;
  leader.OnStallSuspected(before.head(), replicas.now());
  replicas.Run(leader, milliseconds(2500));
  CHECK(replicas.CompleteGroups("small") == 1);
}

TEST_CASE("A false stall suspicion changes nothing") {
  fake_replicas replicas(1, 11);
  planner leader = MakePlanner(replicas);
  replicas.Run(leader, milliseconds(6000));
  const auto before = leader.announcement();
  leader.OnStallSuspected(before.groups.front().head, replicas.now());
  replicas.Run(leader, milliseconds(2000));
  CHECK(leader.announcement() == before);
}

}  // namespace flamingoshunt::groups::testing

namespace flamingoshunt::groups::testing {

TEST_CASE("An unlisted head is closed before its members join elsewhere") {
  fake_replicas replicas(1, 11);
  planner leader = MakePlanner(replicas);
  replicas.Run(leader, milliseconds(6000));
  const base::instance_id head = leader.announcement().groups.front().head;
  leader.OnUnlisted(head);
  replicas.Run(leader, milliseconds(100));
  CHECK(leader.announcement().groups.size() == 1);
  replicas.Run(leader, milliseconds(6000));
  CHECK(leader.announcement().groups.size() == 2);
  CHECK(replicas.violations().empty());
}

TEST_CASE(
    "A group with an unlisted member serves while it has no replacement") {
  fake_replicas replicas(1, 9);
  planner leader = MakePlanner(replicas);
  replicas.Run(leader, milliseconds(6000));
  const auto before = leader.announcement();
  REQUIRE(before.groups.size() == 2);
  for (const auto& [name, group] : leader.groups())
    leader.OnUnlisted(group.members.back());
  replicas.Run(leader, milliseconds(3000));
  CHECK(leader.announcement() == before);
}

}  // namespace flamingoshunt::groups::testing

namespace flamingoshunt::groups::testing {

TEST_CASE("An unanswered close order is sent again") {
  fake_replicas replicas(1, 11);
  planner leader = MakePlanner(replicas);
  replicas.Run(leader, milliseconds(6000));
  const group before = FindGroup(leader, "large");
  replicas.At(before.members.back()).dead = true;
  replicas.late_share = 1;
  leader.OnStallSuspected(before.head(), replicas.now());
  replicas.Run(leader, milliseconds(200));
  replicas.late_share = 0;
  // Well before the first order is executed late.
  replicas.Run(leader, milliseconds(600));
  CHECK(leader.groups().find(before.name) == leader.groups().end());
}

}  // namespace flamingoshunt::groups::testing
