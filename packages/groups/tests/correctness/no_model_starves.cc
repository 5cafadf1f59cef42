// Replays losses in series that take the large groups apart while every few
// survivors could make a small one.
#include <catch2/catch.hpp>

#include "groups/tests/fake_replicas.h"

namespace flamingoshunt::groups::testing {
namespace {

void KillOneOfEachLargeGroup(fake_replicas& replicas, const planner& acting) {
  for (const auto& [name, each] : acting.groups()) {
    if (each.model == "large")
      replicas.At(each.members.back()).dead = true;
  }
}

}  // namespace

TEST_CASE("Losses in series don't leave all replicas to the small model") {
  fake_replicas replicas(4, 11);
  replicas.refuse_when_dead = true;
  planner acting = MakePlanner(replicas);
  replicas.Run(acting, milliseconds(8000));
  REQUIRE(replicas.WholeGroups("large") == 4);
  acting.RequestsBegan();
  replicas.requests_began = true;
  for (int i = 0; i < 5; ++i) {
    KillOneOfEachLargeGroup(replicas, acting);
    for (const auto& [id, each] : replicas.hosts()) {
      if (each.dead)
        acting.Gone(id);
    }
    for (const auto& [id, each] : replicas.hosts())
      acting.Suspected(id, replicas.now());
    replicas.Run(acting, milliseconds(3000));
  }
  // Six of each domain's eleven are left: a large group or two small ones.
  replicas.Run(acting, milliseconds(40000));
  CHECK(replicas.WholeGroups("large") >= 2);
  CHECK(replicas.breaches().empty());
}

}  // namespace flamingoshunt::groups::testing
