#include <catch2/catch.hpp>

#include "delivery/tests/fakes/simulation.h"

namespace flamingoshunt::delivery {
namespace {

using endpoint::break_kind;
using std::chrono::minutes;
using std::chrono::seconds;

caller::request MakeRoomList() {
  caller::request request = MakePalletOrder("");
  request.method = "GET";
  request.repeatable = true;
  return request;
}

// Runs a service call whose first @p failures attempts fail with
// @p attempt_fault; later attempts succeed.
struct retried_call {
  retried_call(caller::request request, int failures, fault attempt_fault) {
    sim.endpoint = [=, this](const auto& attempt, const auto&, auto& to) {
      attempts.push_back(attempt);
      const bool is_last = static_cast<int>(attempts.size()) > failures;
      default_endpoint(
          attempt,
          is_last ? std::vector<fault>() : std::vector<fault>{attempt_fault},
          to);
    };
    call = &sim.StartCall(std::move(request));
    sim.RunUntil(minutes(30));
  }

  simulation sim;
  decltype(sim.endpoint) default_endpoint = sim.endpoint;
  std::vector<endpoint::attempt> attempts;
  simulated_call* call = nullptr;
};

}  // namespace

TEST_CASE("A stall is handled by a fresh connection, then by another replica") {
  const retried_call retried(MakeRoomList(), 2, fault::kStallsAfterRun);
  CHECK(retried.call->complete);
  CHECK(retried.call->data == "released pallet");
  REQUIRE(retried.attempts.size() == 3);
  CHECK_FALSE(retried.attempts[0].fresh_connection);
  CHECK(retried.attempts[1].fresh_connection);
  CHECK(retried.attempts[1].replica == retried.attempts[0].replica);
  CHECK(retried.attempts[2].replica != retried.attempts[0].replica);
}

TEST_CASE("A broken answer of a service is retried until it is complete") {
  const retried_call retried(MakeRoomList(), 3, fault::kBreaksInAnswer);
  CHECK(retried.call->complete);
  CHECK(retried.call->data == "released pallet");
  CHECK(retried.attempts.size() == 4);
}

TEST_CASE("A request past its deadline is reported with an unknown outcome") {
  for (const bool repeatable : {true, false}) {
    caller::request request = MakePalletOrder("");
    request.repeatable = repeatable;
    request.deadline = base::time_point(seconds(3));
    const retried_call retried(request, 9, fault::kStallsAfterRun);
    REQUIRE(retried.call->problem);
    CHECK(retried.call->problem->type == "deadline_passed");
    CHECK(retried.call->problem->outcome == caller::run_outcome::kUnknown);
    CHECK(retried.call->held_slots == 0);
    CHECK(retried.attempts.size() == 1);
  }
}

TEST_CASE("A timer that fires late after a process pause is not a stall") {
  const settings limits;
  id_source ids("node");
  auto machine = request_machine::builder()
                     .WithSettings(limits)
                     .WithIds(ids)
                     .AcceptedAt({})
                     .Build();
  machine.Handle(request_accepted{MakeDraft()}, {});
  machine.Handle(admission::grant{}, {});
  const base::time_point late_time(minutes(5));
  CHECK(machine.Handle(timer_fired{}, late_time).size() == 1);
  CHECK(machine.state() == request_state::kAwaitingHead);
  const auto effects = machine.Handle(timer_fired{}, late_time + seconds(1));
  const auto* standby = std::get_if<start_attempt>(&effects.at(0));
  REQUIRE(standby);
  CHECK(standby->attempt.fresh_connection);
  for (const effect& each : effects)
    CHECK_FALSE(std::holds_alternative<cancel_attempt>(each));
}

}  // namespace flamingoshunt::delivery
