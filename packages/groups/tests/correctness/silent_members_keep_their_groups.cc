#include <catch2/catch.hpp>

#include "groups/tests/fake_replicas.h"

namespace flamingoshunt::groups::testing {
namespace {

// The users' longest silence of a sound replica is a second or so.
constexpr milliseconds kSilence{1300};

planner MakeServingPlanner(fake_replicas& replicas) {
  planner leader = MakePlanner(replicas);
  replicas.Run(leader, milliseconds(6000));
  leader.OnFirstRequest();
  replicas.first_request_seen = true;
  return leader;
}

std::vector<base::instance_id> AllMembers(const planner& leader) {
  std::vector<base::instance_id> all;
  for (const auto& [name, group] : leader.groups())
    all.insert(all.end(), group.members.begin(), group.members.end());
  return all;
}

void SetSilent(fake_replicas& replicas,
               const std::vector<base::instance_id>& ids,
               bool silent) {
  for (const base::instance_id& id : ids)
    replicas.At(id).silent = silent;
}

}  // namespace

// Guards against closing groups, which cuts their streams, since members are
// silent for a moment.
TEST_CASE("Groups outlive the silence of their members") {
  fake_replicas replicas(2, 11);
  planner leader = MakeServingPlanner(replicas);
  const auto before = leader.announcement();
  REQUIRE(before.groups.size() == 4);
  const auto members = AllMembers(leader);
  for (int round = 0; round < 5; ++round) {
    SetSilent(replicas, members, true);
    for (const auto& group : before.groups)
      leader.OnStallSuspected(group.head, replicas.now());
    replicas.Run(leader, kSilence);
    SetSilent(replicas, members, false);
    replicas.Run(leader, milliseconds(700));
  }
  CHECK(leader.announcement() == before);
}

TEST_CASE("A new leader adopts groups whose members are silent at first") {
  fake_replicas replicas(2, 11);
  planner former = MakeServingPlanner(replicas);
  const auto before = former.announcement().groups;
  const auto members = AllMembers(former);
  // Others of the domain have answered and wait for partners.
  const std::vector<base::instance_id> silent(members.begin(),
                                              members.begin() + 5);
  SetSilent(replicas, silent, true);
  planner leader = MakePlanner(replicas, 2);
  leader.OnFirstRequest();
  int closed = 0;
  replicas.on_change = [&](const group_change& change) {
    closed += change.event == "closing" ? 1 : 0;
  };
  replicas.Run(leader, kSilence);
  SetSilent(replicas, silent, false);
  replicas.Run(leader, milliseconds(2000));
  CHECK(closed == 0);
  CHECK(leader.announcement().groups == before);
  CHECK(replicas.violations().empty());
}

TEST_CASE("A member that stays silent is replaced") {
  fake_replicas replicas(1, 11);
  planner leader = MakeServingPlanner(replicas);
  const group large = [&] {
    for (const auto& [name, group] : leader.groups()) {
      if (group.model == "large")
        return group;
    }
    return group();
  }();
  REQUIRE(large.members.size() == 6);
  replicas.At(large.members.back()).silent = true;
  leader.OnStallSuspected(large.head(), replicas.now());
  replicas.Run(leader, milliseconds(1500));
  CHECK(leader.groups().contains(large.name));
  replicas.Run(leader, milliseconds(1000));
  CHECK_FALSE(leader.groups().contains(large.name));
  replicas.Run(leader, milliseconds(5000));
  CHECK(replicas.CompleteGroups("large") == 1);
}

// Guards against replicas that are lost for a trouble of the leader itself.
TEST_CASE("One unanswered query of a leader that was paused loses no group") {
  fake_replicas replicas(2, 11);
  planner leader = MakeServingPlanner(replicas);
  const auto before = leader.announcement();
  auto now = replicas.now();
  leader.OnStallSuspected(before.groups.front().head, now);
  const plan asked = leader.Tick(now);
  REQUIRE(asked.report_queries.size() == 6);
  now += milliseconds(2100);
  for (const report_query& query : asked.report_queries)
    leader.OnSilent(query.to, now);
  leader.Tick(now);
  CHECK(leader.announcement() == before);
}

TEST_CASE("Time in which a leader reaches nobody is no silence of a member") {
  fake_replicas replicas(2, 11);
  planner leader = MakeServingPlanner(replicas);
  const auto before = leader.announcement();
  const auto head = before.groups.front().head;
  auto now = replicas.now();
  const auto be_silent = [&] {
    for (int query = 0; query < 4; ++query) {
      now += milliseconds(200);
      leader.OnSilent(head, now);
    }
  };
  be_silent();
  now += milliseconds(2400);
  leader.OnInconclusive(head);
  be_silent();
  leader.Tick(now);
  CHECK(leader.announcement() == before);
}

TEST_CASE("Silent spares join no group") {
  fake_replicas replicas(1, 11);
  planner leader = MakeServingPlanner(replicas);
  const auto members = AllMembers(leader);
  REQUIRE(members.size() == 9);
  for (const auto& [id, host] : replicas.hosts()) {
    if (std::find(members.begin(), members.end(), id) == members.end()) {
      replicas.At(id).silent = true;
      leader.OnUnlisted(id);
      leader.OnListed(host.record, replicas.now());
    }
  }
  replicas.Run(leader, milliseconds(300));
  const group small = [&] {
    for (const auto& [name, group] : leader.groups()) {
      if (group.model == "small")
        return group;
    }
    return group();
  }();
  replicas.refuse_when_dead = true;
  replicas.At(small.members.back()).dead = true;
  leader.OnStallSuspected(small.head(), replicas.now());
  replicas.Run(leader, milliseconds(1000));
  for (const auto& [name, group] : leader.groups()) {
    for (const base::instance_id& id : group.members)
      CHECK_FALSE(replicas.At(id).silent);
  }
}

}  // namespace flamingoshunt::groups::testing
