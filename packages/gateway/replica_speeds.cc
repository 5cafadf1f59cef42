#include "gateway/replica_speeds.h"

#include <algorithm>
#include <cmath>

#include "base/milliseconds.h"

namespace flamingoshunt::gateway {
namespace {

using std::chrono::milliseconds;

// Weights of the newest value of a pool, once it has enough of them.
constexpr double kPoolWeight = 0.02;
// Weight of the newest value of a replica for each part of this time since the
// one before, and at most: the streams of one pass have the same gap and count
// once.
constexpr milliseconds kLearnTime{1000};
constexpr double kMaxWeight = 0.25;
// One value counts at most as this factor: a pause may have other causes.
constexpr double kMaxRatio = 8;
// Time constant with which the factor of a replica fades: it is avoided
// meanwhile, and must be tried again.
constexpr milliseconds kFadeTime{10000};
// Pools are few; more names than this come from configurations long gone.
constexpr std::size_t kMaxPools = 512;

double Fade(base::duration age) {
  return std::exp(-base::Milliseconds(age) / base::Milliseconds(kFadeTime));
}

}  // namespace

void replica_speeds::Record(const std::string& pool,
                            timed_part part,
                            const base::instance_id& replica,
                            base::duration expected,
                            base::duration actual,
                            base::time_point now) {
  if (expected <= base::duration::zero() || actual <= base::duration::zero())
    return;
  const double ratio =
      std::log(base::Milliseconds(actual) / base::Milliseconds(expected));
  if (pools_.size() >= kMaxPools)
    pools_.clear();
  pool_ratio& usual = pools_[{pool, part}];
  const double off =
      std::clamp(ratio - (usual.count > 0 ? usual.log_ratio : ratio),
                 -std::log(kMaxRatio), std::log(kMaxRatio));
  ++usual.count;
  usual.log_ratio +=
      usual.count == 1 ? ratio : std::max(kPoolWeight, 1.0 / usual.count) * off;
  const auto [entry, is_new] = replicas_.try_emplace(replica);
  replica_speed& speed = entry->second;
  const base::duration age = is_new ? kLearnTime : now - speed.updated_at;
  const double weight = std::min(
      kMaxWeight, base::Milliseconds(age) / base::Milliseconds(kLearnTime));
  speed.log_factor *= Fade(age);
  speed.log_factor += weight * (off - speed.log_factor);
  speed.updated_at = now;
}

double replica_speeds::FactorOf(const base::instance_id& replica,
                                base::time_point now) const {
  const auto it = replicas_.find(replica);
  if (it == replicas_.end())
    return 1;
  return std::clamp(
      std::exp(it->second.log_factor * Fade(now - it->second.updated_at)),
      kMinFactor, kMaxFactor);
}

double replica_speeds::UsualRatio(const std::string& pool,
                                  timed_part part) const {
  const auto it = pools_.find(pool_key(pool, part));
  return it == pools_.end() ? 1 : std::exp(it->second.log_ratio);
}

}  // namespace flamingoshunt::gateway
