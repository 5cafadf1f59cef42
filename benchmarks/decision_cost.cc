// Measures what one admission and routing decision costs one node: nanoseconds
// per request (ask, grant, release) and per load report, and memory of the
// machine, by the number of replicas and workspaces.
// Links: base admission routing
#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "admission/controller.h"

namespace flamingoshunt::benchmarks {
namespace {

constexpr int kSlots = 8;
constexpr int kRequests = 200'000;

struct fleet_size {
  int nodes = 13;
  int replicas = 68;
};

const base::entry_name kEntry("llm");

routing::location PlaceOf(int node) {
  return {base::node_id("n" + std::to_string(1'000 + node)),
          base::failure_domain_id("d" + std::to_string(node % 25)),
          base::region_id("r" + std::to_string(node % 7))};
}

class subject {
 public:
  subject(const fleet_size& size, int workspaces)
      : machine_(admission::controller_builder().Self(PlaceOf(0)).Build()) {
    membership::peers_changed peers;
    for (int i = 1; i < size.nodes; ++i) {
      membership::peer each;
      each.id = PlaceOf(i).node;
      each.region = PlaceOf(size.nodes > 200 ? i : 0).region;
      peers.peers.push_back(each);
    }
    machine_.Handle(peers, now_);
    auto all = std::make_shared<catalogue::snapshot>();
    all->entries[kEntry].name = kEntry;
    for (int i = 0; i < workspaces; ++i)
      all->workspaces[WorkspaceOf(i)].id = WorkspaceOf(i);
    machine_.Handle(admission::catalogue_in_force{all, true}, now_);
    for (int i = 0; i < size.replicas; ++i)
      machine_.Handle(Serving(i, size), now_);
  }

  static base::workspace_id WorkspaceOf(int number) {
    return base::workspace_id("w" + std::to_string(number));
  }

  static replica::serving_changed Serving(int number, const fleet_size& size) {
    replica::serving_replica each;
    each.replica = base::replica_id("r" + std::to_string(number));
    each.epoch = base::epoch(1);
    each.entry = kEntry;
    each.region = PlaceOf(size.replicas > 1'000 ? number : 0).region;
    each.members = {base::instance_id("i" + std::to_string(number))};
    each.slots = kSlots;
    each.state = replica::serving_state::kServing;
    return {each};
  }

  /// Runs requests with @p backlog of them always waiting.
  /// @return nanoseconds per request.
  double Run(int workspaces, int backlog) {
    std::vector<admission::grant> running;
    for (int i = 0; i < backlog; ++i)
      Ask(workspaces, running);
    const auto start = std::chrono::steady_clock::now();
    std::size_t oldest = 0;
    for (int i = 0; i < kRequests; ++i) {
      now_ += std::chrono::milliseconds(50);
      Ask(workspaces, running);
      if (oldest < running.size())
        Release(running[oldest++], running);
    }
    return Elapsed(start) / kRequests;
  }

  /// @return nanoseconds per load report.
  double Report(int replicas) {
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < kRequests; ++i) {
      endpoint::report report;
      report.instance = base::instance_id("i" + std::to_string(i % replicas));
      report.replica = base::replica_id("r" + std::to_string(i % replicas));
      report.epoch = base::epoch(1);
      report.entry = kEntry;
      report.sequence = static_cast<std::uint64_t>(i) + 1;
      machine_.Handle(report, now_);
    }
    return Elapsed(start) / kRequests;
  }

 private:
  static double Elapsed(std::chrono::steady_clock::time_point since) {
    return std::chrono::duration<double, std::nano>(
               std::chrono::steady_clock::now() - since)
        .count();
  }

  void Note(const admission::effects& all,
            std::vector<admission::grant>& running) {
    for (const auto& each : all) {
      if (const auto* granted = std::get_if<admission::grant>(&each))
        running.push_back(*granted);
    }
  }

  void Ask(int workspaces, std::vector<admission::grant>& running) {
    admission::slot_request made;
    ++last_;
    made.shape.request = base::request_id(std::to_string(last_));
    made.shape.entry = kEntry;
    made.shape.workspace = WorkspaceOf(last_ % workspaces);
    made.shape.fingerprint =
        base::fingerprint(static_cast<std::uint64_t>(last_));
    for (std::uint64_t i = 0; i < 4; ++i)
      made.shape.prefix_hashes.push_back(
          static_cast<std::uint64_t>(last_ % 1'000) * 16 + i);
    made.prompt_tokens = 400;
    Note(machine_.Handle(made, now_), running);
  }

  void Release(const admission::grant& granted,
               std::vector<admission::grant>& running) {
    admission::release given;
    given.finished.request = granted.request;
    given.finished.replica = granted.place.replica;
    given.finished.epoch = granted.place.epoch;
    given.finished.to_first_token = std::chrono::milliseconds(300);
    given.finished.total = std::chrono::seconds(3);
    given.finished.tokens = 64;
    Note(machine_.Handle(given, now_), running);
  }

  admission::controller machine_;
  base::time_point now_{};
  int last_ = 0;
};

void PrintRow(const fleet_size& size, int workspaces, int backlog) {
  const std::size_t before = mallinfo2().uordblks;
  subject each(size, workspaces);
  const double request = each.Run(workspaces, backlog);
  const double report = each.Report(size.replicas);
  const double mebibytes =
      static_cast<double>(mallinfo2().uordblks - before) / (1 << 20);
  std::printf("| %d | %d | %d | %d | %.0f | %.0f | %.1f |\n", size.nodes,
              size.replicas, workspaces, backlog, request, report, mebibytes);
}

}  // namespace
}  // namespace flamingoshunt::benchmarks

int main() {
  using namespace flamingoshunt::benchmarks;
  std::printf(
      "| nodes | replicas | workspaces | waiting | ns per request | ns "
      "per report | MiB |\n|---|---|---|---|---|---|---|\n");
  const fleet_size sizes[] = {{13, 68}, {130, 650}, {930, 3'900}};
  for (const auto& size : sizes) {
    for (const int workspaces : {10, 100, 1'000}) {
      for (const int backlog : {0, 2'000})
        PrintRow(size, workspaces, backlog);
    }
  }
  return 0;
}
