// Defines the readiness gate of one node: a replica takes new work only while
// every member reported the replica's current epoch as ready within the
// freshness bound, none is leaving, and no request failed there since.
//
//   allocation says d1-5 epoch 7 = [i1, i4]; i1 reports (d1-5, 7, ready) and
//   i4 comes back from a pause reporting (d1-5, 6, ready): not serving, since
//   i4 speaks of an epoch that is over.
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

  /// Sets the replicas of one domain; those that it no longer has are gone.
  void SetAllocation(const allocation& current);
  void SetCatalogue(catalogue::snapshot_ptr snapshot);

  /// Closes a replica until every member was seen ready after @p now.
  void RecordFailure(const base::replica_id& id,
                     base::epoch epoch,
                     base::time_point now);

  /// Judges the replica that @p instance is a member of.
  void Evaluate(const base::instance_id& instance,
                const instance_table& instances,
                base::time_point now,
                std::vector<serving_changed>& out);

  /// @return whether the replica that @p instance is a member of serves.
  bool IsReplicaServing(const base::instance_id& instance) const;

  /// Has what is told of every replica drawn anew, as after a new list.
  void InvalidateDescriptions();

  /// Judges every replica and works out the next expiry.
  void EvaluateAll(const instance_table& instances,
                   base::time_point now,
                   std::vector<serving_changed>& out);

  /// @return when the report that holds a serving replica open expires.
  std::optional<base::time_point> next_expiry() const { return next_expiry_; }
  bool IsServing(const base::replica_id& id) const;

 private:
  struct replica_gate {
    allocated_replica replica;
    serving_replica published;  ///< What the rest of the node was told last.
    bool ever_published = false;
    bool has_current_description =
        false;  ///< What was told is up to date but for the state.
    base::time_point failed_at{};  ///< Reports must be later than this.
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
  std::vector<serving_replica> removed_replicas_;  ///< To be told as gone.
  std::optional<base::time_point> next_expiry_;
};

}  // namespace flamingoshunt::replica

#endif  // FLAMINGOSHUNT_REPLICA_READINESS_H_
