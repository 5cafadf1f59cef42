#include <catch2/catch.hpp>

#include "gateway/tests/gateway_harness.h"

namespace flamingoshunt::gateway::testing {

TEST_CASE("A non-idempotent request is not retried when its answer is lost") {
  const gateway_harness harness([](gateway_harness& test) {
    const auto abort = [](runtime::http_exchange& exchange) {
      exchange.Abort();
    };
    test.SetTargets({test.AddReplica("a", abort), test.AddReplica("b", abort)});
    CHECK(test.Call("/once/x").status == 502);
    CHECK(test.arrivals["a"] + test.arrivals["b"] == 1);
  });
}

TEST_CASE("A 503 without a confirmation that it didn't run becomes a 502") {
  const gateway_harness harness([](gateway_harness& test) {
    test.SetTargets({test.AddReplica("a", [](runtime::http_exchange& exchange) {
      exchange.SendWhole(503, "", "");
    })});
    CHECK(test.Call("/once/x").status == 502);
  });
}

TEST_CASE("A confirmation that it didn't run is forwarded as a refusal") {
  const gateway_harness harness([](gateway_harness& test) {
    test.SetTargets({test.AddReplica("a", [](runtime::http_exchange& exchange) {
      exchange.SendWhole(503, "", "", {{"Not-Run", "1"}});
    })});
    CHECK(test.Call("/once/x").status == 503);
    CHECK(test.arrivals["a"] == 1);
  });
}

TEST_CASE("A request to a hung replica fails at the route's timeout") {
  const gateway_harness harness([](gateway_harness& test) {
    test.SetTargets({test.AddReplica("a", [](runtime::http_exchange&) {
      boost::this_fiber::sleep_for(milliseconds(900));
    })});
    const auto started_at = std::chrono::steady_clock::now();
    CHECK(test.Call("/once/x").status == 504);
    const auto elapsed = std::chrono::steady_clock::now() - started_at;
    CHECK(elapsed >= milliseconds(590));
    CHECK(elapsed < milliseconds(850));
  });
}

}  // namespace flamingoshunt::gateway::testing
