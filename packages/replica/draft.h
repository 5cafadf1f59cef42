// Defines a draft of one domain's next allocation: the steps that planning may
// take, each of which keeps the invariants of the object.
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

  /// @return the replica in the draft; null when the draft freed it.
  allocated_replica* FindReplica(const replica_status& status);

  /// Takes an idle instance; it no longer cools.
  std::optional<base::instance_id> TakeIdle();
  /// Takes @p id out of the idle ones if it is there.
  void TakeIdle(const base::instance_id& id);

  /// Puts @p instance in place of the member of @p rank, which is released.
  void Replace(allocated_replica& replica,
               std::size_t rank,
               const base::instance_id& instance,
               bool must_load);

  /// Begins an epoch; every member is then ordered to join anew.
  void StartEpoch(allocated_replica& replica);

  /// Makes the incoming members members, in the epoch that they hold.
  void PromoteIncoming(allocated_replica& replica, bool loaded);
  void DropIncoming(allocated_replica& replica);

  /// Frees a replica; its members that are fit become idle.
  void FreeReplica(const base::replica_id& id);
  /// Forms a replica of @p entry from idle instances.
  /// @return false when they are too few.
  bool FormReplica(const catalogue::entry& entry);
  /// Has all members load in the replica's epoch.
  static void RequireLoads(allocated_replica& replica);
  /// Gives a replica the entry's current version; all its members load.
  void RecreateInPlace(allocated_replica& replica,
                       const catalogue::entry& entry);

  const catalogue::entry* FindEntry(const base::entry_name& name) const;
  /// @return whether @p id is a healthy member, by the survey.
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
