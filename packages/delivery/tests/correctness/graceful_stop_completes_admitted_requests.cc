#include <catch2/catch.hpp>

#include "delivery/tests/fakes/scripted_engine.h"

namespace flamingoshunt::delivery {

TEST_CASE("A stop refuses queued requests and completes admitted ones") {
  constexpr int kSteps = 16;  // request slot, start, head, chunks, end, release
  int completed = 0;
  for (int step = 0; step < kSteps; ++step) {
    simulation sim({{0, step, fault::kNodeStops}});
    scripted_engine engine(std::vector<attempt_script>{
        {4}});  // Breaks once, so it needs a second slot.
    sim.endpoint = [&](const auto& attempt, const auto&, auto& call) {
      engine.Run(sim, attempt, call);
    };
    const simulated_call& call = sim.StartCall(MakeDraft());
    sim.RunUntil(std::chrono::minutes(5));
    INFO("stop at step " << step);
    CHECK(sim.occurred_faults.size() == 1);
    CHECK(call.finished());
    CHECK(call.complete != call.problem.has_value());
    CHECK((call.complete || engine.attempts == 0));
    completed += call.complete;
  }
  CHECK(completed == kSteps - 1);  // All but the one that waited for a slot.
}

}  // namespace flamingoshunt::delivery
