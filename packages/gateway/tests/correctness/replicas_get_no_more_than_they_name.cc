#include <catch2/catch.hpp>

#include <boost/fiber/operations.hpp>

#include "gateway/tests/gateway_harness.h"

namespace flamingoshunt::gateway::testing {
namespace {

constexpr double kLimit = 5;  // requests a second
constexpr int kCalls = 100;
constexpr milliseconds kCallInterval{25};
// Bounds of the deployment's rules: the limit may be exceeded by half, and by
// some requests that were under way.
constexpr double kTolerance = 1.5;
constexpr double kSlack = 5;

}  // namespace

// Guards against load that is placed by free slots alone.
TEST_CASE("A replica gets no more requests than it names in its answers") {
  int limited = 0;
  int unlimited = 0;
  const gateway_harness harness([&](gateway_harness& test) {
    const auto replica_a =
        test.AddReplica("a", [&](runtime::http_exchange& exchange) {
          ++limited;
          exchange.SendWhole(200, "text/plain", "done",
                             {{"Signature", "s"},
                              {"Id", std::string(exchange.request()["Id"])},
                              {"Limit", "5"}});
        });
    const auto replica_b =
        test.AddReplica("b", [&](runtime::http_exchange& exchange) {
          ++unlimited;
          SendValidAnswer(exchange);
        });
    test.SetTargets({replica_a, replica_b});
    for (int i = 0; i < kCalls; ++i) {
      CHECK(test.Call("/safe/x").status == 200);
      boost::this_fiber::sleep_for(kCallInterval);
    }
  });
  const double seconds =
      std::chrono::duration<double>(kCalls * kCallInterval).count();
  CHECK(limited <= kTolerance * kLimit * seconds + kSlack);
  CHECK(limited >= kLimit * seconds / 2);
  CHECK(limited + unlimited == kCalls);
}

}  // namespace flamingoshunt::gateway::testing
