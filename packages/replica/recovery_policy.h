// Defines how replicas that lost or are about to lose members are mended, as a
// strategy. repair_policy is the product's; rebuild_policy, the usual way of
// restarting the whole group, is what it is measured against.
#ifndef FLAMINGOSHUNT_REPLICA_RECOVERY_POLICY_H_
#define FLAMINGOSHUNT_REPLICA_RECOVERY_POLICY_H_

#include "replica/draft.h"

namespace flamingoshunt::replica {

class recovery_policy {
 public:
  virtual ~recovery_policy() = default;
  /// Changes the draft for the domain's incomplete and leaving replicas.
  virtual void Recover(draft& plan) const = 0;
  virtual incomplete_counting counting() const = 0;
};

/// Puts spares in place of lost members, completes first what lacks fewest,
/// and breaks up what can't be completed so that it completes others. Loads
/// the successor of a leaving member while the replica still serves.
class repair_policy final : public recovery_policy {
 public:
  void Recover(draft& plan) const override;
  incomplete_counting counting() const override {
    return incomplete_counting::kIfRepairable;
  }
};

/// Frees a replica that lost a member and forms it anew in the same domain
/// once enough instances are idle there.
class rebuild_policy final : public recovery_policy {
 public:
  void Recover(draft& plan) const override;
  incomplete_counting counting() const override {
    return incomplete_counting::kAlways;
  }
};

}  // namespace flamingoshunt::replica

#endif  // FLAMINGOSHUNT_REPLICA_RECOVERY_POLICY_H_
