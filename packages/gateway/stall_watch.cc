#include "gateway/stall_watch.h"

#include <algorithm>
#include <cmath>

namespace flamingoshunt::gateway {
namespace {

using std::chrono::milliseconds;

// Weight of the newest gap; about the last dozen count.
constexpr double kNewest = 0.08;
// Gaps seen before the learned mean counts.
constexpr int kEnoughGaps = 6;
// Distances from the mean that a live engine stays within.
constexpr double kDeviations = 6;
// Passes of silence that are never a stall: one may read long prompts.
constexpr double kPasses = 2.5;
// The relay's own delays: scheduling and links of this node.
constexpr milliseconds kRelay{40};
constexpr milliseconds kLongestBound{1500};
constexpr double kFirstEventPart = 2.0;
constexpr milliseconds kFirstEventSlack{250};

double Ms(base::duration length) {
  return std::chrono::duration<double, std::milli>(length).count();
}

base::duration FromMs(double ms) {
  return std::chrono::duration_cast<base::duration>(
      std::chrono::duration<double, std::milli>(ms));
}

}  // namespace

void stall_watch::NoteGap(const base::instance_id& replica,
                          base::duration gap) {
  gaps& of = learned_[replica];
  const double ms = Ms(gap);
  if (of.count++ == 0)
    of.mean_ms = ms;
  of.deviation_ms += kNewest * (std::abs(ms - of.mean_ms) - of.deviation_ms);
  of.mean_ms += kNewest * (ms - of.mean_ms);
}

base::duration stall_watch::GapBound(const base::instance_id& replica,
                                     base::duration expected) const {
  double bound = kPasses * Ms(expected);
  const auto found = learned_.find(replica);
  if (found != learned_.end() && found->second.count >= kEnoughGaps) {
    const gaps& of = found->second;
    bound = std::max(bound, of.mean_ms + kDeviations * of.deviation_ms);
  }
  return std::min<base::duration>(FromMs(bound) + kRelay, kLongestBound);
}

base::duration stall_watch::FirstEventBound(const base::instance_id& replica,
                                            base::duration expected) const {
  return std::max<base::duration>(
      FromMs(kFirstEventPart * Ms(expected)) + kFirstEventSlack,
      GapBound(replica, base::duration::zero()));
}

}  // namespace flamingoshunt::gateway
