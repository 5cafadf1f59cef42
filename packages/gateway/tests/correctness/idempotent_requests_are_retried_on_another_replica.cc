#include <catch2/catch.hpp>

#include "gateway/tests/gateway_harness.h"

namespace flamingoshunt::gateway::testing {
namespace {

// The first request to arrive anywhere meets @p bad, all others are answered.
gateway_harness::replica_script FirstMeets(
    std::shared_ptr<int> count,
    gateway_harness::replica_script bad) {
  return [count, bad = std::move(bad)](runtime::http_exchange& exchange) {
    if ((*count)++ == 0)
      bad(exchange);
    else
      AnswerWell(exchange);
  };
}

caller_answer CallWithFirst(gateway_harness::replica_script bad) {
  caller_answer answer;
  const gateway_harness harness([&](gateway_harness& test) {
    const auto count = std::make_shared<int>(0);
    test.Serve({test.AddReplica("a", FirstMeets(count, bad)),
                test.AddReplica("b", FirstMeets(count, bad))});
    answer = test.Call("/safe/x");
  });
  return answer;
}

}  // namespace

TEST_CASE(
    "A replica's failure, cut, silence or garbage costs one more replica") {
  const std::vector<gateway_harness::replica_script> kinds = {
      [](auto& exchange) { exchange.SendWhole(500, "", "oops"); },
      [](auto& exchange) { exchange.Abort(); },
      [](auto&) { boost::this_fiber::sleep_for(milliseconds(400)); },
      [](auto& exchange) { exchange.SendWhole(200, "", "unsigned"); },
      [](auto& exchange) {
        exchange.SendWhole(200, "", "x",
                           {{"Signature", "s"}, {"Content-Encoding", "br"}});
      }};
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    INFO("kind " << i);
    const auto answer = CallWithFirst(kinds[i]);
    CHECK(answer.status == 200);
    CHECK(answer.body == "done");
  }
}

TEST_CASE("No request reaches more replicas than its route allows") {
  const gateway_harness harness([](gateway_harness& test) {
    const auto fail = [](runtime::http_exchange& exchange) {
      exchange.SendWhole(500, "", "oops", {{"Signature", "s"}});
    };
    test.Serve({test.AddReplica("a", fail), test.AddReplica("b", fail),
                test.AddReplica("c", fail)});
    const auto answer = test.Call("/safe/x");
    // The last replica's own failure is passed on unchanged.
    CHECK(answer.status == 500);
    CHECK(answer.body == "oops");
    CHECK(test.arrivals["a"] + test.arrivals["b"] + test.arrivals["c"] == 2);
  });
}

TEST_CASE("An answer left over from another request is skipped") {
  const gateway_harness harness([](gateway_harness& test) {
    test.Serve({test.AddReplica("a", [](runtime::http_exchange& exchange) {
      exchange.SendWhole(200, "", "foreign",
                         {{"Signature", "s"}, {"Id", "another"}});
      AnswerWell(exchange);
    })});
    const auto answer = test.Call("/safe/x");
    CHECK(answer.status == 200);
    CHECK(answer.body == "done");
  });
}

}  // namespace flamingoshunt::gateway::testing
