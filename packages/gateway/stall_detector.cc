#include "gateway/stall_detector.h"

#include <algorithm>
#include <cmath>

#include "base/milliseconds.h"

namespace flamingoshunt::gateway {
namespace {

using std::chrono::milliseconds;

// Weight of the newest value; about the last dozen count.
constexpr double kNewest = 0.08;
// Values seen before the learned mean counts.
constexpr int kEnough = 6;
// Distances from the mean that a live engine stays within.
constexpr double kDeviations = 3;
// Distance from the mean, in parts of it, before any was seen.
constexpr double kUnknownDeviation = 0.5;
constexpr double kFirstDeviation = 0.5;
// Usual gaps of silence that are never a stall: one pass may read long prompts.
constexpr double kPasses = 1.8;
// The relay's own delays: scheduling and links of this node.
constexpr milliseconds kRelay{25};
constexpr milliseconds kLongestBound{1500};
constexpr double kFirstEventPart = 1.3;
constexpr milliseconds kFirstEventSlack{60};
// A question is asked again after this, should the silence go on.
constexpr milliseconds kQuestionAge{400};

}  // namespace

void stall_watch::learned::Note(double ms) {
  if (count++ == 0) {
    mean_ms = ms;
    deviation_ms = std::abs(ms) * kFirstDeviation;
    return;
  }
  deviation_ms += kNewest * (std::abs(ms - mean_ms) - deviation_ms);
  mean_ms += kNewest * (ms - mean_ms);
}

void stall_watch::Heard(const base::instance_id& replica,
                        base::time_point now) {
  opinion& of = replicas_[replica];
  of.heard = now;
  of.asked.reset();
  of.refuted.reset();
}

silence_verdict stall_watch::Judge(const base::instance_id& replica,
                                   base::duration bound,
                                   base::time_point now) {
  opinion& of = replicas_[replica];
  // Every running stream gets its event in the same pass.
  if (now - of.heard < bound / 2)
    return silence_verdict::kWait;
  if (of.refuted && now - *of.refuted < bound)
    return silence_verdict::kWait;
  if (!of.asked || now - *of.asked > kQuestionAge) {
    of.asked = now;
    of.refuted.reset();
    return silence_verdict::kAsk;
  }
  return now - *of.asked >= kOpinion ? silence_verdict::kStalled
                                     : silence_verdict::kWait;
}

void stall_watch::Refuted(const base::instance_id& replica,
                          base::time_point now) {
  opinion& of = replicas_[replica];
  of.asked.reset();
  of.refuted = now;
}

bool stall_watch::HeardWithin(const base::instance_id& replica,
                              base::duration within,
                              base::time_point now) const {
  const auto found = replicas_.find(replica);
  return found != replicas_.end() && now - found->second.heard <= within;
}

void stall_watch::NoteGap(const base::instance_id& replica,
                          base::duration gap) {
  gaps_[replica].Note(base::Milliseconds(gap));
}

void stall_watch::NoteFirstEvent(const std::string& pool,
                                 base::duration expected,
                                 base::duration actual) {
  first_events_[pool].Note(base::Milliseconds(actual) -
                           base::Milliseconds(expected));
}

base::duration stall_watch::GapBound(const base::instance_id& replica,
                                     base::duration expected) const {
  double usual = base::Milliseconds(expected);
  double deviation = usual * kUnknownDeviation;
  const auto found = gaps_.find(replica);
  if (found != gaps_.end() && found->second.count >= kEnough) {
    usual = std::max(usual, found->second.mean_ms);
    deviation = found->second.deviation_ms;
  }
  const double bound =
      std::max(kPasses * usual, usual + kDeviations * deviation);
  return std::min<base::duration>(base::FromMilliseconds(bound) + kRelay,
                                  kLongestBound);
}

base::duration stall_watch::FirstEventBound(const std::string& pool,
                                            base::duration expected) const {
  double usual = base::Milliseconds(expected);
  double deviation = usual * kUnknownDeviation;
  const auto found = first_events_.find(pool);
  if (found != first_events_.end() && found->second.count >= kEnough) {
    usual += std::max(0.0, found->second.mean_ms);
    deviation = found->second.deviation_ms;
  }
  const double bound =
      std::max(kFirstEventPart * usual, usual + kDeviations * deviation);
  return std::min<base::duration>(
      base::FromMilliseconds(bound) + kFirstEventSlack, kLongestBound);
}

base::duration stall_watch::FirstEventDelay(const std::string& pool) const {
  const auto found = first_events_.find(pool);
  if (found == first_events_.end())
    return {};
  return base::FromMilliseconds(std::max(0.0, found->second.mean_ms));
}

}  // namespace flamingoshunt::gateway
