// One entry of another writer names no address that can be read. Callers with
// kept channels use three nodes; the platform starts a node that has ended
// again after a second.
#include <iostream>
#include <map>
#include <set>

#include "review/harness/deployment.h"
#include "runtime/fiber_scheduler.h"

namespace flamingoshunt::review {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kNodes = 3;
constexpr int kReplicas = 3;
constexpr int kCallersPerNode = 6;
constexpr milliseconds kGap{1000};
constexpr milliseconds kLength{60000};
constexpr milliseconds kRestart{1000};
// The rule: on a tenth of the nodes, two at least, three ends each.
constexpr int kEndsOfNode = 3;
constexpr std::size_t kNodesThatEnd = 2;

std::string ForeignEntry() {
  const char* address = std::getenv("ADDRESS");
  return boost::json::serialize(
      boost::json::object{{"service", "room-ops"},
                          {"address", address ? address : "localhost:9000"},
                          {"zone", "z1"},
                          {"version", "v1"},
                          {"slots", 6},
                          {"state", "ready"},
                          {"cold_remaining_ms", 0},
                          {"seq", 1},
                          {"born", 1790000000000}});
}

void WatchNode(deployment& all, std::size_t node, int& ends) {
  while (true) {
    if (all.HasEnded(node)) {
      ++ends;
      all.Record("node " + std::to_string(node + 1) + " ended by itself, " +
                 all.ending(node));
      Sleep(kRestart);
      all.StartNode(node);
    }
    Sleep(milliseconds(20));
  }
}

int Run(deployment& all) {
  all.Configure(3);
  for (int i = 1; i <= kReplicas; ++i) {
    plain_replica_options options;
    options.id = "r" + std::to_string(i);
    all.AddReplica(options);
  }
  for (std::size_t i = 0; i < kNodes; ++i) {
    all.AddNode();
    all.StartNode(i);
  }
  if (!all.WaitUntilReady(milliseconds(10000)))
    return kCouldNotRun;
  Sleep(milliseconds(1000));
  std::vector<int> ends(kNodes, 0);
  for (std::size_t i = 0; i < kNodes; ++i)
    runtime::SpawnFiber([&all, &ends, i] { WatchNode(all, i, ends[i]); });
  std::vector<kept_call> sent;
  const auto end = std::chrono::steady_clock::now() + kLength;
  for (std::size_t node = 0; node < kNodes; ++node) {
    for (int caller = 0; caller < kCallersPerNode; ++caller) {
      const std::string prefix =
          "n" + std::to_string(node + 1) + "c" + std::to_string(caller) + "-";
      // Two of three requests are unsafe, as at the users' sites.
      const bool safe = caller % 3 == 0;
      runtime::SpawnFiber([&, node, prefix, safe] {
        all.CallOnKeptChannel(node, prefix, safe ? "GET" : "POST",
                              safe ? "/check/a" : "/lock/a", kGap, end, sent);
      });
    }
  }
  Sleep(milliseconds(5000));
  if (WithTrouble()) {
    all.store().Put("servers", "staging-1", ForeignEntry());
    all.Record("another writer's entry: " + ForeignEntry());
  }
  Sleep(kLength - milliseconds(5000) + milliseconds(3000));

  std::set<std::string> run;
  for (std::size_t i = 0; i < all.replicas(); ++i) {
    for (const auto& each : all.replica(i).runs()) {
      run.insert(each.request);
      all.Record("run " + each.request + " at " + all.replica(i).id());
    }
  }
  // Besides: passed on from a kept channel, to a sound replica, and the channel
  // closed without an answer.
  std::vector<int> lost(kNodes, 0);
  std::map<int, int> answers;
  for (const kept_call& call : sent) {
    ++answers[call.answer.complete ? call.answer.status : 0];
    if (call.sent && !call.answer.complete && call.before_on_channel > 0 &&
        run.contains(call.id))
      ++lost[call.node];
  }
  std::size_t ended = 0;
  for (std::size_t i = 0; i < kNodes; ++i) {
    all.Record("node " + std::to_string(i + 1) + " ended by itself " +
               std::to_string(ends[i]) + " times, closed " +
               std::to_string(lost[i]) +
               " kept channels without an answer to what it had passed on");
    ended += ends[i] >= kEndsOfNode ? 1 : 0;
  }
  for (const auto& [status, count] : answers)
    all.Record("answers with status " + std::to_string(status) + ": " +
               std::to_string(count));
  const bool broken = ended >= kNodesThatEnd;
  all.Record(broken ? "Fault: processes end by themselves" : "no Fault");
  return broken ? kRuleBroken : kRuleHeld;
}

}  // namespace
}  // namespace flamingoshunt::review

int main() {
  return flamingoshunt::review::RunCase(flamingoshunt::review::Run);
}
