#include <catch2/catch.hpp>

#include "groups/tests/fake_replicas.h"

namespace flamingoshunt::groups::testing {

TEST_CASE("A new leader adopts the groups that serve") {
  fake_replicas replicas(2, 11);
  planner first = MakePlanner(replicas);
  replicas.Run(first, milliseconds(8000));
  planner second = MakePlanner(replicas, 2);
  replicas.Run(second, milliseconds(300));
  CHECK(second.announcement().groups.size() == 4);
  CHECK(replicas.CompleteGroups("large") == 2);
  CHECK(replicas.violations().empty());
}

TEST_CASE("A leader of an old term cannot change a group") {
  fake_replicas replicas(1, 11);
  planner first = MakePlanner(replicas);
  replicas.Run(first, milliseconds(6000));
  planner second = MakePlanner(replicas, 2);
  replicas.Run(second, milliseconds(500));
  const auto serving = second.announcement().groups;
  // The second leader closes a group under its fencing token.
  const base::instance_id head = serving.front().head;
  const auto member = replicas.At(head).members.back();
  replicas.At(member).dead = true;
  second.OnStallSuspected(head, replicas.now());
  replicas.Run(second, milliseconds(400));
  // The first leader was suspended and still considers the group to be serving.
  replicas.Run(first, milliseconds(3000));
  CHECK(replicas.violations().empty());
}

TEST_CASE("A new leader counts the loads in progress") {
  fake_replicas replicas(4, 11);
  replicas.first_request_seen = true;
  planner first("llm");
  first.SetLayout(replicas.layout());
  first.OnFirstRequest();
  replicas.ListAll(first);
  first.BeginTerm(1, replicas.now());
  replicas.Run(first, milliseconds(2500));
  const auto loading = [&] {
    return std::count_if(
        replicas.hosts().begin(), replicas.hosts().end(),
        [](const auto& entry) {
          const auto& membership = entry.second.record.engine.member;
          return membership &&
                 membership->state == fleet::member_state::kJoining &&
                 entry.second.record.engine.staged_models.empty();
        });
  };
  const auto before = loading();
  REQUIRE(before >= replicas.layout().max_concurrent_loads);
  planner second("llm");
  second.SetLayout(replicas.layout());
  second.OnFirstRequest();
  replicas.ListAll(second);
  second.BeginTerm(2, replicas.now());
  replicas.Run(second, milliseconds(5000));
  CHECK(loading() <= before);
  // Groups that were forming continue under the new leader.
  replicas.Run(second, milliseconds(10000));
  CHECK(replicas.CompleteGroups("large") + replicas.CompleteGroups("small") ==
        2);
  CHECK(replicas.violations().empty());
}

}  // namespace flamingoshunt::groups::testing
