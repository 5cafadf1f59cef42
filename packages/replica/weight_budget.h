// Defines the budget of the weight store: one platform object lists the loads
// in flight in the whole fleet, so that all nodes together start no more than
// the store's rate allows. A load is granted by one conditional update before
// its order is sent, and is removed once the instance reports that it is over.
#ifndef FLAMINGOSHUNT_REPLICA_WEIGHT_BUDGET_H_
#define FLAMINGOSHUNT_REPLICA_WEIGHT_BUDGET_H_

#include <optional>
#include <string>
#include <vector>

#include "replica/inventory.h"

namespace flamingoshunt::replica {

/// Name of the object, of kind "allocation"; no fabric domain may have it.
inline constexpr char kWeightBudgetName[] = "@weight-store";

/// Permission to load weights for one epoch of a replica.
struct grant {
  base::instance_id instance;
  base::replica_id replica;
  base::epoch epoch;
  bool operator==(const grant&) const = default;
};

struct weight_budget {
  base::revision version;  ///< Zero while the object does not exist.
  std::vector<grant> grants;
  bool operator==(const weight_budget&) const = default;

  bool IsGranted(const base::instance_id& instance,
                 const base::replica_id& replica,
                 base::epoch epoch) const;
};

std::string ToJson(const weight_budget& budget);
/// @throws allocation_error naming the first problem.
weight_budget WeightBudgetFromObject(const store::object& source);

/// Drops grants whose load is over and gives free slots to the replicas that
/// need the fewest loads to serve again; all loads of one replica come before
/// those of the next.
/// @return the next budget; nothing if the current one stays.
std::optional<weight_budget> PlanGrants(const weight_budget& current,
                                        const fleet_inventory& inventory,
                                        const instance_table& instances,
                                        const settings& config,
                                        base::time_point now);

}  // namespace flamingoshunt::replica

#endif  // FLAMINGOSHUNT_REPLICA_WEIGHT_BUDGET_H_
