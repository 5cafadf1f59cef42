// Passes inputs to the machine in random order, valid in its state or not, and
// checks invariants of its effects.
#include <catch2/catch.hpp>

#include <set>
#include <utility>

#include "delivery/tests/fakes/simulation.h"
#include "tests/fixed_seed.h"

namespace flamingoshunt::delivery {
namespace {

struct checked_machine {
  explicit checked_machine(const caller::request& request) : request(request) {}

  void HandleInput(const input& message) {
    const bool was_running = !running.empty();
    for (const effect& effect : machine.Handle(message, now))
      std::visit([this](const auto& typed) { Check(typed); }, effect);
    RC_ASSERT(!machine.finished() ||
              (held_slots == 0 && running.empty() && !slot_requested));
    // Silence alone ends no attempt unless another one runs.
    if (was_running && std::holds_alternative<timer_fired>(message))
      RC_ASSERT(!running.empty() || caller_served);
  }

  void Check(const start_attempt& effect) {
    const bool is_standby = !running.empty();
    RC_ASSERT(running.size() < 2);
    RC_ASSERT(held_slots == 1 || (is_standby && held_slots == 2));
    RC_ASSERT(request.repeatable || (!may_have_run && !is_standby));
    RC_ASSERT(request.repeatable || effect.attempt.fresh_connection);
    attempt = effect.attempt.id;
    RC_ASSERT(running.insert(attempt).second);
    RC_ASSERT(++attempts <= limits.attempts.max_attempts);
  }
  void Check(const cancel_attempt& effect) {
    RC_ASSERT(running.erase(effect.attempt) == 1);
    may_have_run = true;
  }
  void Check(const release_slot&) { RC_ASSERT(--held_slots >= 0); }
  void Check(const request_slot&) {
    RC_ASSERT(held_slots == 0 || (request.repeatable && held_slots == 1 &&
                                  running.size() == 1 && !slot_requested));
    slot_requested = true;
  }
  void Check(const withdraw_slot_request&) {
    RC_ASSERT(std::exchange(slot_requested, false));
  }
  void Check(const call_platform& effect) { call = effect.call.id; }
  void Check(const send_chunk& effect) {
    RC_ASSERT(!caller_served && effect.offset == tokens);
    tokens += effect.token_count;
  }
  void Check(const send_end& effect) {
    RC_ASSERT(!caller_served && effect.total == tokens);
    caller_served = true;
  }
  void Check(const send_problem& effect) {
    RC_ASSERT(!caller_served);
    RC_ASSERT(!may_have_run ||
              effect.problem.outcome == caller::run_outcome::kUnknown);
    caller_served = true;
  }
  void Check(const auto&) {}

  caller::request request;
  settings limits;
  id_source ids{"node"};
  request_machine machine = request_machine::builder()
                                .WithSettings(limits)
                                .WithIds(ids)
                                .AcceptedAt({})
                                .Build();
  base::time_point now;
  base::attempt_id attempt;
  store::call_id call;
  std::uint64_t tokens = 0;
  int attempts = 0;
  int held_slots = 0;
  std::set<base::attempt_id> running;
  bool slot_requested = false;
  bool may_have_run = false;
  bool caller_served = false;
};

// @return a running attempt, or else the last one.
base::attempt_id AnyAttempt(const checked_machine& machine_under_test) {
  const auto& running = machine_under_test.running;
  if (running.empty())
    return machine_under_test.attempt;
  return *rc::gen::arbitrary<bool>() ? *running.begin() : *running.rbegin();
}

void HandleAnyBreak(checked_machine& machine_under_test) {
  const auto kind = static_cast<endpoint::break_kind>(
      *rc::gen::inRange(0, static_cast<int>(endpoint::break_kind::kMalformed)));
  const bool may_have_been_sent = *rc::gen::arbitrary<bool>();
  const bool not_run =
      !may_have_been_sent && kind <= endpoint::break_kind::kRefused;
  const base::attempt_id attempt = AnyAttempt(machine_under_test);
  const bool ended = machine_under_test.running.erase(attempt) == 1;
  machine_under_test.may_have_run |= ended && !not_run;
  machine_under_test.HandleInput(
      endpoint::answer_broken{attempt, kind, may_have_been_sent, ""});
}

void HandleAnyEnd(checked_machine& machine_under_test, std::uint64_t offset) {
  const base::attempt_id attempt = AnyAttempt(machine_under_test);
  machine_under_test.may_have_run |=
      machine_under_test.running.erase(attempt) == 1;
  machine_under_test.HandleInput(endpoint::answer_end{attempt, offset, ""});
}

void HandleAnyReply(checked_machine& machine_under_test) {
  store::reply reply;
  reply.id = machine_under_test.call;
  reply.outcome = static_cast<store::call_outcome>(*rc::gen::inRange(0, 6));
  if (reply.outcome == store::call_outcome::kOk)
    reply.current =
        store::object{{}, base::revision(*rc::gen::inRange(1, 4)), "{}"};
  machine_under_test.HandleInput(reply);
}

void HandleAnyInput(checked_machine& machine_under_test) {
  const std::uint64_t offset = *rc::gen::inRange<std::uint64_t>(0, 6);
  switch (*rc::gen::inRange(0, 12)) {
    case 0:
      return machine_under_test.HandleInput(timer_fired{});
    case 1:
      machine_under_test.now +=
          std::chrono::milliseconds(*rc::gen::inRange(1, 60000));
      return machine_under_test.HandleInput(timer_fired{});
    case 2:
      return HandleAnyBreak(machine_under_test);
    case 3:
      return HandleAnyReply(machine_under_test);
    case 4:
      machine_under_test.slot_requested = false;
      return machine_under_test.HandleInput(admission::refusal{
          {},
          static_cast<admission::refusal_reason>(*rc::gen::inRange(0, 9)),
          std::nullopt});
    case 5:
    case 6:
    case 7:
      if (!std::exchange(machine_under_test.slot_requested, false))
        return;
      ++machine_under_test.held_slots;
      return machine_under_test.HandleInput(admission::grant{});
    case 8:
      return machine_under_test.HandleInput(
          endpoint::answer_head{AnyAttempt(machine_under_test), 200, ""});
    case 9:
    case 10:
      return machine_under_test.HandleInput(
          endpoint::answer_chunk{AnyAttempt(machine_under_test), offset,
                                 *rc::gen::inRange<std::uint64_t>(0, 3), "x"});
    default:
      return HandleAnyEnd(machine_under_test, offset);
  }
}

void CheckAnyInputs(const caller::request& request) {
  checked_machine machine_under_test(request);
  machine_under_test.HandleInput(request_accepted{request});
  const int inputs = *rc::gen::inRange(0, 60);
  for (int i = 0; i < inputs && !machine_under_test.machine.finished(); ++i)
    HandleAnyInput(machine_under_test);
  machine_under_test.HandleInput(caller_disconnected{});
}

}  // namespace

TEST_CASE("The request machine keeps its invariants for any inputs") {
  caller::request plain_order = MakePalletOrder("");
  for (const auto& request : {MakeDraft(), MakePalletOrder(), plain_order})
    CHECK(tests::Holds([&] { CheckAnyInputs(request); }, 3000));
}

}  // namespace flamingoshunt::delivery
