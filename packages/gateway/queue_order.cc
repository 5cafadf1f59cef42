#include "gateway/queue_order.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "base/milliseconds.h"

namespace flamingoshunt::gateway {
namespace {

// An answer is worth this much of a usual one, and the rest by its size.
constexpr double kWorthOfAnyAnswer = 0.3;
constexpr double kMinCost = 0.01;
// Usual requests that a workspace gets in one round: enough that rounds don't
// undo the order by worth, few enough that a burst waits for the others.
constexpr double kRoundRequests = 4;
// Time constant with which served requests are forgotten: a few waits.
constexpr double kServedDecayMs = 2000;
// A workspace that was served less than this is as good as new.
constexpr double kForgottenShare = 0.01;

queue_rank RankByDeadline(const queue_facts& facts, base::time_point now) {
  queue_rank rank;
  rank.priority = facts.priority;
  rank.late = facts.on_time_deadline < now;
  rank.by = facts.on_time_deadline;
  return rank;
}

// Costs within a factor of two count as equal; among these the deadline counts.
queue_rank RankByBenefit(const queue_facts& facts, base::time_point now) {
  queue_rank rank;
  rank.priority = facts.priority;
  rank.late =
      !facts.has_begun && !facts.due &&
      (facts.expected_late || now + facts.first_event > facts.on_time_deadline);
  if (facts.due) {
    rank.by = base::time_point::min();
    rank.cost_class = std::numeric_limits<int>::min();
    return rank;
  }
  const double worth = kWorthOfAnyAnswer + (1 - kWorthOfAnyAnswer) * facts.size;
  rank.cost_class = static_cast<int>(
      std::floor(std::log2(std::max(kMinCost, facts.cost) / worth)));
  rank.by =
      rank.late ? facts.last_start : facts.on_time_deadline - facts.first_event;
  return rank;
}

double Decay(double served, base::duration elapsed) {
  return served * std::exp(-base::Milliseconds(elapsed) / kServedDecayMs);
}

}  // namespace

queue_rank RankOf(queue_order order,
                  const queue_facts& facts,
                  base::time_point now) {
  return order == queue_order::kBenefit ? RankByBenefit(facts, now)
                                        : RankByDeadline(facts, now);
}

void workspace_shares::Charge(const base::workspace_id& workspace,
                              double cost,
                              base::time_point now) {
  std::erase_if(shares_, [&](const auto& entry) {
    return Decay(entry.second.served, now - entry.second.at) < kForgottenShare;
  });
  const double served = Served(workspace, now);
  shares_[workspace] = {served + cost, now};
}

double workspace_shares::Served(const base::workspace_id& workspace,
                                base::time_point now) const {
  const auto it = shares_.find(workspace);
  return it == shares_.end() ? 0
                             : Decay(it->second.served, now - it->second.at);
}

int RoundOf(double served) {
  return static_cast<int>(served / kRoundRequests);
}

}  // namespace flamingoshunt::gateway
