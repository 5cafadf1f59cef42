// Measures what one placement costs a node by the number of replicas, by load
// and by likely cost: nanoseconds of submitting a request, two of its events
// and its release, with every replica half full.
// Links: base gateway
//
//   benchmark_placement_cost [requests]
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "gateway/tests/dispatch_fixture.h"

namespace flamingoshunt::gateway::testing {
namespace {

constexpr int kSlots = 30;
constexpr int kNodes = 93;
constexpr int kPrompt = 1420;
constexpr int kAnswer = 172;

double NanosecondsPerPlacement(int replicas, bool learn, int requests) {
  dispatcher node(base::random_engine(1), {.learn_costs = learn});
  auto view = std::make_shared<fleet_view>(*MakeView(replicas, kSlots, kNodes));
  view->peer_delay = milliseconds(60);
  node.SetView(view, At(0));
  load_map loads;
  for (int i = 0; i < replicas; ++i)
    loads[base::instance_id("h" + std::to_string(i))] = {
        kSlots / 2, i % kSlots * kPrompt / kSlots, kSlots / 2 * kAnswer};
  node.UpdatePeerLoads(loads, At(0));
  const auto start = std::chrono::steady_clock::now();
  for (int i = 1; i <= requests; ++i) {
    slot_request request = MakeStreamRequest(static_cast<std::uint64_t>(i), i);
    request.traits.route = "route";
    request.traits.hinted_output_tokens = i % 2 * kAnswer;
    node.Submit(request, At(i));
    node.OnFirstEvent(request.ticket);
    node.OnEvents(request.ticket, 1, At(i + 100));
    node.OnEvents(request.ticket, 2, At(i + 160));
    node.Release(request.ticket, true, At(i + 160));
  }
  return std::chrono::duration<double, std::nano>(
             std::chrono::steady_clock::now() - start)
             .count() /
         requests;
}

}  // namespace
}  // namespace flamingoshunt::gateway::testing

int main(int argc, char** argv) {
  using namespace flamingoshunt::gateway::testing;
  const int requests = argc > 1 ? std::atoi(argv[1]) : 2'000;
  std::printf("%10s %14s %16s\n", "replicas", "by load, ns", "by cost, ns");
  for (const int replicas : {15, 222, 3'900})
    std::printf("%10d %14.0f %16.0f\n", replicas,
                NanosecondsPerPlacement(replicas, false, requests),
                NanosecondsPerPlacement(replicas, true, requests));
  return 0;
}
