#include "groups/group_targets.h"

#include <algorithm>
#include <cmath>

namespace flamingoshunt::groups {
namespace {

// A model keeps this part of its configured share, and has at most the other
// multiple of it.
constexpr double kLeastPart = 0.5;
constexpr double kMostPart = 1.75;
// Demand is taken to last for so long.
constexpr base::duration kHorizon = std::chrono::seconds(30);
// Requests that run in a group which is given up go elsewhere or end meanwhile;
// then its members join again.
constexpr base::duration kPause = std::chrono::seconds(4);

using models = std::vector<group_targets::model>;

double Seconds(base::duration time) {
  return std::chrono::duration<double>(time).count();
}

// @return replicas for each model: what callers ask for, scaled down together
//         if that is too much, and the rest by the configured shares.
std::vector<double> Divide(const models& all, double usable) {
  double asked = 0;
  double shares = 0;
  for (const auto& each : all) {
    asked += *each.demand * each.size;
    shares += each.share;
  }
  const double scale = asked > usable ? usable / asked : 1;
  const double rest = std::max(0.0, usable - asked);
  std::vector<double> replicas;
  double total = 0;
  for (const auto& each : all) {
    const double share = shares > 0 ? each.share / shares : 0;
    const double wanted = *each.demand * each.size * scale + rest * share;
    const double least =
        std::max<double>(each.size, kLeastPart * share * usable);
    replicas.push_back(
        std::clamp(wanted, least, std::max(least, kMostPart * share * usable)));
    total += replicas.back();
  }
  for (double& each : replicas)
    each *= total > 0 ? usable / total : 0;
  return replicas;
}

}  // namespace

std::optional<double> group_targets::Share(const std::string& model) const {
  const auto it = shares_.find(model);
  if (it == shares_.end())
    return std::nullopt;
  return it->second;
}

void group_targets::Reset() {
  shares_.clear();
  decided_at_.reset();
}

std::optional<group_targets::decision>
group_targets::Update(const models& all, double usable, base::time_point now) {
  const bool is_known =
      !all.empty() && usable > 0 &&
      std::all_of(all.begin(), all.end(),
                  [](const model& each) { return each.demand.has_value(); });
  if (!is_known || (decided_at_ && now - *decided_at_ < kHoldTime))
    return std::nullopt;
  const std::vector<double> replicas = Divide(all, usable);
  decision made;
  bool differs = false;
  double moved = 0;
  double lacking = 0;
  base::duration longest_load{};
  for (std::size_t i = 0; i < all.size(); ++i) {
    const model& each = all[i];
    const double before = Share(each.name).value_or(each.share) * usable;
    const double asked = *each.demand * each.size;
    made.lines.push_back({each.name, *each.demand, replicas[i] / each.size,
                          before / each.size, each.existing});
    differs = differs || std::abs(replicas[i] - before) >= each.size;
    moved += std::max(0.0, replicas[i] - before);
    lacking += std::min(replicas[i], asked) - std::min(before, asked);
    longest_load = std::max(longest_load, each.load_time);
  }
  if (!differs)
    return std::nullopt;
  // The weights load while the groups that are given up still serve.
  made.gained = lacking * Seconds(kHorizon - std::min(kHorizon, longest_load));
  made.cost = moved * Seconds(kPause);
  made.taken = made.gained > made.cost;
  decided_at_ = now;
  if (made.taken) {
    for (std::size_t i = 0; i < all.size(); ++i)
      shares_[all[i].name] = replicas[i] / usable;
  }
  return made;
}

}  // namespace flamingoshunt::groups
