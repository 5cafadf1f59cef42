// Measures, in virtual time, how long an accepted catalogue edit takes to be in
// force at every node under faults, how many calls the nodes make in the first
// seconds after an hour's outage, and what a change costs a node against the
// size of the fleet and of the catalogue.
// Links: base store catalogue stand_ins
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "packages/catalogue/tests/keeper_fleet.h"

namespace {

using namespace flamingoshunt;  // NOLINT(google-build-using-namespace)
using catalogue::keeper_fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNodes = 13;
constexpr int kEdits = 200;
constexpr std::uint64_t kSeed = 11;

struct fault_case {
  const char* name;
  std::function<void(keeper_fleet&)> begin;
  std::function<void(keeper_fleet&, int)> before_edit;
};

const auto kNothing = [](keeper_fleet&) {};
const auto kNoStep = [](keeper_fleet&, int) {};

void Slow(keeper_fleet& fleet, milliseconds latency) {
  fleet.clients.platform.faults.latency = latency;
  fleet.clients.platform.faults.watch_latency = latency;
}

std::vector<fault_case> Cases() {
  return {
      {"none", kNothing, kNoStep},
      {"two editors race for each edit", kNothing,
       [](keeper_fleet& fleet, int i) {
         store::call read;
         read.key = {"entry", "entry-" + std::to_string(i % 8)};
         const auto found = fleet.clients.platform.store.Apply(read);
         fleet.Write(found, read.key.name);
         fleet.Write(found, read.key.name);
       }},
      {"platform answers after 0.5 s",
       [](keeper_fleet& fleet) { Slow(fleet, milliseconds(500)); }, kNoStep},
      {"platform answers after 1.5 s",
       [](keeper_fleet& fleet) { Slow(fleet, milliseconds(1500)); }, kNoStep},
      {"all watches stale",
       [](keeper_fleet& fleet) {
         fleet.clients.platform.faults.stale_watch = true;
       },
       kNoStep},
      {"four nodes cut off from their peers",
       [](keeper_fleet& fleet) {
         fleet.CutOff({0, 3, 6, 9}, true);
       },
       kNoStep},
      {"four nodes cut off from the platform",
       [](keeper_fleet& fleet) {
         fleet.clients.platform.faults.cut_off = {0, 3, 6, 9};
       },
       kNoStep},
      {"platform reached by one node only",
       [](keeper_fleet& fleet) {
         for (int node = 1; node < kNodes; ++node)
           fleet.clients.platform.faults.cut_off.insert(node);
       },
       kNoStep},
      {"one node restarts before each edit", kNothing,
       [](keeper_fleet& fleet, int i) { fleet.Restart(i % kNodes); }},
      {"watch history lost before each edit", kNothing,
       [](keeper_fleet& fleet, int) {
         fleet.clients.platform.store.DropHistory();
       }},
      {"edit 0.1 s after an outage of 20 s", kNothing,
       [](keeper_fleet& fleet, int) {
         fleet.RunFor(seconds(10));  // Long enough for the last edit.
         fleet.clients.platform.faults.refuse = true;
         fleet.RunFor(seconds(20));
         fleet.clients.platform.faults.refuse = false;
         fleet.RunFor(milliseconds(100));
       }},
  };
}

double Milliseconds(base::duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

void MeasureCase(const fault_case& each) {
  keeper_fleet fleet(kNodes, kSeed);
  fleet.RunFor(seconds(5));
  each.begin(fleet);
  for (int i = 0; i < kEdits; ++i) {
    each.before_edit(fleet, i);
    fleet.Edit("entry-" + std::to_string(i % 8));
    fleet.RunFor(milliseconds(base::RandomIndex(fleet.random, 2000)));
  }
  fleet.RunFor(seconds(10));
  std::vector<double> times;
  int never = 0;
  for (const auto& edit : fleet.edits) {
    for (const auto& time : edit.in_force) {
      if (time)
        times.push_back(Milliseconds(*time));
      else
        ++never;
    }
  }
  std::sort(times.begin(), times.end());
  const auto at = [&](double share) {
    return times[static_cast<std::size_t>(
        share * static_cast<double>(times.size() - 1))];
  };
  std::printf("| %s | %zu | %.0f | %.0f | %.0f | %d | %zu |\n", each.name,
              fleet.edits.size(), at(0.5), at(0.99), times.back(), never,
              fleet.faults.size());
}

void MeasureInForce() {
  std::printf(
      "| fault | edits | p50 ms | p99 ms | max ms | never | broken invariants "
      "|\n|---|---|---|---|---|---|---|\n");
  for (const fault_case& each : Cases())
    MeasureCase(each);
}

void MeasureOutage(bool silent) {
  const store::client_options options;
  keeper_fleet fleet(kNodes, kSeed);
  fleet.Edit("a");
  fleet.RunFor(seconds(10));
  auto& faults = fleet.clients.platform.faults;
  faults.refuse = !silent;
  faults.silent = silent;
  const auto start = fleet.clients.platform.calls_received();
  fleet.RunFor(std::chrono::hours(1));
  const auto during = fleet.clients.platform.calls_received() - start;
  faults = {};
  const auto before = fleet.clients.platform.calls_received();
  fleet.RunFor(seconds(10));
  const auto calls = fleet.clients.platform.calls_received() - before;
  std::printf("| %s | %.1f | %llu | %.0f | %zu |\n",
              silent ? "no answer" : "refuses",
              static_cast<double>(during) / 3600.0,
              static_cast<unsigned long long>(calls),
              kNodes * 10 * options.calls_per_second, fleet.faults.size());
}

// Processor time of one keeper for one change: an event of the platform, then
// a statement of every peer.
void MeasureChange(int peers, int entries) {
  constexpr int kChanges = 200;
  catalogue::keeper_options options;
  options.self = base::node_id("self");
  catalogue::version_keeper keeper(options);
  membership::peers_changed changed;
  for (int i = 0; i < peers; ++i) {
    membership::peer peer;
    peer.id = base::node_id("node-" + std::to_string(i));
    changed.peers.push_back(peer);
  }
  base::time_point now{};
  keeper.Handle(changed, now);
  std::uint64_t generation = 0;
  const auto put = [&](int entry) {
    const std::string name = "entry-" + std::to_string(entry);
    store::watch_event event;
    event.kind = store::watch_event_kind::kPut;
    const std::string text = catalogue::EncodeStored(catalogue::Stored(
        keeper_fleet::Entry(name, generation + 1), generation + 1, "w"));
    ++generation;
    event.changed = {{"entry", name}, base::revision(generation), text};
    keeper.Handle(event, now);
  };
  for (int i = 0; i < entries; ++i)
    put(i);
  for (const char* kind : {"entry", "workspace"}) {
    store::watch_event bookmark;
    bookmark.changed = {{kind, ""}, base::revision(generation), ""};
    keeper.Handle(bookmark, now);
  }
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kChanges; ++i) {
    now += seconds(1);
    put(i % entries);
    const std::string said = catalogue::EncodeStatement(
        {keeper.version(), keeper.digest(), milliseconds(100)});
    for (int peer = 0; peer < peers; ++peer) {
      const membership::item item{"catalogue", "in-force",
                                  base::node_id("node-" + std::to_string(peer)),
                                  generation, said};
      keeper.Handle(membership::item_received{item}, now);
    }
    keeper.Tick(now);
  }
  const std::chrono::duration<double, std::micro> spent =
      std::chrono::steady_clock::now() - start;
  std::printf("| %d | %d | %.0f |\n", peers + 1, entries,
              spent.count() / kChanges);
}

// Bytes of catalogue items that one node sends, idle and for one edit.
void MeasureBytes(int nodes) {
  constexpr int kChanges = 20;
  keeper_fleet fleet(nodes, kSeed);
  fleet.Edit("a");
  fleet.RunFor(seconds(30));
  const auto idle_start = fleet.peer_bytes;
  fleet.RunFor(seconds(60));
  const auto idle = fleet.peer_bytes - idle_start;
  const auto busy_start = fleet.peer_bytes;
  for (int i = 0; i < kChanges; ++i) {
    fleet.Edit("a");
    fleet.RunFor(seconds(3));
  }
  const auto busy = fleet.peer_bytes - busy_start;
  const double per_edit = static_cast<double>(busy) - static_cast<double>(idle);
  std::printf("| %d | %.0f | %.0f |\n", nodes,
              static_cast<double>(idle) / 60.0 / nodes,
              per_edit / kChanges / nodes);
}

}  // namespace

int main() {
  MeasureInForce();
  std::printf(
      "\n| outage of 1 h | calls/s during it, 13 nodes | calls in the first "
      "10 s after | budget for 10 s | broken invariants |\n"
      "|---|---|---|---|---|\n");
  MeasureOutage(false);
  MeasureOutage(true);
  std::printf(
      "\n| nodes | entries | processor time for one change, us |\n"
      "|---|---|---|\n");
  for (const int peers : {12, 24, 48, 96, 192, 384})
    MeasureChange(peers, 10);
  for (const int entries : {100, 300, 1000})
    MeasureChange(12, entries);
  std::printf(
      "\n| nodes | idle, bytes/s sent by a node | for one edit, bytes "
      "sent by a node |\n|---|---|---|\n");
  for (const int nodes : {7, 13, 26, 52})
    MeasureBytes(nodes);
  return 0;
}
