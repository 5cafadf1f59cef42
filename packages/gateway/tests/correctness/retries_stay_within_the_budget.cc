#include <catch2/catch.hpp>

#include "gateway/retry_budget.h"
#include "gateway/tests/dispatch_fixture.h"

namespace flamingoshunt::gateway::testing {
namespace {

// Repeats that thirteen nodes may make together in one window.
int RepeatsOfFleet(int requests_each, int nodes) {
  int repeats = 0;
  for (int node = 0; node < nodes; ++node) {
    retry_budget budget{{0.2, 282, std::chrono::seconds(10)}};
    budget.SetNodes(nodes);
    for (int i = 0; i < requests_each; ++i)
      budget.NoteRequest("llm", At(i));
    while (budget.TryRepeat("llm", At(5000)))
      ++repeats;
  }
  return repeats;
}

}  // namespace

TEST_CASE("A fleet that loses everything stays inside its shared budget") {
  const int repeats = RepeatsOfFleet(100, 13);
  CHECK(repeats <= 0.2 * 1300 + 282);
  CHECK(repeats > 0.7 * (0.2 * 1300 + 282));
}

TEST_CASE("The budget comes back as the window moves on") {
  retry_budget budget{{0, 5, std::chrono::seconds(10)}};
  while (budget.TryRepeat("llm", At(0))) {
  }
  CHECK_FALSE(budget.TryRepeat("llm", At(9000)));
  CHECK(budget.TryRepeat("llm", At(10001)));
}

TEST_CASE("Services have budgets of their own") {
  retry_budget budget{{0, 2, std::chrono::seconds(10)}};
  CHECK(budget.TryRepeat("a", At(0)));
  CHECK_FALSE(budget.TryRepeat("a", At(0)));
  CHECK(budget.TryRepeat("b", At(0)));
}

}  // namespace flamingoshunt::gateway::testing
