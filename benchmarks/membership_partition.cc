// Measures how a fleet of seven regions comes through minutes in which one
// region is cut off from all others: time until everyone again holds everyone
// for alive, deaths declared inside a side, and bytes.
// Links: membership base
#include <iomanip>
#include <iostream>

#include "membership/tests/fake_fleet.h"

namespace flamingoshunt::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t kSizes[] = {14, 49, 105};  // nodes
constexpr std::size_t kRegions = 7;
constexpr minutes kCut(3);
constexpr minutes kPatience(5);
constexpr milliseconds kStep(250);

bool AllAlive(const fake_fleet& fleet) {
  for (const auto& each : fleet.nodes) {
    const auto& live = each->running->state().members().Live();
    const bool whole = live.size() + 1 == fleet.nodes.size();
    const bool unsuspected =
        std::all_of(live.begin(), live.end(), [](const auto* record) {
          return record->known.state == peer_state::kAlive;
        });
    if (!whole || !unsuspected)
      return false;
  }
  return fleet.Agree();
}

double BytesPerNode(const fake_fleet& fleet) {
  double bytes = 0;
  for (const auto& each : fleet.nodes)
    bytes += static_cast<double>(each->bytes_sent + each->bytes_received);
  return bytes / static_cast<double>(fleet.nodes.size());
}

void MeasureSize(std::size_t size, bool platform_down) {
  fake_fleet fleet(size);
  std::vector<std::string> regions;
  for (std::size_t each = 0; each < kRegions; ++each)
    regions.push_back("r" + std::to_string(each));
  fleet.StartAll(size, regions);
  const auto apart = [&](std::size_t left, std::size_t right) {
    return (left % kRegions == 0) != (right % kRegions == 0);
  };
  fleet.cut = apart;
  fleet.store.down = platform_down;
  const double before_cut = BytesPerNode(fleet);
  fleet.RunFor(kCut);
  const double cut_bytes = BytesPerNode(fleet) - before_cut;
  fleet.cut = [](std::size_t, std::size_t) { return false; };
  const auto healed = fleet.now;
  const double before_merge = BytesPerNode(fleet);
  while (!AllAlive(fleet) && fleet.now - healed < kPatience)
    fleet.RunFor(kStep);
  const double merge =
      std::chrono::duration<double>(fleet.now - healed).count();
  const double merge_bytes = BytesPerNode(fleet) - before_merge;
  std::size_t inside = 0;
  for (const auto& each : fleet.seen) {
    const std::size_t of = std::stoul(each.change.id.str().substr(1));
    if (each.change.state == peer_state::kDead && !apart(each.by, of))
      ++inside;
  }
  std::cout << "| " << size << " | " << (platform_down ? "down" : "up") << " | "
            << std::fixed << std::setprecision(1) << merge << " | " << inside
            << " | " << std::setprecision(0)
            << cut_bytes / std::chrono::duration<double>(kCut).count() << " | "
            << merge_bytes / 1024 << " |" << std::endl;
}

}  // namespace
}  // namespace flamingoshunt::membership

int main() {
  std::cout << "| nodes | platform | all alive again after s | deaths inside a "
               "side | B/s a node while cut | KiB a node to merge |\n"
               "|---|---|---|---|---|---|"
            << std::endl;
  for (const bool platform_down : {false, true}) {
    for (const std::size_t size : flamingoshunt::membership::kSizes)
      flamingoshunt::membership::MeasureSize(size, platform_down);
  }
  return 0;
}
