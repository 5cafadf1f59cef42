#include <catch2/catch.hpp>

#include "delivery/tests/fakes/simulation.h"

namespace flamingoshunt::delivery {
namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

caller::request MakeOrderWithBody(std::string body) {
  caller::request request = MakePalletOrder();
  request.body = std::move(body);
  return request;
}

}  // namespace

TEST_CASE("A repeat gets the stored answer, another body a 422") {
  simulation sim;
  sim.StartCall(MakePalletOrder());
  sim.RunUntil(minutes(1));
  const simulated_call& repeat = sim.StartCall(MakePalletOrder());
  const simulated_call& other = sim.StartCall(MakeOrderWithBody("{}"));
  const simulated_call& fresh = sim.StartCall(MakePalletOrder("order-8"));
  sim.RunUntil(minutes(2));
  CHECK(repeat.data == "released pallet");
  CHECK(repeat.complete);
  REQUIRE(other.problem);
  CHECK(other.problem->status == 422);
  CHECK(fresh.complete);
  CHECK(sim.executed_requests.size() == 2);
}

TEST_CASE("The answer of a call whose caller left during the run is stored") {
  simulation sim({{0, 3, fault::kCallerDisconnects}});
  const simulated_call& first = sim.StartCall(MakePalletOrder());
  sim.RunUntil(minutes(1));
  CHECK(sim.occurred_faults.size() == 1);
  CHECK_FALSE(first.complete);
  const simulated_call& repeat = sim.StartCall(MakePalletOrder());
  sim.RunUntil(minutes(2));
  CHECK(repeat.complete);
  CHECK(sim.executed_requests.size() == 1);
}

TEST_CASE("A call whose answer is too large to store is not run again") {
  simulation sim;
  sim.limits.claims.stored_answer = 4;
  sim.StartCall(MakePalletOrder());
  sim.RunUntil(minutes(1));
  const simulated_call& repeat = sim.StartCall(MakePalletOrder());
  sim.RunUntil(minutes(2));
  REQUIRE(repeat.problem);
  CHECK(repeat.problem->type == "earlier_answer_not_kept");
  CHECK(sim.executed_requests.size() == 1);
}

TEST_CASE("The claim of a crashed node goes from in progress to unknown") {
  simulation sim({{0, 3, fault::kSenderCrashesAfter}});
  sim.StartCall(MakePalletOrder());
  sim.RunUntil(seconds(5));
  const simulated_call& early = sim.StartCall(MakePalletOrder());
  sim.RunUntil(hours(1));
  const simulated_call& late = sim.StartCall(MakePalletOrder());
  sim.RunUntil(hours(2));
  REQUIRE(early.problem);
  CHECK(early.problem->type == "call_in_progress");
  CHECK(early.problem->outcome == caller::run_outcome::kUnknown);
  REQUIRE(late.problem);
  CHECK(late.problem->type == "earlier_call_unknown");
  CHECK(sim.executed_requests.size() == 1);
}

TEST_CASE("A node paused after writing its claim does not send the call") {
  const settings limits;
  id_source ids("node");
  fake_store store;
  const base::time_point start;
  claim_session session(MakePalletOrder(), limits.claims, ids, start, {});
  const auto handle_reply = [&](const claim_step& step, base::time_point now) {
    return session.Handle(store.Call(step.calls.at(0), store_fault::kNone),
                          now);
  };
  CHECK(handle_reply(session.CheckExisting(start), start).result ==
        claim_result::kFree);
  const base::time_point late = start + limits.claims.use_within + seconds(1);
  CHECK(handle_reply(session.Acquire(start), late).result ==
        claim_result::kUncertain);
  const claim_step close = session.Close(claim_state::kRefused, {}, late);
  CHECK(handle_reply(close, late).result == claim_result::kClosed);
  const auto& object = store.objects().begin()->second;
  CHECK(DecodeClaim(object.value)->state == claim_state::kRefused);
}

TEST_CASE("A claim round-trips any bytes and rejects other texts") {
  claim_record record{"t", "c", claim_state::kDone, {}, {}, {}};
  for (std::size_t size = 0; size < 8; ++size) {
    record.answer = stored_answer{201, "a/b", std::string(size, '\0'), 4, "x"};
    record.answer->data += "\xff\"";
    CHECK(DecodeClaim(EncodeClaim(record)) == record);
  }
  const std::string text = EncodeClaim(record);
  CHECK_FALSE(DecodeClaim(text.substr(1)));
  CHECK_FALSE(DecodeClaim("{}"));
  CHECK_FALSE(DecodeClaim(R"({"token":"t","call":"c","state":"open",)"
                          R"("created_ms":1,"expires_ms":2})"));
}

}  // namespace flamingoshunt::delivery
