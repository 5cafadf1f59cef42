#include <catch2/catch.hpp>

#include "gateway/tests/gateway_harness.h"

namespace flamingoshunt::gateway::testing {

TEST_CASE("Method, target and body are forwarded; the key is not") {
  const gateway_harness harness([](gateway_harness& test) {
    test.SetTargets({test.AddReplica("a", SendValidAnswer)});
    const auto answer = test.Call("/once/x?y=1");
    CHECK(answer.status == 200);
    CHECK(answer.body == "done");
    CHECK(test.last_request.target() == "/once/x?y=1");
    CHECK(test.last_request.body() == "body");
    CHECK(test.last_request["Workspace"] == "w1");
    CHECK(test.last_request["Instance"] == "a");
    CHECK(test.last_request.find("Key") == test.last_request.end());
  });
}

TEST_CASE("Requests not allowed by the configuration reach no replica") {
  const gateway_harness harness([](gateway_harness& test) {
    const auto a = test.AddReplica("a", SendValidAnswer);
    CHECK(test.Call("/once/x").status == 503);
    test.SetTargets({a});
    CHECK(test.Call("/other/x").status == 404);
    CHECK(test.Call("/once/x", {{"Key", "unknown"}}).status == 401);
    CHECK(test.arrivals.empty());
  });
}

TEST_CASE(
    "A request to a service without replicas is refused with Retry-After") {
  const gateway_harness harness([](gateway_harness& test) {
    test.SetTargets({});
    const auto answer = test.Call("/safe/x");
    CHECK(answer.status == 503);
    bool retry_after = false;
    for (const auto& [name, value] : answer.fields)
      retry_after = retry_after || name == "Retry-After";
    CHECK(retry_after);
  });
}

}  // namespace flamingoshunt::gateway::testing
