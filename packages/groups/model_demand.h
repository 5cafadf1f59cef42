// Estimates how many groups callers ask of each model: from the requests that
// run in its groups and those that are queued at all nodes. Rises are followed
// sooner than falls; what no sample has confirmed for a while is unknown.
#ifndef FLAMINGOSHUNT_GROUPS_MODEL_DEMAND_H_
#define FLAMINGOSHUNT_GROUPS_MODEL_DEMAND_H_

#include <map>
#include <optional>
#include <string>

#include "base/clock.h"

namespace flamingoshunt::groups {

/// The requests for one model over all nodes.
struct model_load {
  int running = 0;
  int queued = 0;
};

using model_loads = std::map<std::string, model_load>;

class model_demand {
 public:
  /// @param slots requests that one group runs at once; at least 1.
  void Record(const model_loads& loads, int slots, base::time_point now);

  /// @return the number of groups that would hold the requests for @p model
  ///         with room to spare; nothing if that isn't known.
  std::optional<double> Groups(const std::string& model,
                               base::time_point now) const;

  /// @return time since the last sample; nothing without one.
  std::optional<base::duration> Age(base::time_point now) const;

 private:
  std::map<std::string, double> groups_;
  std::optional<base::time_point> sampled_at_;
};

}  // namespace flamingoshunt::groups

#endif  // FLAMINGOSHUNT_GROUPS_MODEL_DEMAND_H_
