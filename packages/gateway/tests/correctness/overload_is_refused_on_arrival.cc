// Replays a wave that brings half as many requests again as two heads can run.
#include <catch2/catch.hpp>

#include <map>

#include "gateway/tests/dispatch_fixture.h"

namespace flamingoshunt::gateway::testing {
namespace {

constexpr int kServiceMs = 900;  // On average; from half to one and a half.
constexpr int kSlots = 26;
constexpr int kHeads = 2;
constexpr int kAimMs = 400;
constexpr int kLengthMs = 6000;

struct outcome {
  int on_time = 0;
  int refused = 0;
  int refused_late = 0;  ///< Held for longer than half the aim.
};

outcome PlayWave(double load) {
  base::random_engine random(7);
  dispatcher line{base::random_engine(5)};
  line.SetView(View(kHeads, kSlots), At(0));
  std::multimap<int, ticket_id> ends;
  std::map<ticket_id, int> arrived;
  outcome seen;
  const auto take = [&](const decisions& made, int now) {
    for (const grant& each : made.grants) {
      ends.emplace(now + kServiceMs / 2 +
                       static_cast<int>(base::RandomUnit(random) * kServiceMs),
                   each.ticket);
      seen.on_time += now - arrived[each.ticket] <= kAimMs ? 1 : 0;
    }
    for (const refusal& each : made.refusals) {
      ++seen.refused;
      seen.refused_late += now - arrived[each.ticket] > kAimMs / 2 ? 1 : 0;
    }
  };
  double due = 0;
  std::uint64_t next = 1;
  for (int now = 0; now < kLengthMs; ++now) {
    while (!ends.empty() && ends.begin()->first <= now) {
      const ticket_id ended = ends.begin()->second;
      ends.erase(ends.begin());
      take(line.Ended(ended, true, At(now)), now);
    }
    for (due += load * kHeads * kSlots / kServiceMs; due >= 1; due -= 1) {
      auto request = Stream(next++, now, kAimMs);
      request.first_event_by = At(now + 2000);
      arrived[request.ticket] = now;
      take(line.Ask(request, At(now)), now);
    }
    if (now % 50 == 0)
      take(line.Tick(At(now)), now);
  }
  return seen;
}

}  // namespace

TEST_CASE("In a long wave what can't be served hears so at once") {
  const outcome seen = PlayWave(1.5);
  REQUIRE(seen.refused > 50);
  CHECK(seen.refused_late * 10 <= seen.refused);
  // The places go to work that is on time.
  CHECK(seen.on_time >= kHeads * kSlots * (kLengthMs / kServiceMs - 1));
}

TEST_CASE("Below its capacity a node refuses nothing") {
  CHECK(PlayWave(0.9).refused == 0);
}

}  // namespace flamingoshunt::gateway::testing
