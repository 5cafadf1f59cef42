#include "gateway/urgent_room.h"

#include <algorithm>
#include <cmath>

namespace flamingoshunt::gateway {
namespace {

// Urgent arrivals of this time find a slot: about as long as slots of a busy
// replica that end by themselves take to cover the next ones.
constexpr double kCoveredMs = 100;
// At most one slot in this many is kept, so that little work is held up.
constexpr int kSlotsPerKept = 8;
// Fewer arrivals than one in five seconds keep no slot.
constexpr double kMinUrgentPerMs = 0.0002;

}  // namespace

int SlotsKeptForUrgent(double urgent_per_ms, int replicas, int slots) {
  if (urgent_per_ms < kMinUrgentPerMs || replicas <= 0)
    return 0;
  const int wanted =
      static_cast<int>(std::ceil(urgent_per_ms * kCoveredMs / replicas));
  return std::min(wanted, slots / kSlotsPerKept);
}

}  // namespace flamingoshunt::gateway
