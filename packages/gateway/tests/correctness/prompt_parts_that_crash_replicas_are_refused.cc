#include <catch2/catch.hpp>

#include "gateway/tests/gateway_harness.h"

namespace flamingoshunt::gateway::testing {
namespace {

constexpr int kReplicas = 12;
constexpr int kCalls = 20;
constexpr int kFirstParts = 4;
constexpr milliseconds kCallInterval{60};
// Five crashes identify the part; at most three further requests may follow.
constexpr int kMaxCrashes = 5 + 3;

bool HasCrashingPart(const runtime::http_request& request) {
  const std::string parts(request["Parts"]);
  return parts.find("13") != std::string::npos;
}

void BeginStreamAndCrash(runtime::http_exchange& exchange) {
  exchange.StartStream(
      200, "text/event-stream",
      {{"Signature", "s"}, {"Id", std::string(exchange.request()["Id"])}});
  exchange.Abort();
}

}  // namespace

// Guards against counting crashes by whole request: no two requests are alike,
// and a part of the prompt crashes every replica.
TEST_CASE("A prompt part that crashes replicas reaches no more of them") {
  int crashes = 0;
  int served = 0;
  const gateway_harness harness([&](gateway_harness& test) {
    std::vector<target> replicas;
    for (int i = 0; i < kReplicas; ++i) {
      replicas.push_back(test.AddReplica(
          "r" + std::to_string(i), [&](runtime::http_exchange& exchange) {
            if (!HasCrashingPart(exchange.request())) {
              StreamEvents(exchange, 3);
              return;
            }
            ++crashes;
            BeginStreamAndCrash(exchange);
          }));
    }
    test.SetTargets({}, replicas);
    for (int i = 0; i < kCalls; ++i) {
      const std::string call = std::to_string(i);
      const std::string first_part = std::to_string(i % kFirstParts);
      test.Call("/stream/" + call, {{"Parts", first_part + " 13"}});
      const auto sound =
          test.Call("/stream/s" + call, {{"Parts", first_part + " 7"}});
      served += sound.status == 200 && sound.body == AllEvents(3) ? 1 : 0;
      boost::this_fiber::sleep_for(kCallInterval);
    }
  });
  CHECK(crashes <= kMaxCrashes);
  CHECK(served == kCalls);
}

}  // namespace flamingoshunt::gateway::testing
