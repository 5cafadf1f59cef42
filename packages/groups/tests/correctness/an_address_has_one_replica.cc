
#include <catch2/catch.hpp>

#include "groups/tests/fake_replicas.h"

namespace flamingoshunt::groups::testing {
namespace {

void PutReady(fake_replicas& replicas, const base::instance_id& id, int rank) {
  auto& engine = replicas.At(id).facts.engine;
  engine.model = "small";
  engine.staged_models = {"small"};
  engine.member = fleet::membership{"g1-1", base::epoch(1000001), rank,
                                    fleet::member_state::kReady};
}

}  // namespace

TEST_CASE("A replica at a dead member's address doesn't stand in for it") {
  fake_replicas replicas(1, 3);
  auto id = replicas.hosts().begin();
  const base::instance_id head = (id++)->first;
  const base::instance_id dead = (id++)->first;
  const base::instance_id reborn = (id++)->first;
  // The dead one was to be the second member and never joined; the third runs
  // at its address, started later.
  PutReady(replicas, head, 0);
  PutReady(replicas, reborn, 2);
  replicas.At(dead).dead = true;
  replicas.At(reborn).facts.address = replicas.At(dead).facts.address;
  replicas.At(reborn).facts.engine.started_ms = 2;
  planner acting("llm");
  acting.SetLayout(replicas.layout());
  replicas.ListAll(acting);
  acting.Listed(replicas.At(dead).facts, replicas.now());
  acting.BeginTerm(2, replicas.now());
  replicas.Run(acting, milliseconds(3000));
  CHECK(replicas.At(head).facts.engine.member->state !=
        fleet::member_state::kOpen);
  CHECK(acting.statement().groups.empty());
}

TEST_CASE("A replica whose address belongs to another one is passed over") {
  fake_replicas replicas(1, 4);
  replicas.At(replicas.hosts().begin()->first).foreign = true;
  planner acting = MakePlanner(replicas);
  replicas.Run(acting, milliseconds(4000));
  CHECK(replicas.WholeGroups("small") == 1);
  CHECK(replicas.breaches().empty());
}

}  // namespace flamingoshunt::groups::testing
