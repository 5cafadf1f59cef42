// Guards against answers that end because their replica was only silent.
#include <catch2/catch.hpp>

#include <algorithm>
#include <utility>
#include <vector>

#include "delivery/tests/fakes/scripted_engine.h"

namespace flamingoshunt::delivery {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

// An engine that falls silent after three tokens. It continues its streams
// after the silence, and takes no new connection until then.
class silent_engine {
 public:
  silent_engine(simulation& sim, base::duration silence)
      : sim_(sim), silent_until_(sim.now + silence) {
    sim_.endpoint = [this](const auto& attempt, const auto&, auto& call) {
      Run(attempt, call);
    };
  }

 private:
  void Run(const endpoint::attempt& attempt, simulated_call& call) {
    if (std::exchange(was_used_, true)) {
      sim_.After(seconds(1), [&call, id = attempt.id] {
        call.HandleInput(endpoint::answer_broken{
            id, endpoint::break_kind::kConnectFailed, false, "timeout"});
      });
      return;
    }
    call.HandleInput(
        endpoint::answer_head{attempt.id, 200, "text/event-stream"});
    call.HandleInput(
        endpoint::answer_chunk{attempt.id, 0, 3, scripted_engine::Text(0, 3)});
    sim_.At(silent_until_.time_since_epoch(), [&call, id = attempt.id] {
      const std::uint64_t count = scripted_engine::TokenCount();
      call.HandleInput(endpoint::answer_chunk{id, 3, count - 3,
                                              scripted_engine::Text(3, count)});
      call.HandleInput(endpoint::answer_end{id, count, "stop"});
    });
  }

  simulation& sim_;
  base::time_point silent_until_;
  bool was_used_ = false;
};

// Runs a stream whose replica is silent while the others take no connection or,
// without @p has_places, admission grants no second slot.
void CheckAnswerAfterSilence(base::duration silence, bool has_places) {
  simulation sim;
  int slot_requests = 0;
  sim.on_step = [&](int, int, const effect& step) {
    const bool refused = std::holds_alternative<request_slot>(step) &&
                         ++slot_requests > 1 && !has_places;
    return refused ? std::vector{fault::kNoSlot} : std::vector<fault>();
  };
  const silent_engine engine(sim, silence);
  caller::request draft = MakeDraft();
  draft.deadline = base::time_point(minutes(5));
  const simulated_call& call = sim.StartCall(draft);
  sim.RunUntil(minutes(30));
  CHECK(call.complete);
  CHECK_FALSE(call.problem);
  CHECK(call.data == scripted_engine::Text(0, scripted_engine::TokenCount()));
  CHECK(call.finished());
  CHECK(call.held_slots == 0);
}

}  // namespace

TEST_CASE("A stream goes on after a silence when no other slot is free") {
  CheckAnswerAfterSilence(seconds(12), false);
  CheckAnswerAfterSilence(seconds(60), false);
}

TEST_CASE("A stream goes on after a silence when all attempts are used up") {
  CheckAnswerAfterSilence(seconds(12), true);
  CheckAnswerAfterSilence(seconds(60), true);
}

TEST_CASE("A silent attempt is given up for one that has begun to answer") {
  simulation sim;
  std::vector<endpoint::attempt> attempts;
  std::vector<base::attempt_id> cancelled;
  sim.on_step = [&](int, int, const effect& step) {
    if (const auto* cancel = std::get_if<cancel_attempt>(&step))
      cancelled.push_back(cancel->attempt);
    return std::vector<fault>();
  };
  sim.endpoint = [&](const auto& attempt, const auto&, auto& call) {
    attempts.push_back(attempt);
    if (attempts.size() == 1)
      call.HandleInput(
          endpoint::answer_head{attempt.id, 200, "text/event-stream"});
    if (attempts.size() < 3)
      return;
    CHECK(std::count(cancelled.begin(), cancelled.end(), attempts[0].id) == 0);
    scripted_engine({}).Run(sim, attempt, call);
  };
  const simulated_call& call = sim.StartCall(MakeDraft());
  sim.RunUntil(minutes(30));
  CHECK(call.complete);
  CHECK(call.data == scripted_engine::Text(0, scripted_engine::TokenCount()));
  CHECK(call.held_slots == 0);
  REQUIRE(attempts.size() == 3);
  CHECK(attempts[1].replica == attempts[0].replica);
  CHECK(attempts[2].replica != attempts[0].replica);
  CHECK(cancelled == std::vector{attempts[1].id, attempts[0].id});
}

TEST_CASE("A standby attempt is given up when the silent one goes on") {
  simulation sim;
  std::vector<endpoint::attempt> attempts;
  std::vector<base::attempt_id> cancelled;
  sim.on_step = [&](int, int, const effect& step) {
    if (const auto* cancel = std::get_if<cancel_attempt>(&step))
      cancelled.push_back(cancel->attempt);
    return std::vector<fault>();
  };
  sim.endpoint = [&](const auto& attempt, const auto&, auto& call) {
    attempts.push_back(attempt);
    if (attempts.size() == 1)
      sim.After(seconds(21), [&sim, &call, attempt] {
        scripted_engine({}).Run(sim, attempt, call);
      });
  };
  const simulated_call& call = sim.StartCall(MakeDraft());
  sim.RunUntil(minutes(30));
  CHECK(call.complete);
  CHECK(call.data == scripted_engine::Text(0, scripted_engine::TokenCount()));
  CHECK(call.held_slots == 0);
  REQUIRE(attempts.size() == 3);
  CHECK(cancelled == std::vector{attempts[1].id, attempts[2].id});
}

TEST_CASE("Work that runs at most once goes on after a silence") {
  simulation sim;
  sim.endpoint = [&](const auto& attempt, const auto&, auto& call) {
    sim.executed_requests.push_back(attempt.request);
    sim.After(seconds(80), [&call, id = attempt.id] {
      call.HandleInput(endpoint::answer_head{id, 201, "text/plain"});
      call.HandleInput(endpoint::answer_chunk{id, 0, 0, "released pallet"});
      call.HandleInput(endpoint::answer_end{id, 15, ""});
    });
  };
  caller::request order = MakePalletOrder();
  order.deadline = base::time_point(minutes(5));
  const simulated_call& call = sim.StartCall(order);
  sim.RunUntil(minutes(30));
  CHECK(call.complete);
  CHECK(FindOrderViolation(sim, call).empty());
  CHECK(sim.executed_requests.size() == 1);
}

}  // namespace flamingoshunt::delivery
