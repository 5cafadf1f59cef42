#include <catch2/catch.hpp>

#include "gateway/tests/gateway_harness.h"

namespace flamingoshunt::gateway::testing {
namespace {

// Runs @p failure for the first request at any replica; answers all others.
gateway_harness::replica_script FailFirstRequest(
    std::shared_ptr<int> count,
    gateway_harness::replica_script failure) {
  return
      [count, failure = std::move(failure)](runtime::http_exchange& exchange) {
        if ((*count)++ == 0)
          failure(exchange);
        else
          SendValidAnswer(exchange);
      };
}

caller_answer CallWithFirstFailure(gateway_harness::replica_script failure) {
  caller_answer answer;
  const gateway_harness harness([&](gateway_harness& test) {
    const auto count = std::make_shared<int>(0);
    test.SetTargets({test.AddReplica("a", FailFirstRequest(count, failure)),
                     test.AddReplica("b", FailFirstRequest(count, failure))});
    answer = test.Call("/safe/x");
  });
  return answer;
}

}  // namespace

TEST_CASE(
    "An error, abort, timeout or invalid answer is retried on another "
    "replica") {
  const std::vector<gateway_harness::replica_script> failures = {
      [](auto& exchange) { exchange.SendWhole(500, "", "oops"); },
      [](auto& exchange) { exchange.Abort(); },
      [](auto&) { boost::this_fiber::sleep_for(milliseconds(400)); },
      [](auto& exchange) { exchange.SendWhole(200, "", "unsigned"); },
      [](auto& exchange) {
        exchange.SendWhole(200, "", "x",
                           {{"Signature", "s"}, {"Content-Encoding", "br"}});
      }};
  for (std::size_t i = 0; i < failures.size(); ++i) {
    INFO("kind " << i);
    const auto answer = CallWithFirstFailure(failures[i]);
    CHECK(answer.status == 200);
    CHECK(answer.body == "done");
  }
}

TEST_CASE("No request reaches more replicas than its route allows") {
  const gateway_harness harness([](gateway_harness& test) {
    const auto send_error = [](runtime::http_exchange& exchange) {
      exchange.SendWhole(500, "", "oops", {{"Signature", "s"}});
    };
    test.SetTargets({test.AddReplica("a", send_error),
                     test.AddReplica("b", send_error),
                     test.AddReplica("c", send_error)});
    const auto answer = test.Call("/safe/x");
    // The last replica's error is forwarded unchanged.
    CHECK(answer.status == 500);
    CHECK(answer.body == "oops");
    CHECK(test.arrivals["a"] + test.arrivals["b"] + test.arrivals["c"] == 2);
  });
}

TEST_CASE("The answer to another request is skipped") {
  const gateway_harness harness([](gateway_harness& test) {
    test.SetTargets({test.AddReplica("a", [](runtime::http_exchange& exchange) {
      exchange.SendWhole(200, "", "foreign",
                         {{"Signature", "s"}, {"Id", "another"}});
      SendValidAnswer(exchange);
    })});
    const auto answer = test.Call("/safe/x");
    CHECK(answer.status == 200);
    CHECK(answer.body == "done");
  });
}

}  // namespace flamingoshunt::gateway::testing
