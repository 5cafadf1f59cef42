#include <catch2/catch.hpp>

#include <algorithm>

#include "gateway/tests/dispatch_fixture.h"

namespace flamingoshunt::gateway::testing {
namespace {

dispatcher MakeDispatcher(const fleet_view_ptr& view) {
  dispatcher node{base::random_engine(3)};
  node.SetView(view, At(0));
  return node;
}

}  // namespace

TEST_CASE("A burst of prompts is spread evenly over the replicas") {
  auto node = MakeDispatcher(MakeView(6, 26));
  for (std::uint64_t i = 0; i < 24; ++i)
    REQUIRE(node.Submit(MakeStreamRequest(i + 1, 0), At(0)).grants.size() == 1);
  for (const auto& [head, load] : node.own_loads())
    CHECK(load.running == 4);
}

TEST_CASE("Load placed by other nodes counts like the node's own") {
  auto node = MakeDispatcher(MakeView(2, 26, 13));
  node.UpdatePeerLoads({{base::instance_id("h0"), {20, 14000, 3000}}}, At(0));
  for (std::uint64_t i = 0; i < 6; ++i)
    node.Submit(MakeStreamRequest(i + 1, 0), At(0));
  CHECK(node.own_loads().at(base::instance_id("h1")).running == 6);
  CHECK_FALSE(node.own_loads().contains(base::instance_id("h0")));
}

TEST_CASE("At peak load, requests that can be on time go before late ones") {
  auto node = MakeDispatcher(MakeView(1, 1));
  node.Submit(MakeStreamRequest(1, 0), At(0));
  node.Submit(MakeStreamRequest(2, 0), At(0));      // Late from 400 ms on.
  node.Submit(MakeStreamRequest(3, 500), At(500));  // Late from 900 ms on.
  const auto result = node.Release(ticket_id(1), true, At(600));
  REQUIRE(result.grants.size() == 1);
  CHECK(result.grants[0].ticket == ticket_id(3));
  const auto next = node.Release(ticket_id(3), true, At(1000));
  REQUIRE(next.grants.size() == 1);
  CHECK(next.grants[0].ticket == ticket_id(2));
}

TEST_CASE(
    "An urgent request goes before less urgent ones that arrived earlier") {
  auto node = MakeDispatcher(MakeView(1, 1));
  node.Submit(MakeStreamRequest(1, 0), At(0));
  auto later = MakeStreamRequest(2, 10);
  later.priority = 2;
  node.Submit(later, At(10));
  auto urgent = MakeStreamRequest(3, 20);
  urgent.priority = 1;
  node.Submit(urgent, At(20));
  const auto result = node.Release(ticket_id(1), true, At(100));
  REQUIRE(result.grants.size() == 1);
  CHECK(result.grants[0].ticket == ticket_id(3));
}

TEST_CASE(
    "A request that can't be served in time is refused with Retry-After") {
  auto node = MakeDispatcher(MakeView(1, 1));
  std::uint64_t refused_at = 0;
  refusal refused;
  for (std::uint64_t i = 1; i <= 40 && refused_at == 0; ++i) {
    auto request = MakeStreamRequest(i, 0);
    request.deadline = At(2000);
    const auto result = node.Submit(request, At(0));
    if (!result.refusals.empty()) {
      refused_at = i;
      refused = result.refusals[0];
    }
  }
  REQUIRE(refused_at > 1);
  CHECK(refused.ticket == ticket_id(refused_at));
  CHECK(refused.retry_after >= milliseconds(50));
  CHECK(refused.retry_after <= milliseconds(3000));
}

TEST_CASE("Without a serving replica, a request is refused at once") {
  auto node = MakeDispatcher(MakeView(0, 1));
  const auto result = node.Submit(MakeStreamRequest(1, 0), At(0));
  REQUIRE(result.refusals.size() == 1);
  CHECK(result.refusals[0].reason == refusal_reason::kNoReplica);
  CHECK(node.waiting() == 0);
}

TEST_CASE("A queued request is refused once its slot would be too late") {
  auto node = MakeDispatcher(MakeView(1, 1));
  node.Submit(MakeStreamRequest(1, 0), At(0));
  auto request = MakeStreamRequest(2, 0);
  request.deadline = At(2500);
  CHECK(node.Submit(request, At(0)).refusals.empty());
  CHECK(node.Tick(At(500)).refusals.empty());
  CHECK(node.Tick(At(2300)).refusals.size() == 1);
}

TEST_CASE("A suspected replica gets no requests until it makes progress") {
  auto node = MakeDispatcher(MakeView(2, 26));
  node.Suspect(base::instance_id("h0"), At(1000));
  for (std::uint64_t i = 1; i <= 4; ++i)
    node.Submit(MakeStreamRequest(i, 0), At(0));
  CHECK_FALSE(node.own_loads().contains(base::instance_id("h0")));
  node.ClearSuspicion(base::instance_id("h0"), At(10));
  node.Submit(MakeStreamRequest(5, 10), At(10));
  CHECK(node.own_loads().contains(base::instance_id("h0")));
}

TEST_CASE("A request is never placed on a replica already tried") {
  auto node = MakeDispatcher(MakeView(2, 26));
  auto request = MakeStreamRequest(1, 0);
  request.avoid = {base::instance_id("h0")};
  const auto result = node.Submit(request, At(0));
  REQUIRE(result.grants.size() == 1);
  CHECK(result.grants[0].replica.instance == base::instance_id("h1"));
  CHECK_FALSE(node.HasAlternative(
      "llm", "m", {base::instance_id("h0"), base::instance_id("h1")}, At(0)));
}

TEST_CASE("Loads return to zero when all requests have ended") {
  auto node = MakeDispatcher(MakeView(3, 4));
  for (std::uint64_t i = 1; i <= 12; ++i)
    node.Submit(MakeStreamRequest(i, 0), At(0));
  for (std::uint64_t i = 1; i <= 12; ++i) {
    if (i % 2)
      node.OnFirstEvent(ticket_id(i));
    node.Release(ticket_id(i), i % 3 == 0, At(900));
  }
  CHECK(node.own_loads().empty());
}

}  // namespace flamingoshunt::gateway::testing
