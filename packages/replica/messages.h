// Defines the inputs and outputs of the replica subsystem. Inputs are the
// catalogue, the platform's instance list, allocations and drains, reports of
// instances, results of orders, peers, and failures seen on the request path.
// Outputs are platform calls, orders, report queries, items for peers, and
// which replicas may accept new work at which address.
#ifndef FLAMINGOSHUNT_REPLICA_MESSAGES_H_
#define FLAMINGOSHUNT_REPLICA_MESSAGES_H_

#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "catalogue/entry.h"
#include "endpoint/messages.h"
#include "membership/messages.h"
#include "store/messages.h"

namespace flamingoshunt::replica {

enum class serving_state {
  kServing,   ///< All members reported ready within the freshness bound.
  kDraining,  ///< Work in flight completes; no new work.
  kGone       ///< A member is missing, or the replica was freed.
};

/// A replica as routing sees it.
struct serving_replica {
  base::replica_id replica;
  base::epoch epoch;
  base::entry_name entry;
  std::string version;  ///< Model version that all members have loaded.
  base::failure_domain_id failure_domain;
  base::region_id region;
  std::string address;  ///< "IP:port" of the member of rank 0.
  std::vector<base::instance_id> members;
  int slots = 1;
  serving_state state = serving_state::kGone;
  bool operator==(const serving_replica&) const = default;
};

struct serving_changed {
  serving_replica replica;
};

/// The catalogue in force changed.
struct catalogue_changed {
  catalogue::snapshot_ptr snapshot;
};

/// The platform's complete instance list; replaces the previous one.
struct instances_listed {
  std::vector<endpoint::instance> instances;
};

/// One instance appeared, changed, or (@p gone) left the list.
struct instance_changed {
  endpoint::instance instance;
  bool gone = false;
};

/// All objects of kind "allocation"; replaces the previous list.
struct allocations_listed {
  std::vector<store::object> objects;
};

/// One object of kind "allocation" was written or deleted.
struct allocation_changed {
  store::object object;
  bool deleted = false;
};

/// All objects of kind "drain"; each names an instance to drain.
struct drains_listed {
  std::vector<base::instance_id> instances;
};

/// An operator requested or cancelled the drain of one instance.
struct drain_changed {
  base::instance_id instance;
  bool drained = false;
};

/// The request path observed a failure of a replica.
struct replica_failed {
  base::replica_id replica;
  base::epoch epoch;
};

/// Time passed; sent when the time that NextTimer returned is reached.
struct tick {};

/// What the node must do after one input, in the order of the fields.
struct effects {
  std::vector<serving_changed> serving;
  std::vector<store::call> calls;
  std::vector<endpoint::order> orders;
  std::vector<endpoint::instance> report_queries;
  std::vector<membership::publish> items;
};

}  // namespace flamingoshunt::replica

#endif  // FLAMINGOSHUNT_REPLICA_MESSAGES_H_
