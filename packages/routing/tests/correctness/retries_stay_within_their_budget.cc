#include <catch2/catch.hpp>

#include "packages/routing/tests/replicas.h"
#include "routing/retry_budget.h"

namespace flamingoshunt::routing {

TEST_CASE("In an outage, retries stay at a tenth of the first attempts") {
  retry_budget budget;
  base::time_point now(1s);
  int retries = 0;
  constexpr int kAttempts = 20'000;
  for (int i = 0; i < kAttempts; ++i, now += 10ms) {
    budget.RecordFirstAttempt();
    // Every attempt fails and is retried up to three times.
    for (int again = 0; again < 3; ++again)
      retries += budget.TryConsume(now) ? 1 : 0;
  }
  const double seconds = kAttempts * 0.01;
  CHECK(retries <= kAttempts * retry_budget::kTokensPerAttempt +
                       retry_budget::kMaxTokens +
                       retry_budget::kMinTokensPerSecond * seconds);
  CHECK(retries >= kAttempts * retry_budget::kTokensPerAttempt);
  CHECK(budget.TimeUntilNext() > base::duration::zero());
}

}  // namespace flamingoshunt::routing
