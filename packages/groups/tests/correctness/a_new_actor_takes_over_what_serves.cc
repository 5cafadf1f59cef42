#include <catch2/catch.hpp>

#include "groups/tests/fake_replicas.h"

namespace flamingoshunt::groups::testing {

TEST_CASE("A new actor adopts the groups that serve") {
  fake_replicas replicas(2, 11);
  planner first = MakePlanner(replicas);
  replicas.Run(first, milliseconds(8000));
  planner second = MakePlanner(replicas, 2);
  replicas.Run(second, milliseconds(300));
  CHECK(second.statement().groups.size() == 4);
  CHECK(replicas.WholeGroups("large") == 2);
  CHECK(replicas.breaches().empty());
}

TEST_CASE("An actor under an old term cannot change a group") {
  fake_replicas replicas(1, 11);
  planner first = MakePlanner(replicas);
  replicas.Run(first, milliseconds(6000));
  planner second = MakePlanner(replicas, 2);
  replicas.Run(second, milliseconds(500));
  const auto serving = second.statement().groups;
  // The second actor closes a group under its fence.
  const base::instance_id head = serving.front().head;
  const auto member = replicas.At(head).members.back();
  replicas.At(member).dead = true;
  second.Suspected(head, replicas.now());
  replicas.Run(second, milliseconds(400));
  // The first one has slept and still believes in the group.
  replicas.Run(first, milliseconds(3000));
  CHECK(replicas.breaches().empty());
}

TEST_CASE("A new actor counts the loads that are under way") {
  fake_replicas replicas(4, 11);
  replicas.requests_began = true;
  planner first("llm");
  first.SetLayout(replicas.layout());
  first.RequestsBegan();
  replicas.ListAll(first);
  first.BeginTerm(1, replicas.now());
  replicas.Run(first, milliseconds(2500));
  const auto loading = [&] {
    return std::count_if(
        replicas.hosts().begin(), replicas.hosts().end(), [](const auto& each) {
          const auto& in = each.second.facts.engine.member;
          return in && in->state == fleet::member_state::kJoining &&
                 each.second.facts.engine.staged_models.empty();
        });
  };
  const auto before = loading();
  REQUIRE(before >= replicas.layout().max_concurrent_loads);
  planner second("llm");
  second.SetLayout(replicas.layout());
  second.RequestsBegan();
  replicas.ListAll(second);
  second.BeginTerm(2, replicas.now());
  replicas.Run(second, milliseconds(5000));
  CHECK(loading() <= before);
  // What was being formed goes on under the new actor.
  replicas.Run(second, milliseconds(10000));
  CHECK(replicas.WholeGroups("large") + replicas.WholeGroups("small") == 2);
  CHECK(replicas.breaches().empty());
}

}  // namespace flamingoshunt::groups::testing
