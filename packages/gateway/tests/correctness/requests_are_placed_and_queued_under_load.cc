#include <catch2/catch.hpp>

#include <algorithm>

#include "gateway/tests/dispatch_fixture.h"

namespace flamingoshunt::gateway::testing {
namespace {

dispatcher Dispatcher(const fleet_view_ptr& view) {
  dispatcher line{base::random_engine(3)};
  line.SetView(view, At(0));
  return line;
}

}  // namespace

TEST_CASE("A burst of prompts is spread so that no replica reads two more") {
  auto line = Dispatcher(View(6, 26));
  for (std::uint64_t i = 0; i < 24; ++i)
    REQUIRE(line.Ask(Stream(i + 1, 0), At(0)).grants.size() == 1);
  for (const auto& [head, load] : line.own_loads())
    CHECK(load.running == 4);
}

TEST_CASE("What other nodes have placed counts as much as one's own") {
  auto line = Dispatcher(View(2, 26, 13));
  line.UpdatePeerLoads({{base::instance_id("h0"), {20, 14000, 3000}}}, At(0));
  for (std::uint64_t i = 0; i < 6; ++i)
    line.Ask(Stream(i + 1, 0), At(0));
  CHECK(line.own_loads().at(base::instance_id("h1")).running == 6);
  CHECK_FALSE(line.own_loads().contains(base::instance_id("h0")));
}

TEST_CASE(
    "At the crest, work that can still be on time goes before late work") {
  auto line = Dispatcher(View(1, 1));
  line.Ask(Stream(1, 0), At(0));
  line.Ask(Stream(2, 0), At(0));      // Is late at 400 ms.
  line.Ask(Stream(3, 500), At(500));  // Is late at 900 ms.
  const auto made = line.Ended(ticket_id(1), true, At(600));
  REQUIRE(made.grants.size() == 1);
  CHECK(made.grants[0].ticket == ticket_id(3));
  const auto next = line.Ended(ticket_id(3), true, At(1000));
  REQUIRE(next.grants.size() == 1);
  CHECK(next.grants[0].ticket == ticket_id(2));
}

TEST_CASE("Urgent work goes before less urgent work that came earlier") {
  auto line = Dispatcher(View(1, 1));
  line.Ask(Stream(1, 0), At(0));
  auto later = Stream(2, 10);
  later.priority = 2;
  line.Ask(later, At(10));
  auto urgent = Stream(3, 20);
  urgent.priority = 1;
  line.Ask(urgent, At(20));
  const auto made = line.Ended(ticket_id(1), true, At(100));
  REQUIRE(made.grants.size() == 1);
  CHECK(made.grants[0].ticket == ticket_id(3));
}

TEST_CASE(
    "What can't be served in time is refused at once, with a time to return") {
  auto line = Dispatcher(View(1, 1));
  std::uint64_t refused_at = 0;
  refusal why;
  for (std::uint64_t i = 1; i <= 40 && refused_at == 0; ++i) {
    auto request = Stream(i, 0);
    request.give_up_at = At(2000);
    const auto made = line.Ask(request, At(0));
    if (!made.refusals.empty()) {
      refused_at = i;
      why = made.refusals[0];
    }
  }
  REQUIRE(refused_at > 1);
  CHECK(why.ticket == ticket_id(refused_at));
  CHECK(why.retry_after >= milliseconds(50));
  CHECK(why.retry_after <= milliseconds(3000));
}

TEST_CASE("With nothing serving, a request doesn't wait for its deadline") {
  auto line = Dispatcher(View(0, 1));
  const auto made = line.Ask(Stream(1, 0), At(0));
  REQUIRE(made.refusals.size() == 1);
  CHECK(made.refusals[0].reason == refusal_reason::kNoReplica);
  CHECK(line.waiting() == 0);
}

TEST_CASE("Waiting work is looked at again when its turn would come too late") {
  auto line = Dispatcher(View(1, 1));
  line.Ask(Stream(1, 0), At(0));
  auto request = Stream(2, 0);
  request.give_up_at = At(2500);
  CHECK(line.Ask(request, At(0)).refusals.empty());
  CHECK(line.Tick(At(500)).refusals.empty());
  CHECK(line.Tick(At(2300)).refusals.size() == 1);
}

TEST_CASE("A suspected replica gets nothing until it is heard of") {
  auto line = Dispatcher(View(2, 26));
  line.Suspect(base::instance_id("h0"), At(1000));
  for (std::uint64_t i = 1; i <= 4; ++i)
    line.Ask(Stream(i, 0), At(0));
  CHECK_FALSE(line.own_loads().contains(base::instance_id("h0")));
  line.Clear(base::instance_id("h0"), At(10));
  line.Ask(Stream(5, 10), At(10));
  CHECK(line.own_loads().contains(base::instance_id("h0")));
}

TEST_CASE("A request is never placed where it was tried before") {
  auto line = Dispatcher(View(2, 26));
  auto request = Stream(1, 0);
  request.avoid = {base::instance_id("h0")};
  const auto made = line.Ask(request, At(0));
  REQUIRE(made.grants.size() == 1);
  CHECK(made.grants[0].place.instance == base::instance_id("h1"));
  CHECK_FALSE(line.HasAlternative(
      "llm", "m", {base::instance_id("h0"), base::instance_id("h1")}, At(0)));
}

TEST_CASE("Loads return to nothing when all requests have ended") {
  auto line = Dispatcher(View(3, 4));
  for (std::uint64_t i = 1; i <= 12; ++i)
    line.Ask(Stream(i, 0), At(0));
  for (std::uint64_t i = 1; i <= 12; ++i) {
    if (i % 2)
      line.Started(ticket_id(i));
    line.Ended(ticket_id(i), i % 3 == 0, At(900));
  }
  CHECK(line.own_loads().empty());
}

}  // namespace flamingoshunt::gateway::testing
