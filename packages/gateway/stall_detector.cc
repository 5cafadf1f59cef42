#include "gateway/stall_detector.h"

#include <algorithm>
#include <cmath>

#include "base/milliseconds.h"

namespace flamingoshunt::gateway {
namespace {

using std::chrono::milliseconds;

// Weight of the newest value; about the last dozen values count.
constexpr double kNewestWeight = 0.08;
// Values needed before the learned mean is used.
constexpr int kMinSamples = 6;
// An active engine stays within this many deviations of the mean.
constexpr double kMaxDeviations = 3;
// Deviation as a fraction of the mean while none has been learned.
constexpr double kAssumedDeviationRatio = 0.5;
constexpr double kFirstSampleDeviationRatio = 0.5;
// Inactivity up to this multiple of the usual gap is never a stall: one pass
// may prefill long prompts.
constexpr double kMinGapRatio = 1.8;
// Delays of the gateway itself: scheduling and network links of this node.
constexpr milliseconds kRelayDelay{25};
constexpr milliseconds kMaxTimeout{1500};
constexpr double kMinFirstEventRatio = 1.3;
constexpr milliseconds kFirstEventMargin{60};
// The peers are queried again after this if the inactivity continues.
constexpr milliseconds kQueryRepeatPeriod{400};

}  // namespace

void stall_detector::moving_average::Record(double ms) {
  if (count++ == 0) {
    mean_ms = ms;
    deviation_ms = std::abs(ms) * kFirstSampleDeviationRatio;
    return;
  }
  deviation_ms += kNewestWeight * (std::abs(ms - mean_ms) - deviation_ms);
  mean_ms += kNewestWeight * (ms - mean_ms);
}

void stall_detector::RecordActivity(const base::instance_id& replica,
                                    base::time_point now) {
  replica_state& state = replicas_[replica];
  state.last_active_at = now;
  state.queried_at.reset();
  state.confirmed_at.reset();
}

stall_decision stall_detector::Evaluate(const base::instance_id& replica,
                                        base::duration timeout,
                                        base::time_point now) {
  replica_state& state = replicas_[replica];
  // Every running stream gets its event in the same pass.
  if (now - state.last_active_at < timeout / 2)
    return stall_decision::kWait;
  if (state.confirmed_at && now - *state.confirmed_at < timeout)
    return stall_decision::kWait;
  if (!state.queried_at || now - *state.queried_at > kQueryRepeatPeriod) {
    state.queried_at = now;
    state.confirmed_at.reset();
    return stall_decision::kQueryPeers;
  }
  return now - *state.queried_at >= kPeerAnswerTimeout
             ? stall_decision::kStalled
             : stall_decision::kWait;
}

void stall_detector::OnPeerActivity(const base::instance_id& replica,
                                    base::time_point now) {
  replica_state& state = replicas_[replica];
  state.queried_at.reset();
  state.confirmed_at = now;
}

bool stall_detector::WasActiveWithin(const base::instance_id& replica,
                                     base::duration window,
                                     base::time_point now) const {
  const auto it = replicas_.find(replica);
  return it != replicas_.end() && now - it->second.last_active_at <= window;
}

void stall_detector::RecordGap(const base::instance_id& replica,
                               base::duration gap) {
  gaps_[replica].Record(base::Milliseconds(gap));
}

void stall_detector::RecordFirstEvent(const std::string& pool,
                                      base::duration expected,
                                      base::duration actual) {
  first_events_[pool].Record(base::Milliseconds(actual) -
                             base::Milliseconds(expected));
}

base::duration stall_detector::GapTimeout(const base::instance_id& replica,
                                          base::duration expected) const {
  double usual_ms = base::Milliseconds(expected);
  double expected_deviation_ms = usual_ms * kAssumedDeviationRatio;
  const auto it = gaps_.find(replica);
  if (it != gaps_.end() && it->second.count >= kMinSamples) {
    usual_ms = std::max(usual_ms, it->second.mean_ms);
    expected_deviation_ms = it->second.deviation_ms;
  }
  const double timeout_ms =
      std::max(kMinGapRatio * usual_ms,
               usual_ms + kMaxDeviations * expected_deviation_ms);
  return std::min<base::duration>(
      base::FromMilliseconds(timeout_ms) + kRelayDelay, kMaxTimeout);
}

base::duration stall_detector::FirstEventTimeout(
    const std::string& pool,
    base::duration expected) const {
  double usual_ms = base::Milliseconds(expected);
  double expected_deviation_ms = usual_ms * kAssumedDeviationRatio;
  const auto it = first_events_.find(pool);
  if (it != first_events_.end() && it->second.count >= kMinSamples) {
    usual_ms += std::max(0.0, it->second.mean_ms);
    expected_deviation_ms = it->second.deviation_ms;
  }
  const double timeout_ms =
      std::max(kMinFirstEventRatio * usual_ms,
               usual_ms + kMaxDeviations * expected_deviation_ms);
  return std::min<base::duration>(
      base::FromMilliseconds(timeout_ms) + kFirstEventMargin, kMaxTimeout);
}

base::duration stall_detector::FirstEventOverrun(
    const std::string& pool) const {
  const auto it = first_events_.find(pool);
  if (it == first_events_.end())
    return {};
  return base::FromMilliseconds(std::max(0.0, it->second.mean_ms));
}

}  // namespace flamingoshunt::gateway
