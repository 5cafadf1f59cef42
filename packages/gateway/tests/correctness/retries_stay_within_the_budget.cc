#include <catch2/catch.hpp>

#include "gateway/retry_budget.h"
#include "gateway/tests/dispatch_fixture.h"

namespace flamingoshunt::gateway::testing {
namespace {

// @return the retries that @p nodes may make in total in one window.
int CountFleetRetries(int requests_each, int nodes) {
  int retries = 0;
  for (int node = 0; node < nodes; ++node) {
    retry_budget budget{{0.2, 282, std::chrono::seconds(10)}};
    budget.SetNodes(nodes);
    for (int i = 0; i < requests_each; ++i)
      budget.RecordRequest("llm", At(i));
    while (budget.TryRetry("llm", At(5000)))
      ++retries;
  }
  return retries;
}

}  // namespace

TEST_CASE("A fleet that loses all replicas stays within its shared budget") {
  const int retries = CountFleetRetries(100, 13);
  CHECK(retries <= 0.2 * 1300 + 282);
  CHECK(retries > 0.7 * (0.2 * 1300 + 282));
}

TEST_CASE("The budget is restored as the window advances") {
  retry_budget budget{{0, 5, std::chrono::seconds(10)}};
  while (budget.TryRetry("llm", At(0))) {
  }
  CHECK_FALSE(budget.TryRetry("llm", At(9000)));
  CHECK(budget.TryRetry("llm", At(10001)));
}

TEST_CASE("Services have separate budgets") {
  retry_budget budget{{0, 2, std::chrono::seconds(10)}};
  CHECK(budget.TryRetry("a", At(0)));
  CHECK_FALSE(budget.TryRetry("a", At(0)));
  CHECK(budget.TryRetry("b", At(0)));
}

}  // namespace flamingoshunt::gateway::testing
