// Tests that a configuration is in force in time at a node that the store turns
// away while it serves the others.
#include <catch2/catch.hpp>

#include <thread>

#include "tests/native/native_deployment.h"

namespace flamingoshunt::native {
namespace {

using std::chrono::milliseconds;

constexpr int kNodes = 3;
constexpr int kApart = 2;  // The node that the store turns away.
// The users' bound from the acknowledgement to its effect at every node.
constexpr milliseconds kInForce{2000};

bool HasExtra(native_deployment& deployment, int node) {
  return deployment.Call(node, "/extra/x", "x").status == 200;
}

}  // namespace

// Guards against requests handled by a configuration that was replaced seconds
// ago, at a node whose peers all know the later one.
TEST_CASE(
    "A node that the store turns away gets configurations from its peers") {
  // Never torn down, as the threads of a deployment need.
  auto& deployment = *new native_deployment(kNodes, true);
  deployment.RunOnStandIns([&] {
    deployment.store().refuse_second_address = true;
    deployment.store().CutWatches();
  });
  for (std::uint64_t version = 7; version < 10; ++version) {
    const bool with_extra = version % 2 == 1;
    deployment.Configure(version, with_extra);
    CHECK(deployment.WaitUntil(
        [&] { return HasExtra(deployment, kApart) == with_extra; }, kInForce));
  }
  // What the store says later changes nothing.
  deployment.RunOnStandIns(
      [&] { deployment.store().refuse_second_address = false; });
  std::this_thread::sleep_for(kInForce);
  CHECK(HasExtra(deployment, kApart));
  CHECK(HasExtra(deployment, 0));
}

}  // namespace flamingoshunt::native
