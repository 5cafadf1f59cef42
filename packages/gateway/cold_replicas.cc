#include "gateway/cold_replicas.h"

#include <algorithm>
#include <chrono>

namespace flamingoshunt::gateway {
namespace {

// A node's turns come no less often, which bounds the arithmetic.
constexpr base::duration kLongestPeriod = std::chrono::hours(1);

base::duration PeriodOf(double rate) {
  if (rate <= 0)
    return base::duration::zero();
  const std::chrono::duration<double> seconds(1 / rate);
  return seconds < kLongestPeriod
             ? std::chrono::duration_cast<base::duration>(seconds)
             : kLongestPeriod;
}

}  // namespace

const cold_replicas::turns* cold_replicas::Find(
    const base::instance_id& replica,
    base::time_point now) const {
  const auto found = replicas_.find(replica);
  return found == replicas_.end() || found->second.until <= now
             ? nullptr
             : &found->second;
}

void cold_replicas::Set(const base::instance_id& replica,
                        const cold_period& period,
                        base::time_point now,
                        base::random_engine& random) {
  const bool was_cold = IsCold(replica, now);
  turns& of = replicas_[replica];
  of.until = period.until;
  of.rate = period.nodes > 0
                ? kRatePart * period.requests_per_second / period.nodes
                : 0;
  const base::duration length = PeriodOf(of.rate);
  if (was_cold && of.period == length)
    return;
  if (was_cold && of.period > base::duration::zero()) {
    // The turn that has begun stays as it is.
    const std::int64_t turn = (now - of.first) / of.period;
    of.first += turn * of.period;
    of.used_turn = of.used_turn == turn ? 0 : -1;
  } else {
    of.first = now - std::chrono::duration_cast<base::duration>(
                         length * base::RandomUnit(random));
    of.used_turn = -1;
  }
  of.period = length;
}

bool cold_replicas::IsCold(const base::instance_id& replica,
                           base::time_point now) const {
  return Find(replica, now) != nullptr;
}

std::optional<int> cold_replicas::Available(const base::instance_id& replica,
                                            base::time_point now) const {
  const turns* of = Find(replica, now);
  if (!of)
    return std::nullopt;
  if (of->period <= base::duration::zero())
    return 0;
  const base::duration elapsed = now - of->first;
  const bool is_turn = elapsed % of->period < kTurn;
  return is_turn && elapsed / of->period != of->used_turn ? 1 : 0;
}

std::optional<double> cold_replicas::Rate(const base::instance_id& replica,
                                          base::time_point now) const {
  const turns* of = Find(replica, now);
  return of ? std::optional(of->rate) : std::nullopt;
}

void cold_replicas::OnSent(const base::instance_id& replica,
                           base::time_point now) {
  const auto found = replicas_.find(replica);
  if (found != replicas_.end() && found->second.period > base::duration::zero())
    found->second.used_turn =
        (now - found->second.first) / found->second.period;
}

std::size_t cold_replicas::Count(base::time_point now) const {
  return static_cast<std::size_t>(std::count_if(
      replicas_.begin(), replicas_.end(),
      [&](const auto& entry) { return entry.second.until > now; }));
}

}  // namespace flamingoshunt::gateway
