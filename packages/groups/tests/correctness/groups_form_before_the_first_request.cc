#include <catch2/catch.hpp>

#include "groups/tests/fake_replicas.h"

namespace flamingoshunt::groups::testing {

TEST_CASE("Six domains of eleven replicas serve both models within 8 s") {
  fake_replicas replicas(6, 11);
  planner leader = MakePlanner(replicas);
  replicas.Run(leader, milliseconds(8000));
  CHECK(replicas.CompleteGroups("large") == 6);
  CHECK(replicas.CompleteGroups("small") == 6);
  CHECK(leader.announcement().groups.size() == 12);
  CHECK(replicas.violations().empty());
}

TEST_CASE("Replicas that are listed one by one form groups of both models") {
  fake_replicas replicas(1, 11);
  planner leader("llm");
  leader.SetLayout(replicas.layout());
  leader.BeginTerm(1, replicas.now());
  for (const auto& [id, host] : replicas.hosts()) {
    leader.OnListed(host.record, replicas.now());
    replicas.Run(leader, milliseconds(100));
  }
  replicas.Run(leader, milliseconds(6000));
  CHECK(replicas.CompleteGroups("large") == 1);
  CHECK(replicas.CompleteGroups("small") == 1);
}

// Guards against small groups that form from the first replicas of a domain
// that report, and leave too few for a large one.
TEST_CASE(
    "A domain whose replicas report one by one gets groups of both models") {
  fake_replicas replicas(4, 1);
  replicas.answers_per_step = 1;
  planner leader = MakePlanner(replicas);
  replicas.Run(leader, milliseconds(1000));
  // The first list held one replica of each domain.
  for (int i = 0; i < 40; ++i)
    leader.OnListed(replicas.At(replicas.Add(i % 4)).record, replicas.now());
  replicas.Run(leader, milliseconds(7000));
  CHECK(replicas.CompleteGroups("large") == 4);
  CHECK(replicas.CompleteGroups("small") == 4);
  CHECK(replicas.violations().empty());
}

}  // namespace flamingoshunt::groups::testing
