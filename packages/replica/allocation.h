// Defines the allocation of one fabric domain: which instances form which
// replica, in which rank and epoch. It is stored as one platform object, so
// forming, repairing or releasing replicas is always one conditional update,
// and concurrent writers cannot put an instance into two replicas. The object's
// version is the fencing token ("fencing number") of the orders that carry it
// out.
//
//   {"next_epoch": 8, "cooling": ["i9"], "replicas": [
//     {"id": "d1-5", "epoch": 7, "entry": "ripen-llm", "version": "v2",
//      "members": ["i1", "i4"],
//      "loads": [{"instance": "i4", "since": 7}]}]}
//
// says that replica d1-5 was repaired once: i4 took rank 1 in epoch 7 and must
// load its weights; i1 keeps the weights that it already holds.
#ifndef FLAMINGOSHUNT_REPLICA_ALLOCATION_H_
#define FLAMINGOSHUNT_REPLICA_ALLOCATION_H_

#include <optional>
#include <string>
#include <vector>

#include "base/errors.h"
#include "base/ids.h"
#include "store/messages.h"

namespace flamingoshunt::replica {

/// Kind of the platform objects that store allocations.
inline constexpr char kAllocationKind[] = "allocation";

/// Maximum size of an allocation in bytes of JSON; the platform limits each
/// object to 1 MiB.
inline constexpr std::size_t kMaxAllocationBytes = std::size_t{1} << 20;

/// Thrown when an allocation cannot be parsed or exceeds the size of one
/// object.
class allocation_error : public base::user_error {
 public:
  using base::user_error::user_error;
};

/// An instance that loads weights for a rank while the member it replaces
/// still serves.
struct incoming_member {
  base::instance_id instance;
  std::size_t rank = 0;
  bool operator==(const incoming_member&) const = default;
};

/// A member that must load weights, whatever it holds already, unless it
/// started loading in epoch @p since of its replica or a later one.
struct pending_load {
  base::instance_id instance;
  base::epoch since;
  bool operator==(const pending_load&) const = default;
};

struct allocated_replica {
  base::replica_id id;
  base::epoch epoch;  ///< Increases with every change of the members.
  base::entry_name entry;
  std::string version;
  std::vector<std::string> adapters;
  std::vector<base::instance_id> members;  ///< In rank order.
  std::vector<pending_load> loads;
  std::vector<incoming_member> incoming;
  base::epoch incoming_epoch;  ///< Epoch in which the incoming become members.
  bool draining = false;  ///< Accepts no new work; work in flight completes.
  bool operator==(const allocated_replica&) const = default;

  bool HasMember(const base::instance_id& instance) const;
  /// @return the earliest epoch in which @p instance must have loaded its
  ///         weights; nothing when it need not load.
  std::optional<base::epoch> LoadRequiredSince(
      const base::instance_id& instance) const;
};

struct allocation {
  base::fabric_domain_id domain;
  base::revision version;  ///< Zero while the object does not exist.
  std::uint64_t next_epoch = 1;
  std::vector<allocated_replica> replicas;
  /// Released instances that ignore fencing numbers. Each stays unused until
  /// the node itself has seen it listed here for longer than orders are valid.
  std::vector<base::instance_id> cooling;
  bool operator==(const allocation&) const = default;

  const allocated_replica* FindReplica(const base::replica_id& id) const;
  allocated_replica* FindReplica(const base::replica_id& id);
  /// @return the replica that has @p instance as a member or incoming member.
  const allocated_replica* FindReplicaOf(
      const base::instance_id& instance) const;
  /// @return an epoch that no replica of the domain has had.
  base::epoch TakeEpoch();
};

/// Checks that every instance occurs once and every epoch is below the next.
/// @throws base::internal_error naming the instance or epoch.
void CheckAllocation(const allocation& value);

/// @return the object's value.
/// @throws allocation_error when it exceeds kMaxAllocationBytes.
std::string ToJson(const allocation& value);

/// Reads an object of kind "allocation".
/// @throws allocation_error naming the first problem.
allocation AllocationFromObject(const store::object& source);

}  // namespace flamingoshunt::replica

#endif  // FLAMINGOSHUNT_REPLICA_ALLOCATION_H_
