#include <catch2/catch.hpp>

#include "groups/tests/fake_replicas.h"

namespace flamingoshunt::groups::testing {
namespace {

void Leave(fake_replicas& replicas,
           planner& acting,
           const base::instance_id& id) {
  replicas.At(id).facts.leaving = true;
  acting.Listed(replicas.At(id).facts, replicas.now());
}

}  // namespace

// Load pattern: a sixth of all replicas is taken away at one moment.
TEST_CASE("Members that leave together don't end all service") {
  fake_replicas replicas(6, 11);
  planner acting = MakePlanner(replicas);
  replicas.Run(acting, milliseconds(12000));
  acting.RequestsBegan();
  replicas.requests_began = true;
  for (const auto& [name, each] : acting.groups())
    Leave(replicas, acting, each.members.back());
  std::size_t least = acting.statement().groups.size();
  REQUIRE(least == 12);
  for (int i = 0; i < 400; ++i) {
    replicas.Run(acting, milliseconds(20));
    least = std::min(least, acting.statement().groups.size());
  }
  CHECK(least >= 10);
  CHECK(replicas.breaches().empty());
}

TEST_CASE("A leaving head is closed at once") {
  fake_replicas replicas(1, 11);
  planner acting = MakePlanner(replicas);
  replicas.Run(acting, milliseconds(6000));
  Leave(replicas, acting, acting.statement().groups.front().head);
  replicas.Run(acting, milliseconds(100));
  CHECK(acting.statement().groups.size() == 1);
}

TEST_CASE(
    "A group without a warm replacement serves on with its leaving member") {
  fake_replicas replicas(1, 9);
  planner acting = MakePlanner(replicas);
  replicas.Run(acting, milliseconds(6000));
  for (const auto& [name, each] : acting.groups())
    Leave(replicas, acting, each.members.back());
  replicas.Run(acting, milliseconds(3000));
  CHECK(acting.statement().groups.size() == 2);
}

}  // namespace flamingoshunt::groups::testing
