#include "tests/soak/faults.h"

#include <boost/fiber/operations.hpp>

#include <csignal>

#include "runtime/fiber_scheduler.h"

namespace flamingoshunt::soak {
namespace {

// A sound replica may be silent for so long.
constexpr milliseconds kShortestSilence{900};
constexpr milliseconds kLongestSilence{1300};
constexpr milliseconds kShortestPause{500};
constexpr milliseconds kLongestPause{3000};
constexpr milliseconds kLongestDown{1500};  // From a node's end to its start.
constexpr milliseconds kPoll{20};
constexpr double kAllReplicas = 0.35;  // Share of silences that hit all.
constexpr milliseconds kIdleTimeouts[] = {milliseconds(8000),
                                          milliseconds(15000)};
constexpr milliseconds kRouteTimeouts[] = {milliseconds(5000), kRouteTimeout};
// Nodes that take callers at any time.
constexpr std::size_t kNodesLeft = 2;

}  // namespace

const std::vector<faults::series>& faults::AllSeries() {
  static const std::vector<series> all{
      {"silence", &faults::SilenceReplicas, milliseconds(300),
       milliseconds(2500), false},
      {"stop", &faults::StopNode, milliseconds(200), milliseconds(2500), false},
      {"configure", &faults::ChangeConfiguration, milliseconds(200),
       milliseconds(2000), false},
      {"reload", &faults::ReloadNode, milliseconds(500), milliseconds(4000),
       false},
      {"kill", &faults::KillNode, milliseconds(1000), milliseconds(5000), true},
      {"pause", &faults::PauseNode, milliseconds(500), milliseconds(4000),
       true}};
  return all;
}

faults::faults(processes& deployment, fault_set set, std::uint64_t seed)
    : deployment_(deployment),
      set_(set),
      random_(seed),
      began_(std::chrono::steady_clock::now()) {}

void faults::Start(milliseconds length) {
  began_ = std::chrono::steady_clock::now();
  const steady_time end = began_ + length;
  for (const series& each : AllSeries()) {
    if (each.rough && set_ != fault_set::kRough)
      continue;
    ++running_;
    runtime::SpawnFiber([this, &each, end] { RunSeries(each, end); });
  }
}

void faults::RunSeries(const series& each, steady_time end) {
  while (true) {
    const auto gap = Between(each.shortest_gap, each.longest_gap);
    if (std::chrono::steady_clock::now() + gap >= end)
      break;
    boost::this_fiber::sleep_for(gap);
    (this->*each.step)();
  }
  --running_;
}

void faults::Wait() {
  while (running_ > 0)
    boost::this_fiber::sleep_for(kPoll);
}

milliseconds faults::Between(milliseconds low, milliseconds high) {
  return low + milliseconds(
                   static_cast<int>(base::RandomUnit(random_) *
                                    static_cast<double>((high - low).count())));
}

void faults::Log(const std::string& line) {
  const auto at = std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - began_);
  log_.push_back(std::to_string(at.count()) + " ms: " + line);
}

void faults::SilenceReplicas() {
  const double share =
      base::RandomUnit(random_) < kAllReplicas ? 1 : base::RandomUnit(random_);
  std::vector<child_process*> silent;
  for (replica_process& replica : deployment_.replicas()) {
    if (base::RandomUnit(random_) <= share)
      silent.push_back(replica.process.get());
  }
  const auto length = Between(kShortestSilence, kLongestSilence);
  Log(std::to_string(silent.size()) + " replicas silent for " +
      std::to_string(length.count()) + " ms");
  for (child_process* each : silent)
    each->Signal(SIGSTOP);
  boost::this_fiber::sleep_for(length);
  for (child_process* each : silent)
    each->Signal(SIGCONT);
}

// @return a node that may go, or null.
node_process* faults::ChooseNode() {
  auto& nodes = deployment_.nodes();
  std::size_t up = 0;
  for (const node_process& node : nodes)
    up += node.is_stopping ? 0 : 1;
  node_process& drawn = nodes[base::RandomIndex(random_, nodes.size())];
  return up <= kNodesLeft || drawn.is_stopping ? nullptr : &drawn;
}

// Waits for the node's end and starts it again.
void faults::EndNode(node_process& node, int signal) {
  node.is_stopping = true;
  const bool had_started = processes::HasStarted(node);
  node.process->Signal(signal);
  const auto deadline = std::chrono::steady_clock::now() + kGrace;
  while (!node.process->ExitCode()) {
    if (std::chrono::steady_clock::now() >= deadline)
      node.process->Signal(SIGKILL);
    boost::this_fiber::sleep_for(kPoll);
  }
  const int code = *node.process->ExitCode();
  Log(node.name + " ended with " + std::to_string(code));
  if (signal == SIGTERM && code != 0 && had_started)
    wrong_exits_.push_back(node.name + " ended a stop with " +
                           std::to_string(code));
  boost::this_fiber::sleep_for(Between(milliseconds(0), kLongestDown));
  deployment_.StartNode(node);
  Log(node.name + " started");
}

void faults::StopNode() {
  node_process* node = ChooseNode();
  if (!node)
    return;
  Log("SIGTERM to " + node->name);
  EndNode(*node, SIGTERM);
}

void faults::KillNode() {
  node_process* node = ChooseNode();
  if (!node)
    return;
  Log("SIGKILL to " + node->name);
  EndNode(*node, SIGKILL);
}

void faults::PauseNode() {
  node_process* node = ChooseNode();
  if (!node)
    return;
  const auto length = Between(kShortestPause, kLongestPause);
  Log(node->name + " paused for " + std::to_string(length.count()) + " ms");
  child_process& paused = *node->process;
  node->is_stopping = true;
  paused.Signal(SIGSTOP);
  boost::this_fiber::sleep_for(length);
  paused.Signal(SIGCONT);
  node->is_stopping = false;
}

void faults::ReloadNode() {
  node_process* node = ChooseNode();
  if (!node)
    return;
  Log("SIGHUP to " + node->name);
  node->process->Signal(SIGHUP);
}

void faults::ChangeConfiguration() {
  const double drawn = base::RandomUnit(random_);
  if (drawn < 1.0 / 3)
    change_.idle_timeout = kIdleTimeouts[base::RandomIndex(random_, 2)];
  else if (drawn < 2.0 / 3)
    change_.route_timeout = kRouteTimeouts[base::RandomIndex(random_, 2)];
  else
    ++change_.extra_routes;
  Log("a new configuration");
  deployment_.Configure(change_);
}

}  // namespace flamingoshunt::soak
