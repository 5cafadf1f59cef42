// Checks that a stream that fails at any two offsets, in every way, reaches the
// caller unchanged.
#include <catch2/catch.hpp>

#include "delivery/tests/fakes/scripted_engine.h"

namespace flamingoshunt::delivery {

TEST_CASE("A stream broken twice, at every offset, completes byte for byte") {
  for (std::uint64_t first_offset = 0;
       first_offset <= scripted_engine::TokenCount(); ++first_offset)
    for (std::uint64_t second_offset = 0;
         second_offset <= scripted_engine::TokenCount(); ++second_offset)
      for (int i = 0; i < kEngineFailures * kEngineFailures; ++i) {
        const auto first = static_cast<engine_failure>(i % kEngineFailures);
        const auto second = static_cast<engine_failure>(i / kEngineFailures);
        const std::string violation = FindStreamViolation(
            {{first_offset, first}, {second_offset, second}});
        if (!violation.empty())
          FAIL(violation << ", broken at " << first_offset << " and "
                         << second_offset << " in ways " << i);
      }
}

TEST_CASE("A stream that breaks in every attempt ends with a problem") {
  simulation sim;
  scripted_engine engine(std::vector<attempt_script>(100, {3}));
  sim.endpoint = [&](const auto& attempt, const auto&, auto& call) {
    engine.Run(sim, attempt, call);
  };
  const simulated_call& call = sim.StartCall(MakeDraft());
  sim.RunUntil(std::chrono::hours(1));
  CHECK_FALSE(call.complete);
  CHECK(call.finished());
  CHECK(call.held_slots == 0);
  REQUIRE(call.problem);
  CHECK(call.problem->type == "endpoint_failed");
  CHECK(call.problem->outcome == caller::run_outcome::kUnknown);
  CHECK(static_cast<int>(engine.attempts) == sim.limits.attempts.max_attempts);
}

}  // namespace flamingoshunt::delivery
