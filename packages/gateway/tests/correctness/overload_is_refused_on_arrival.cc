// Guards against refusing requests only after a long wait: during a burst of
// one and a half times the capacity of two heads.
#include <catch2/catch.hpp>

#include <map>

#include "gateway/tests/dispatch_fixture.h"

namespace flamingoshunt::gateway::testing {
namespace {

constexpr int kServiceMs = 900;  // Mean; uniform from 0.5 to 1.5 of it.
constexpr int kSlots = 26;
constexpr int kHeads = 2;
constexpr int kFirstEventTargetMs = 400;
constexpr int kRunMs = 6000;

struct load_result {
  int on_time = 0;
  int refused = 0;
  int refused_slowly = 0;  ///< After more than half the target.
};

load_result SimulateLoad(double load) {
  base::random_engine random(7);
  dispatcher node{base::random_engine(5)};
  node.SetView(MakeView(kHeads, kSlots), At(0));
  std::multimap<int, ticket_id> ends;
  std::map<ticket_id, int> arrived;
  load_result measured;
  const auto record = [&](const decisions& result, int now) {
    for (const grant& decision : result.grants) {
      ends.emplace(now + kServiceMs / 2 +
                       static_cast<int>(base::RandomUnit(random) * kServiceMs),
                   decision.ticket);
      measured.on_time +=
          now - arrived[decision.ticket] <= kFirstEventTargetMs ? 1 : 0;
    }
    for (const refusal& decision : result.refusals) {
      ++measured.refused;
      measured.refused_slowly +=
          now - arrived[decision.ticket] > kFirstEventTargetMs / 2 ? 1 : 0;
    }
  };
  double due_arrivals = 0;
  std::uint64_t next = 1;
  for (int now = 0; now < kRunMs; ++now) {
    while (!ends.empty() && ends.begin()->first <= now) {
      const ticket_id ticket = ends.begin()->second;
      ends.erase(ends.begin());
      record(node.Release(ticket, true, At(now)), now);
    }
    for (due_arrivals += load * kHeads * kSlots / kServiceMs; due_arrivals >= 1;
         due_arrivals -= 1) {
      auto request = MakeStreamRequest(next++, now, kFirstEventTargetMs);
      request.first_event_deadline = At(now + 2000);
      arrived[request.ticket] = now;
      record(node.Submit(request, At(now)), now);
    }
    if (now % 50 == 0)
      record(node.Tick(At(now)), now);
  }
  return measured;
}

}  // namespace

TEST_CASE(
    "In a long burst, requests that can't be served are refused at once") {
  const load_result measured = SimulateLoad(1.5);
  REQUIRE(measured.refused > 50);
  CHECK(measured.refused_slowly * 10 <= measured.refused);
  // The slots go to requests that are on time.
  CHECK(measured.on_time >= kHeads * kSlots * (kRunMs / kServiceMs - 1));
}

TEST_CASE("Below its capacity a node refuses no request") {
  CHECK(SimulateLoad(0.9).refused == 0);
}

}  // namespace flamingoshunt::gateway::testing
