#include <catch2/catch.hpp>

#include "groups/tests/fake_replicas.h"

namespace flamingoshunt::groups::testing {

// Guards against closing groups after an outage of the store: it then delivers,
// one by one, the states that the replicas had during the outage.
TEST_CASE("List entries that are outdated after an outage close no group") {
  fake_replicas replicas(1, 11);
  planner leader = MakePlanner(replicas);
  const auto empty = replicas.hosts();
  replicas.Run(leader, milliseconds(6000));
  const auto before = leader.announcement();
  REQUIRE(before.groups.size() == 2);
  replicas.Run(leader, milliseconds(5000));
  for (const auto& [id, host] : empty)
    leader.OnListed(host.record, replicas.now());
  replicas.Run(leader, milliseconds(2000));
  CHECK(leader.announcement() == before);
}

TEST_CASE(
    "A replica that restarted under the same name is no longer a member") {
  fake_replicas replicas(1, 11);
  planner leader = MakePlanner(replicas);
  replicas.Run(leader, milliseconds(6000));
  const auto member = leader.groups().begin()->second.members.back();
  auto& host = replicas.At(member);
  host.record.engine.started_ms += 1000;
  host.record.engine.member.reset();
  host.record.engine.model.clear();
  leader.OnListed(host.record, replicas.now());
  replicas.Run(leader, milliseconds(50));
  CHECK(leader.announcement().groups.size() == 1);
}

}  // namespace flamingoshunt::groups::testing
