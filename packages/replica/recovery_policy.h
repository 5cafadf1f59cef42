// Defines the strategies for replicas that have lost or will lose members.
// repair_policy is used in production; rebuild_policy, which restarts the whole
// group, is the baseline of the benchmarks.
#ifndef FLAMINGOSHUNT_REPLICA_RECOVERY_POLICY_H_
#define FLAMINGOSHUNT_REPLICA_RECOVERY_POLICY_H_

#include "replica/draft.h"

namespace flamingoshunt::replica {

class recovery_policy {
 public:
  virtual ~recovery_policy() = default;
  /// Updates the draft for the domain's incomplete and leaving replicas.
  virtual void Recover(draft& plan) const = 0;
  virtual incomplete_counting counting() const = 0;
};

/// Replaces lost members by spares, starting with the replicas that lack the
/// fewest, and frees replicas that cannot be completed so that their members
/// complete others. Loads the successor of a leaving member while the replica
/// still serves.
class repair_policy final : public recovery_policy {
 public:
  void Recover(draft& plan) const override;
  incomplete_counting counting() const override {
    return incomplete_counting::kIfRepairable;
  }
};

/// Rebuilds a replica that lost a member in the same domain, with all members
/// loading anew, as soon as enough instances are idle there.
class rebuild_policy final : public recovery_policy {
 public:
  void Recover(draft& plan) const override;
  incomplete_counting counting() const override {
    return incomplete_counting::kAlways;
  }
};

}  // namespace flamingoshunt::replica

#endif  // FLAMINGOSHUNT_REPLICA_RECOVERY_POLICY_H_
