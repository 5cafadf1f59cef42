#include <catch2/catch.hpp>

#include "packages/routing/tests/replicas.h"

namespace flamingoshunt::routing {

namespace {

constexpr int kReplicas = 12;

/// @return how many of 100 choices are replica 5, which caches the prefix.
int Hits(policy_kind kind, int running_there, int lost_events) {
  router test_router({LocationOf(0), kind, 3});
  for (int i = 0; i < kReplicas; ++i) {
    test_router.Apply(Serving(i, 8));
    test_router.Apply(Report(i, 1, i == 5 ? running_there : 2),
                      base::time_point());
  }
  endpoint::cache_event event;
  event.instance = base::instance_id("i5");
  event.sequence = 1;
  event.added = {11, 12};
  test_router.Apply(event);
  event.added.clear();
  for (int i = 0; i < lost_events; ++i) {
    event.sequence += 2;
    test_router.Apply(event);
  }
  request_shape shape = Shape(1);
  shape.prefix_hashes = {11, 12, 13};
  int hits = 0;
  for (int i = 0; i < 100; ++i) {
    const auto place = test_router.Choose(shape, base::time_point());
    hits += place && place->replica == IdOf(5) ? 1 : 0;
  }
  return hits;
}

}  // namespace

TEST_CASE(
    "A cached prefix attracts requests unless load or lost events outweigh "
    "it") {
  struct row {
    policy_kind kind;
    int running_there;
    int lost_events;
    int min_hits;
    int max_hits;
  };
  const std::vector<row> rows{
      {policy_kind::kBoundedAffinity, 2, 0, 100, 100},
      {policy_kind::kBoundedAffinity, 3, 0, 100, 100},
      {policy_kind::kBoundedAffinity, 6, 0, 0, 20},
      {policy_kind::kBoundedAffinity, 4, 6, 0, 20},
      {policy_kind::kUnboundedAffinity, 6, 0, 100, 100},
      {policy_kind::kNoAffinity, 2, 0, 0, 40},
  };
  for (const auto& expected : rows) {
    CAPTURE(Name(expected.kind), expected.running_there, expected.lost_events);
    const int hits =
        Hits(expected.kind, expected.running_there, expected.lost_events);
    CHECK(hits >= expected.min_hits);
    CHECK(hits <= expected.max_hits);
  }
}

}  // namespace flamingoshunt::routing
