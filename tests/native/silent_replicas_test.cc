// Tests that replicas that fall silent for a second cost no answer and no
// group, also while a node stops.
#include <catch2/catch.hpp>

#include <atomic>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "tests/native/native_deployment.h"

namespace flamingoshunt::native {
namespace {

using std::chrono::milliseconds;

constexpr int kNodes = 3;
// A sound replica may be silent for so long.
constexpr milliseconds kSilence{1200};
constexpr int kStreamsPerNode = 8;
const runtime::http_fields kLarge = {{"X-Flamingoshunt-Model", "m0"}};

std::set<std::string> OpenHeads(native_deployment& deployment) {
  std::set<std::string> heads;
  deployment.RunOnStandIns([&] {
    for (const auto& replica : deployment.replicas()) {
      if (replica->open())
        heads.insert(replica->id());
    }
  });
  return heads;
}

// Of the group that serves the large model.
std::vector<stand_ins::native_replica*> MembersOfLarge(
    native_deployment& deployment) {
  std::vector<stand_ins::native_replica*> members;
  deployment.RunOnStandIns([&] {
    for (const auto& replica : deployment.replicas()) {
      if (replica->model() == "m0" && replica->is_member())
        members.push_back(replica.get());
    }
  });
  return members;
}

void Freeze(native_deployment& deployment,
            const std::vector<stand_ins::native_replica*>& replicas,
            bool frozen) {
  deployment.RunOnStandIns([&] {
    for (auto* replica : replicas)
      replica->frozen = frozen;
  });
}

// Streams that are in progress at several nodes.
class open_streams {
 public:
  open_streams(native_deployment& deployment, const std::string& id) {
    for (int node = 0; node < kNodes; ++node) {
      for (int i = 0; i < kStreamsPerNode; ++i) {
        callers_.emplace_back([&deployment, node, this,
                               name = id + std::to_string(node) + "-" +
                                      std::to_string(i)] {
          const auto answer = deployment.Call(node, "/plan/x", name, kLarge);
          whole_ += answer.status == 200 && answer.complete ? 1 : 0;
        });
      }
    }
  }

  // Waits for all. @return how many were answered completely.
  int CountWhole() {
    for (std::thread& caller : callers_)
      caller.join();
    return whole_;
  }

 private:
  std::vector<std::thread> callers_;
  std::atomic<int> whole_{0};
};

}  // namespace

// Guards against streams that are cut since their replicas are silent for a
// moment, at nodes that stop and at others.
TEST_CASE("A silence of a group ends no stream and no group", "[silence]") {
  // Never torn down, as the threads of a deployment need.
  auto& deployment = *new native_deployment(kNodes);
  const auto members = MembersOfLarge(deployment);
  REQUIRE(members.size() == 6);
  const auto heads = OpenHeads(deployment);
  for (int round = 0; round < 3; ++round) {
    open_streams streams(deployment, "silence" + std::to_string(round) + "-");
    std::this_thread::sleep_for(milliseconds(60));
    Freeze(deployment, members, true);
    std::this_thread::sleep_for(kSilence);
    Freeze(deployment, members, false);
    CHECK(streams.CountWhole() == kNodes * kStreamsPerNode);
    CHECK(OpenHeads(deployment) == heads);
  }
  // The node that leads the groups stops during the silence.
  const int leader = deployment.Leader();
  REQUIRE(leader >= 0);
  open_streams streams(deployment, "stop-");
  std::this_thread::sleep_for(milliseconds(60));
  Freeze(deployment, members, true);
  std::atomic<bool> complete{false};
  std::thread stopping(
      [&] { complete = deployment.node(leader).StopGracefully(); });
  std::this_thread::sleep_for(kSilence);
  Freeze(deployment, members, false);
  CHECK(streams.CountWhole() == kNodes * kStreamsPerNode);
  CHECK(OpenHeads(deployment) == heads);
  stopping.join();
  CHECK(complete);
}

}  // namespace flamingoshunt::native
