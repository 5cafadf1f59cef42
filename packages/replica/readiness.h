// Defines the readiness gate of one node: a replica accepts new work only while
// every member reported the replica's current epoch as ready within the
// freshness bound, no member is leaving, and no request has failed there since.
//
//   the allocation says d1-5 epoch 7 = [i1, i4]; i1 reports (d1-5, 7, ready),
//   and i4 resumes after a pause and reports (d1-5, 6, ready): the replica does
//   not serve, since i4 reports an earlier epoch.
#ifndef FLAMINGOSHUNT_REPLICA_READINESS_H_
#define FLAMINGOSHUNT_REPLICA_READINESS_H_

#include <optional>
#include <unordered_map>
#include <vector>

#include "catalogue/entry.h"
#include "replica/allocation.h"
#include "replica/instance_table.h"
#include "replica/messages.h"
#include "replica/settings.h"

namespace flamingoshunt::replica {

class readiness_gate {
 public:
  explicit readiness_gate(const settings& config) : settings_(config) {}

  /// Sets the replicas of one domain; replicas that it no longer has are
  /// removed.
  void SetAllocation(const allocation& current);
  void SetCatalogue(catalogue::snapshot_ptr snapshot);

  /// Stops a replica from serving until every member reports ready as measured
  /// after @p now.
  void RecordFailure(const base::replica_id& id,
                     base::epoch epoch,
                     base::time_point now);

  /// Evaluates the replica that @p instance is a member of.
  void Evaluate(const base::instance_id& instance,
                const instance_table& instances,
                base::time_point now,
                std::vector<serving_changed>& out);

  /// @return whether the replica that @p instance is a member of serves.
  bool IsReplicaServing(const base::instance_id& instance) const;

  /// Makes the next evaluation describe every replica anew, as after a new
  /// list.
  void InvalidateDescriptions();

  /// Evaluates every replica and computes the next expiry.
  void EvaluateAll(const instance_table& instances,
                   base::time_point now,
                   std::vector<serving_changed>& out);

  /// @return when the oldest report that a serving replica depends on expires.
  std::optional<base::time_point> next_expiry() const { return next_expiry_; }
  bool IsServing(const base::replica_id& id) const;

 private:
  struct replica_gate {
    allocated_replica replica;
    serving_replica published;  ///< Last state sent to the request path.
    bool ever_published = false;
    /// Everything but the state of it is current.
    bool has_current_description = false;
    /// Reports must be measured later than this.
    base::time_point failed_at{};
  };
  using gates = std::unordered_map<base::replica_id, replica_gate>;

  void EvaluateReplica(replica_gate& gate,
                       const instance_table& instances,
                       base::time_point now,
                       std::vector<serving_changed>& out);
  serving_state StateOf(const replica_gate& gate,
                        const instance_table& instances,
                        base::time_point now) const;
  serving_replica Describe(const replica_gate& gate,
                           const instance_table& instances,
                           serving_state state) const;
  void RecordExpiry(const replica_gate& gate, const instance_table& instances);
  base::time_point ExpiryOf(const replica_gate& gate,
                            const instance_table& instances) const;

  settings settings_;
  catalogue::snapshot_ptr catalogue_;
  gates gates_;
  std::unordered_map<base::fabric_domain_id, std::vector<base::replica_id>>
      replicas_by_domain_;
  std::unordered_map<base::instance_id, replica_gate*> gates_by_member_;
  std::vector<serving_replica> removed_replicas_;  ///< To be published as gone.
  std::optional<base::time_point> next_expiry_;
};

}  // namespace flamingoshunt::replica

#endif  // FLAMINGOSHUNT_REPLICA_READINESS_H_
