// Tests that the nodes of a deployment together identify the part of a prompt
// that crashes replicas.
#include <catch2/catch.hpp>

#include <thread>

#include "tests/native/native_deployment.h"

namespace flamingoshunt::native {
namespace {

using std::chrono::milliseconds;

constexpr int kNodes = 3;
constexpr int kCalls = 12;
constexpr int kMaxCrashes = 5;
// The deployment has one group for each model; its head is taken for restarted
// after a second.
constexpr milliseconds kCallInterval{600};

runtime::http_fields Prompt(int call, const std::string& prompt) {
  return {{"X-Flamingoshunt-Model", call % 2 == 0 ? "m0" : "m1"},
          {"X-Flamingoshunt-Prompt-Prefix", prompt}};
}

int CountCrashes(native_deployment& deployment) {
  int crashes = 0;
  deployment.RunOnStandIns([&] {
    for (const auto& replica : deployment.replicas())
      crashes += replica->crashes();
  });
  return crashes;
}

}  // namespace

// Guards against nodes that each wait for their own evidence: every node sees
// only some of the crashes.
TEST_CASE("No node sends on a prompt part that crashed replicas elsewhere") {
  // Never torn down, as the threads of a deployment need.
  auto& deployment = *new native_deployment(kNodes);
  deployment.RunOnStandIns([&] {
    for (auto& replica : deployment.replicas())
      replica->crashing_part = "bad0";
  });
  int served = 0;
  for (int i = 0; i < kCalls; ++i) {
    const std::string call = std::to_string(i);
    deployment.Call(i % kNodes, "/plan/" + call, "c" + call,
                    Prompt(i, "5c1e:40,bad0:30,a" + call + ":600"));
    const auto sound =
        deployment.Call(i % kNodes, "/plan/s" + call, "s" + call,
                        Prompt(i, "5c1e:40,900d:30,b" + call + ":600"));
    served += sound.status == 200 && sound.complete ? 1 : 0;
    std::this_thread::sleep_for(kCallInterval);
  }
  CHECK(CountCrashes(deployment) <= kMaxCrashes);
  CHECK(served == kCalls);
  for (int node = 0; node < kNodes; ++node)
    CHECK(deployment
              .Call(node, "/plan/x", "last" + std::to_string(node),
                    Prompt(node, "77aa:40,bad0:30,c:600"))
              .status == 503);
}

}  // namespace flamingoshunt::native
