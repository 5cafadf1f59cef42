#include <catch2/catch.hpp>

#include <functional>
#include <map>

#include "packages/routing/tests/replicas.h"

namespace flamingoshunt::routing {

namespace {

constexpr int kReplicas = 10;

router MakeRouter() {
  router result({LocationOf(0), policy_kind::kBoundedAffinity, 3});
  for (int i = 0; i < kReplicas; ++i)
    result.Apply(Serving(i, 8));
  return result;
}

struct answer {
  attempt_result result = attempt_result::kCompleted;
  base::duration to_first_token = 300ms;
};

/// Runs @p count requests one after the other, 50 ms apart.
/// @return how often each replica was chosen; key -1 counts requests without
/// one.
std::map<int, int> Run(router& test_router,
                       int count,
                       const std::function<answer(int)>& answer_of) {
  std::map<int, int> chosen;
  static base::time_point now(1s);
  for (int i = 0; i < count; ++i, now += 50ms) {
    const auto shape = Shape(i);
    const auto place = test_router.Choose(shape, now);
    const int number = place ? NumberOf(place->replica) : -1;
    ++chosen[number];
    if (!place)
      continue;
    test_router.AttemptStarted(shape, *place, now);
    const answer received = answer_of(number);
    test_router.AttemptFinished(
        Finished(shape, *place, received.result, received.to_first_token), now);
  }
  return chosen;
}

}  // namespace

TEST_CASE("A slow replica gets far less work, but is still tried") {
  auto test_router = MakeRouter();
  const auto answer_of = [](int number) {
    return answer{attempt_result::kCompleted, number == 4 ? 3s : 300ms};
  };
  Run(test_router, 500, answer_of);
  const auto chosen = Run(test_router, 2'000, answer_of);
  CHECK(chosen.at(4) > 0);
  CHECK(chosen.at(4) < 2'000 / kReplicas / 3);
}

TEST_CASE("A failing replica is ejected, and taken back when it recovers") {
  auto test_router = MakeRouter();
  const auto failing = [](int number) {
    return answer{
        number == 4 ? attempt_result::kSlow : attempt_result::kCompleted,
        300ms};
  };
  CHECK(Run(test_router, 2'000, failing)[4] < 40);
  const auto healthy = [](int) { return answer{}; };
  CHECK(Run(test_router, 2'000, healthy)[4] > 50);
}

TEST_CASE("Never are all replicas ejected, even when all of them fail") {
  auto test_router = MakeRouter();
  const auto failing = [](int) {
    return answer{attempt_result::kNotStarted, 300ms};
  };
  const auto chosen = Run(test_router, 2'000, failing);
  CHECK(chosen.count(-1) == 0);
  CHECK(chosen.size() >= kReplicas / 2);
}

TEST_CASE("Cancelled attempts do not count against a replica") {
  auto test_router = MakeRouter();
  const auto cancelled = [](int) {
    return answer{attempt_result::kCancelled, 300ms};
  };
  const auto chosen = Run(test_router, 2'000, cancelled);
  CHECK(chosen.size() == kReplicas);
}

}  // namespace flamingoshunt::routing
