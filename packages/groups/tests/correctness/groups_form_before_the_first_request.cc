#include <catch2/catch.hpp>

#include "groups/tests/fake_replicas.h"

namespace flamingoshunt::groups::testing {

TEST_CASE("Six domains of eleven serve both models within eight seconds") {
  fake_replicas replicas(6, 11);
  planner acting = MakePlanner(replicas);
  replicas.Run(acting, milliseconds(8000));
  CHECK(replicas.WholeGroups("large") == 6);
  CHECK(replicas.WholeGroups("small") == 6);
  CHECK(acting.statement().groups.size() == 12);
  CHECK(replicas.breaches().empty());
}

TEST_CASE(
    "Replicas that are listed one after the other still form mixed groups") {
  fake_replicas replicas(1, 11);
  planner acting("llm");
  acting.SetLayout(replicas.layout());
  acting.BeginTerm(1, replicas.now());
  for (const auto& [id, each] : replicas.hosts()) {
    acting.Listed(each.facts, replicas.now());
    replicas.Run(acting, milliseconds(100));
  }
  replicas.Run(acting, milliseconds(6000));
  CHECK(replicas.WholeGroups("large") == 1);
  CHECK(replicas.WholeGroups("small") == 1);
}

}  // namespace flamingoshunt::groups::testing
