#include <catch2/catch.hpp>

#include "groups/tests/fake_replicas.h"

namespace flamingoshunt::groups::testing {

// Load pattern: the store was away for seconds and then shows, one after the
// other, the states that the replicas had meanwhile.
TEST_CASE("Old entries of an outage close no group") {
  fake_replicas replicas(1, 11);
  planner acting = MakePlanner(replicas);
  const auto empty = replicas.hosts();
  replicas.Run(acting, milliseconds(6000));
  const auto before = acting.statement();
  REQUIRE(before.groups.size() == 2);
  replicas.Run(acting, milliseconds(5000));
  for (const auto& [id, each] : empty)
    acting.Listed(each.facts, replicas.now());
  replicas.Run(acting, milliseconds(2000));
  CHECK(acting.statement() == before);
}

TEST_CASE("A replica that restarted under its name is no member any more") {
  fake_replicas replicas(1, 11);
  planner acting = MakePlanner(replicas);
  replicas.Run(acting, milliseconds(6000));
  const auto member = acting.groups().begin()->second.members.back();
  auto& host = replicas.At(member);
  host.facts.engine.started_ms += 1000;
  host.facts.engine.member.reset();
  host.facts.engine.model.clear();
  acting.Listed(host.facts, replicas.now());
  replicas.Run(acting, milliseconds(50));
  CHECK(acting.statement().groups.size() == 1);
}

}  // namespace flamingoshunt::groups::testing
