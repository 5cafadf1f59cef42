// Decides which part of the replicas each model should have, from what callers
// ask for. Without demand the configured shares hold. A change must pay back
// the pause of the replicas that it moves, by an estimate that it returns.
#ifndef FLAMINGOSHUNT_GROUPS_GROUP_TARGETS_H_
#define FLAMINGOSHUNT_GROUPS_GROUP_TARGETS_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace flamingoshunt::groups {

class group_targets {
 public:
  struct model {
    std::string name;
    int size = 1;                  ///< Replicas of a group.
    double share = 0;              ///< Configured part of the replicas.
    int existing = 0;              ///< Groups that serve or form.
    std::optional<double> demand;  ///< Groups that callers ask for.
    base::duration load_time{};
  };

  struct line {
    std::string model;
    double demand = 0;
    double target = 0;  ///< Groups.
    double before = 0;  ///< Target until now.
    int existing = 0;
  };

  /// A proposed change, for the log.
  struct decision {
    std::vector<line> lines;
    /// Replica-seconds that serve waiting callers within the horizon, and those
    /// that the moved replicas don't serve meanwhile.
    double gained = 0;
    double cost = 0;
    bool taken = false;
  };

  /// @param usable replicas of all domains.
  /// @return the decision if the shares should differ by a whole group of some
  ///         model, at most once per kHoldTime.
  std::optional<decision> Update(const std::vector<model>& models,
                                 double usable,
                                 base::time_point now);

  /// @return the part of the replicas for @p model; nothing if the configured
  ///         share holds.
  std::optional<double> Share(const std::string& model) const;

  void Reset();

  /// Between two decisions.
  static constexpr base::duration kHoldTime = std::chrono::seconds(4);

 private:
  std::map<std::string, double> shares_;
  std::optional<base::time_point> decided_at_;
};

}  // namespace flamingoshunt::groups

#endif  // FLAMINGOSHUNT_GROUPS_GROUP_TARGETS_H_
