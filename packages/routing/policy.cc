#include "routing/policy.h"

#include <algorithm>
#include <array>

namespace flamingoshunt::routing {

namespace {

/// Additional load that a full prefix match outweighs.
constexpr double kAffinityWeight = 0.5;
/// Prefix affinity is ignored for a replica whose load score exceeds that of
/// the alternative by this.
constexpr double kAffinityLoadBound = 0.3;
/// Load that a replica in another failure domain is penalized by.
constexpr double kRemoteDomainWeight = 0.02;
/// Slowness above which a replica is penalized.
constexpr double kToleratedSlowness = 1.5;
constexpr double kSlownessWeight = 0.4;
constexpr double kLongShareWeight = 0.5;

std::size_t LowerScoreOf(const std::vector<candidate>& candidates,
                         std::size_t left,
                         std::size_t right,
                         double (*score)(const candidate&)) {
  return score(candidates[right]) < score(candidates[left]) ? right : left;
}

class round_robin final : public policy {
 public:
  std::size_t Pick(const std::vector<candidate>& candidates,
                   base::random_engine&) override {
    // The next replica after the last chosen one, in table order.
    const auto after = std::find_if(candidates.begin(), candidates.end(),
                                    [this](const candidate& replica) {
                                      return replica.table_index > last_;
                                    });
    const auto chosen = after == candidates.end() ? candidates.begin() : after;
    last_ = chosen->table_index;
    return static_cast<std::size_t>(chosen - candidates.begin());
  }

 private:
  std::uint32_t last_ = 0;
};

class least_outstanding final : public policy {
 public:
  std::size_t Pick(const std::vector<candidate>& candidates,
                   base::random_engine&) override {
    const auto best =
        std::min_element(candidates.begin(), candidates.end(),
                         [](const candidate& left, const candidate& right) {
                           return left.own_running < right.own_running;
                         });
    return static_cast<std::size_t>(best - candidates.begin());
  }
};

class two_random_choices final : public policy {
 public:
  std::size_t Pick(const std::vector<candidate>& candidates,
                   base::random_engine& random) override {
    return LowerScoreOf(candidates,
                        base::RandomIndex(random, candidates.size()),
                        base::RandomIndex(random, candidates.size()),
                        [](const candidate& replica) { return replica.load; });
  }
};

double LoadScore(const candidate& replica) {
  const double excess_slowness =
      std::max(0.0, replica.slowness - kToleratedSlowness);
  return replica.load + kLongShareWeight * replica.long_share +
         kSlownessWeight * excess_slowness +
         (replica.is_nearby ? 0 : kRemoteDomainWeight);
}

class affinity_aware final : public policy {
 public:
  affinity_aware(double affinity_weight, double load_bound)
      : affinity_weight_(affinity_weight), load_bound_(load_bound) {}

  std::size_t Pick(const std::vector<candidate>& candidates,
                   base::random_engine& random) override {
    const std::size_t by_load =
        LowerScoreOf(candidates, base::RandomIndex(random, candidates.size()),
                     base::RandomIndex(random, candidates.size()), &LoadScore);
    const auto best_match =
        std::max_element(candidates.begin(), candidates.end(),
                         [](const candidate& left, const candidate& right) {
                           return left.prefix_match < right.prefix_match;
                         });
    if (best_match->prefix_match <= 0)
      return by_load;
    const double extra_load =
        LoadScore(*best_match) - LoadScore(candidates[by_load]);
    const double affinity_value = affinity_weight_ * best_match->prefix_match;
    return extra_load < affinity_value && extra_load < load_bound_
               ? static_cast<std::size_t>(best_match - candidates.begin())
               : by_load;
  }

  bool UsesAllowance() const override { return true; }

 private:
  double affinity_weight_;
  double load_bound_;
};

template <class Policy>
std::unique_ptr<policy> Make() {
  return std::make_unique<Policy>();
}

std::unique_ptr<policy> MakeBounded() {
  return std::make_unique<affinity_aware>(kAffinityWeight, kAffinityLoadBound);
}

std::unique_ptr<policy> MakeWithoutAffinity() {
  return std::make_unique<affinity_aware>(0, 0);
}

std::unique_ptr<policy> MakeUnbounded() {
  constexpr double kAlways = 1e9;
  return std::make_unique<affinity_aware>(kAlways, kAlways);
}

struct policy_entry {
  std::string_view name;
  std::unique_ptr<policy> (*make)();
};

// In the order of policy_kind.
constexpr std::array<policy_entry, 6> kPolicies{{
    {"round robin", &Make<round_robin>},
    {"least outstanding", &Make<least_outstanding>},
    {"two random choices", &Make<two_random_choices>},
    {"bounded affinity", &MakeBounded},
    {"no affinity", &MakeWithoutAffinity},
    {"unbounded affinity", &MakeUnbounded},
}};

}  // namespace

std::unique_ptr<policy> MakePolicy(policy_kind kind) {
  return kPolicies.at(static_cast<std::size_t>(kind)).make();
}

std::string_view Name(policy_kind kind) {
  return kPolicies.at(static_cast<std::size_t>(kind)).name;
}

}  // namespace flamingoshunt::routing
