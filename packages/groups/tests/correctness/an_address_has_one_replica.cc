
#include <catch2/catch.hpp>

#include "groups/tests/fake_replicas.h"

namespace flamingoshunt::groups::testing {
namespace {

void MakeReadyMember(fake_replicas& replicas,
                     const base::instance_id& id,
                     int rank) {
  auto& engine = replicas.At(id).record.engine;
  engine.model = "small";
  engine.staged_models = {"small"};
  engine.member = fleet::membership{"g1-1", base::epoch(1000001), rank,
                                    fleet::member_state::kReady};
}

}  // namespace

TEST_CASE(
    "A replica at a dead member's address does not replace it in its group") {
  fake_replicas replicas(1, 3);
  auto id = replicas.hosts().begin();
  const base::instance_id head = (id++)->first;
  const base::instance_id dead = (id++)->first;
  const base::instance_id successor = (id++)->first;
  // The dead replica was to be the second member and never joined; the third
  // one runs at its address and started later.
  MakeReadyMember(replicas, head, 0);
  MakeReadyMember(replicas, successor, 2);
  replicas.At(dead).dead = true;
  replicas.At(successor).record.address = replicas.At(dead).record.address;
  replicas.At(successor).record.engine.started_ms = 2;
  planner leader("llm");
  leader.SetLayout(replicas.layout());
  replicas.ListAll(leader);
  leader.OnListed(replicas.At(dead).record, replicas.now());
  leader.BeginTerm(2, replicas.now());
  replicas.Run(leader, milliseconds(3000));
  CHECK(replicas.At(head).record.engine.member->state !=
        fleet::member_state::kOpen);
  CHECK(leader.announcement().groups.empty());
}

TEST_CASE("A replica whose address now belongs to another one is not used") {
  fake_replicas replicas(1, 4);
  replicas.At(replicas.hosts().begin()->first).address_reused = true;
  planner leader = MakePlanner(replicas);
  replicas.Run(leader, milliseconds(4000));
  CHECK(replicas.CompleteGroups("small") == 1);
  CHECK(replicas.violations().empty());
}

}  // namespace flamingoshunt::groups::testing
