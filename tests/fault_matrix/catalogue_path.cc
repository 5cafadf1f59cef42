// Defines the runner of the catalogue path: an edit on the keeper fleet of the
// catalogue slice, struck at a step of its spread. The fleet itself checks that
// nothing goes back and that no node confirms without a known edit.
#include "catalogue/tests/keeper_fleet.h"
#include "tests/fault_matrix/cells.h"

namespace flamingoshunt::fault_matrix {
namespace {

using catalogue::keeper_fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNodes = 7;
constexpr base::duration kLasting = seconds(10);
constexpr char kEdited[] = "entry-0";

class catalogue_world {
 public:
  explicit catalogue_world(std::uint64_t seed) : fleet_(kNodes, seed) {
    fleet_.RunFor(seconds(3));
    fleet_.Edit(kEdited);
    fleet_.RunFor(seconds(3));
  }

  bool Reach(int step) {
    if (!fleet_.Edit(kEdited))
      return false;
    const int nodes_wanted[] = {0, 1, 2, kNodes};
    for (int waited = 0; waited < 5000; ++waited) {
      if (Informed() >= nodes_wanted[step])
        return true;
      fleet_.RunFor(milliseconds(1));
    }
    return false;
  }

  void Strike(fault what) {
    const int hit = static_cast<int>(base::RandomIndex(fleet_.random, kNodes));
    auto& faults = fleet_.clients.platform.faults;
    switch (what) {
      case fault::kPartitionNodeNode:
        part_ = {hit, (hit + 1) % kNodes, (hit + 2) % kNodes};
        return fleet_.CutOff(part_, true);
      case fault::kPartitionNodePlatform:
        faults.cut_off = {hit, (hit + 1) % kNodes};
        return;
      case fault::kPlatformDown:
        (hit % 2 == 0 ? faults.refuse : faults.silent) = true;
        return;
      case fault::kPlatformSlow:
        faults.latency = faults.watch_latency = milliseconds(1200);
        return;
      case fault::kAnswersLate:
        faults.watch_latency = milliseconds(2500);
        return;
      case fault::kSilentConnection:
        faults.stale_watch = true;
        return;
      case fault::kOperatorsRace:
        return Race();
      case fault::kNodeKilled:
        part_ = {hit};
        killed_ = hit;
        faults.cut_off = part_;
        return fleet_.CutOff(part_, true);
      case fault::kNodeReplaced:
        return fleet_.Restart(hit);
      default:
        wrong_ = "the runner does not know " + NameOf(what);
    }
  }

  // Lets the faults last, with one more edit meanwhile.
  void Last() {
    const auto& faults = fleet_.clients.platform.faults;
    fleet_.RunFor(seconds(2));
    if (!faults.refuse && !faults.silent)
      fleet_.Edit("entry-1");
    fleet_.RunFor(kLasting);
  }

  std::string Mend() {
    fleet_.clients.platform.faults = {};
    fleet_.CutOff(part_, false);
    if (killed_)
      fleet_.Restart(*killed_);
    fleet_.RunFor(seconds(20));
    if (wrong_.empty() && !fleet_.faults.empty())
      wrong_ = *fleet_.faults.begin();
    for (int node = 0; node < kNodes && wrong_.empty(); ++node) {
      if (!fleet_.node(node).Confirmed(fleet_.now()))
        wrong_ = "a node does not confirm after the faults";
      if (fleet_.node(node).digest() != fleet_.node(0).digest())
        wrong_ = "the nodes do not agree after the faults";
    }
    return wrong_;
  }

 private:
  int Informed() const {
    const auto& in_force = fleet_.edits.back().in_force;
    return static_cast<int>(
        std::count_if(in_force.begin(), in_force.end(),
                      [](const auto& when) { return when.has_value(); }));
  }

  void Race() {
    store::call read;
    read.key = {"entry", kEdited};
    const auto found = fleet_.clients.platform.store.Apply(read);
    const bool first = fleet_.Write(found, kEdited);
    if (!first || fleet_.Write(found, kEdited, true))
      wrong_ = "not exactly the first of two racing edits was taken";
  }

  keeper_fleet fleet_;
  std::set<int> part_;
  std::optional<int> killed_;
  std::string wrong_;
};

}  // namespace

verdict RunCatalogue(const trial& run) {
  catalogue_world world(run.seed);
  verdict result;
  result.met = world.Reach(run.step);
  for (const fault what : run.faults)
    world.Strike(what);
  world.Last();
  result.wrong = world.Mend();
  return result;
}

}  // namespace flamingoshunt::fault_matrix
