#include <catch2/catch.hpp>

#include "groups/tests/fake_replicas.h"

namespace flamingoshunt::groups::testing {
namespace {

// One run: losses, returns and new replicas at random, with orders that are
// carried out late, and a change of the actor halfway.
std::vector<std::string> RunOnce(std::uint64_t seed) {
  fake_replicas replicas(2, 11);
  replicas.random.seed(seed);
  replicas.late_share = 0.2;
  planner acting = MakePlanner(replicas);
  base::random_engine random(seed);
  for (int step = 0; step < 60; ++step) {
    replicas.Run(acting, milliseconds(500));
    if (step == 30) {
      acting = MakePlanner(replicas, 2);
      continue;
    }
    auto it = replicas.hosts().begin();
    std::advance(it, base::RandomIndex(random, replicas.hosts().size()));
    auto& host = replicas.At(it->first);
    const auto kind = base::RandomIndex(random, 8);
    if (kind == 0) {
      host.dead = true;
      acting.Gone(it->first);
    } else if (kind == 1) {
      host.cut = !host.cut;
    } else if (kind == 2) {
      acting.Listed(replicas.At(replicas.Add(step % 2)).facts, replicas.now());
    } else if (kind == 5) {
      // Unlisted, though it lives.
      acting.Gone(it->first);
    } else if (kind == 6 && !host.dead) {
      acting.Listed(host.facts, replicas.now());
    } else if (kind < 5) {
      acting.Suspected(it->first, replicas.now());
    }
  }
  return replicas.breaches();
}

}  // namespace

TEST_CASE("No group opens without a member and none loses one while open") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    INFO("seed " << seed);
    const auto breaches = RunOnce(seed);
    CAPTURE(breaches);
    CHECK(breaches.empty());
  }
}

}  // namespace flamingoshunt::groups::testing
