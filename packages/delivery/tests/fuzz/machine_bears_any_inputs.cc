// Feeds the machine inputs in any order, fitting or not, and checks what must
// hold of its effects whatever comes.
#include <catch2/catch.hpp>

#include <utility>

#include "delivery/tests/fakes/simulation.h"
#include "tests/fixed_seed.h"

namespace flamingoshunt::delivery {
namespace {

struct watched_machine {
  explicit watched_machine(const caller::request& request) : request(request) {}

  void Feed(const input& message) {
    for (const effect& effect : machine.Handle(message, now))
      std::visit([this](const auto& typed) { Check(typed); }, effect);
    RC_ASSERT(!machine.finished() || places == 0);
  }

  void Check(const start_attempt& effect) {
    RC_ASSERT(!running && places == 1);
    RC_ASSERT(request.repeatable || !may_have_run);
    RC_ASSERT(request.repeatable || effect.attempt.fresh_connection);
    running = true;
    attempt = effect.attempt.id;
    RC_ASSERT(++attempts <= limits.attempts.max_attempts);
  }
  void Check(const cancel_attempt&) {
    running = false;
    may_have_run = true;
  }
  void Check(const release_place&) { RC_ASSERT(--places >= 0); }
  void Check(const ask_place&) { RC_ASSERT(places == 0); }
  void Check(const call_platform& effect) { call = effect.call.id; }
  void Check(const send_chunk& effect) {
    RC_ASSERT(!over && effect.offset == tokens);
    tokens += effect.token_count;
  }
  void Check(const send_end& effect) {
    RC_ASSERT(!over && effect.total == tokens);
    over = true;
  }
  void Check(const send_problem& effect) {
    RC_ASSERT(!over);
    RC_ASSERT(!may_have_run ||
              effect.problem.outcome == caller::run_outcome::kUnknown);
    over = true;
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
  int places = 0;
  bool running = false;
  bool may_have_run = false;
  bool over = false;
};

void FeedBreak(watched_machine& watched) {
  const auto kind = static_cast<endpoint::break_kind>(
      *rc::gen::inRange(0, static_cast<int>(endpoint::break_kind::kMalformed)));
  const bool left = *rc::gen::arbitrary<bool>();
  const bool unrun = !left && kind <= endpoint::break_kind::kRefused;
  watched.may_have_run |= std::exchange(watched.running, false) && !unrun;
  watched.Feed(endpoint::answer_broken{watched.attempt, kind, left, ""});
}

void FeedReply(watched_machine& watched) {
  store::reply reply;
  reply.id = watched.call;
  reply.outcome = static_cast<store::call_outcome>(*rc::gen::inRange(0, 6));
  if (reply.outcome == store::call_outcome::kOk)
    reply.current =
        store::object{{}, base::revision(*rc::gen::inRange(1, 4)), "{}"};
  watched.Feed(reply);
}

void FeedAny(watched_machine& watched) {
  const std::uint64_t offset = *rc::gen::inRange<std::uint64_t>(0, 6);
  const bool waits = watched.machine.state() == request_state::kWaitingForPlace;
  switch (*rc::gen::inRange(0, 12)) {
    case 0:
      return watched.Feed(timer_fired{});
    case 1:
      watched.now += std::chrono::milliseconds(*rc::gen::inRange(1, 60000));
      return watched.Feed(timer_fired{});
    case 2:
      return FeedBreak(watched);
    case 3:
      return FeedReply(watched);
    case 4:
      return watched.Feed(admission::refusal{
          {},
          static_cast<admission::refusal_reason>(*rc::gen::inRange(0, 9)),
          std::nullopt});
    case 5:
    case 6:
    case 7:
      watched.places += waits;
      return waits ? watched.Feed(admission::grant{}) : void();
    case 8:
      return watched.Feed(endpoint::answer_head{watched.attempt, 200, ""});
    case 9:
    case 10:
      return watched.Feed(
          endpoint::answer_chunk{watched.attempt, offset,
                                 *rc::gen::inRange<std::uint64_t>(0, 3), "x"});
    default:
      watched.may_have_run |= std::exchange(watched.running, false);
      return watched.Feed(endpoint::answer_end{watched.attempt, offset, ""});
  }
}

void CheckAnyInputs(const caller::request& request) {
  watched_machine watched(request);
  watched.Feed(request_accepted{request});
  const int inputs = *rc::gen::inRange(0, 60);
  for (int i = 0; i < inputs && !watched.machine.finished(); ++i)
    FeedAny(watched);
  watched.Feed(caller_gone{});
}

}  // namespace

TEST_CASE("Whatever comes, the machine keeps its promises") {
  caller::request plain_order = PalletOrder("");
  for (const auto& request : {Draft(), PalletOrder(), plain_order})
    CHECK(tests::Holds([&] { CheckAnyInputs(request); }, 3000));
}

}  // namespace flamingoshunt::delivery
