// Defines a draft of one domain's next allocation and the operations that
// planning applies to it, each of which preserves the object's invariants.
#ifndef FLAMINGOSHUNT_REPLICA_DRAFT_H_
#define FLAMINGOSHUNT_REPLICA_DRAFT_H_

#include <optional>
#include <vector>

#include "replica/placement.h"

namespace flamingoshunt::replica {

class draft {
 public:
  draft(const domain_status& status, const catalogue::snapshot& catalogue);

  const domain_status& status() const { return status_; }
  const std::vector<base::instance_id>& idle() const { return idle_; }
  allocation& next() { return next_; }
  /// @return whether the draft differs from the current allocation.
  bool HasChanges() const { return next_ != initial_; }

  /// @return the replica in the draft; null if the draft freed it.
  allocated_replica* FindReplica(const replica_status& status);

  /// Takes an idle instance and ends its cooling.
  std::optional<base::instance_id> TakeIdle();
  /// Removes @p id from the idle instances, if it is one of them.
  void TakeIdle(const base::instance_id& id);

  /// Replaces the member of @p rank by @p instance and releases the old member.
  void Replace(allocated_replica& replica,
               std::size_t rank,
               const base::instance_id& instance,
               bool must_load);

  /// Starts an epoch, which makes every member receive a new join order.
  void StartEpoch(allocated_replica& replica);

  /// Turns the incoming members into members, in the epoch assigned to them.
  void PromoteIncoming(allocated_replica& replica, bool loaded);
  void DropIncoming(allocated_replica& replica);

  /// Frees a replica; its healthy members become idle.
  void FreeReplica(const base::replica_id& id);
  /// Forms a replica of @p entry from idle instances.
  /// @return false if there are too few.
  bool FormReplica(const catalogue::entry& entry);
  /// Requires all members to load weights in the replica's epoch.
  static void RequireLoads(allocated_replica& replica);
  /// Recreates a replica in place with the entry's current version; all its
  /// members load weights.
  void RecreateInPlace(allocated_replica& replica,
                       const catalogue::entry& entry);

  const catalogue::entry* FindEntry(const base::entry_name& name) const;
  /// @return whether the member of @p rank is neither lost, leaving nor to be
  ///         drained.
  bool IsHealthyMember(const replica_status& status, std::size_t rank) const;

 private:
  void Release(const base::instance_id& id,
               const base::entry_name& entry,
               bool is_healthy);

  const domain_status& status_;
  const catalogue::snapshot& catalogue_;
  allocation initial_;
  allocation next_;
  std::vector<base::instance_id> idle_;
};

}  // namespace flamingoshunt::replica

#endif  // FLAMINGOSHUNT_REPLICA_DRAFT_H_
