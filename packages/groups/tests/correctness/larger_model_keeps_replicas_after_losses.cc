// Repeated losses break up the large groups while every few survivors could
// form a small one.
#include <catch2/catch.hpp>

#include "groups/tests/fake_replicas.h"

namespace flamingoshunt::groups::testing {
namespace {

void KillOneOfEachLargeGroup(fake_replicas& replicas, const planner& leader) {
  for (const auto& [name, group] : leader.groups()) {
    if (group.model == "large")
      replicas.At(group.members.back()).dead = true;
  }
}

}  // namespace

TEST_CASE("Repeated losses do not leave all replicas to the small model") {
  fake_replicas replicas(4, 11);
  replicas.refuse_when_dead = true;
  planner leader = MakePlanner(replicas);
  replicas.Run(leader, milliseconds(8000));
  REQUIRE(replicas.CompleteGroups("large") == 4);
  leader.OnFirstRequest();
  replicas.first_request_seen = true;
  for (int i = 0; i < 5; ++i) {
    KillOneOfEachLargeGroup(replicas, leader);
    for (const auto& [id, host] : replicas.hosts()) {
      if (host.dead)
        leader.OnUnlisted(id);
    }
    for (const auto& [id, host] : replicas.hosts())
      leader.OnStallSuspected(id, replicas.now());
    replicas.Run(leader, milliseconds(3000));
  }
  // Six of each domain's eleven replicas are left: enough for one large group
  // or two small ones.
  replicas.Run(leader, milliseconds(40000));
  CHECK(replicas.CompleteGroups("large") >= 2);
  CHECK(replicas.violations().empty());
}

}  // namespace flamingoshunt::groups::testing
