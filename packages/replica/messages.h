// Defines what goes into the replica slice and what comes out of it. In: the
// catalogue, the platform's instance list, allocations and drains, reports of
// instances, results of orders, peers, and failures seen on the request path.
// Out: platform calls, orders, questions for reports, items for peers, and
// which replicas may take new work and where.
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
  kServing,   ///< Every member was seen ready within the freshness bound.
  kDraining,  ///< Work in flight completes; no new work.
  kGone       ///< A member is missing, or the replica was freed.
};

/// One replica as routing may use it.
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

/// The platform's whole instance list; replaces what was listed before.
struct instances_listed {
  std::vector<endpoint::instance> instances;
};

/// One instance appeared, changed, or (@p gone) left the list.
struct instance_changed {
  endpoint::instance instance;
  bool gone = false;
};

/// All objects of kind "allocation"; replaces what was known.
struct allocations_listed {
  std::vector<store::object> objects;
};

/// One object of kind "allocation" was written or deleted.
struct allocation_changed {
  store::object object;
  bool deleted = false;
};

/// All objects of kind "drain"; each names an instance to empty.
struct drains_listed {
  std::vector<base::instance_id> instances;
};

/// An operator asked for a drain of one instance, or took it back.
struct drain_changed {
  base::instance_id instance;
  bool drained = false;
};

/// The request path saw a replica fail at first hand.
struct replica_failed {
  base::replica_id replica;
  base::epoch epoch;
};

/// Time passed; sent when the time point of NextTimer is reached.
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
