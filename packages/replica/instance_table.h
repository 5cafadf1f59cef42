// Defines a node's view of each endpoint instance: the platform's list,
// operators' drains, and the last report with the time of its measurement.
#ifndef FLAMINGOSHUNT_REPLICA_INSTANCE_TABLE_H_
#define FLAMINGOSHUNT_REPLICA_INSTANCE_TABLE_H_

#include <optional>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "endpoint/messages.h"

namespace flamingoshunt::replica {

/// Maximum number of instances that a node tracks; more are dropped and
/// counted.
inline constexpr std::size_t kMaxInstances = 100'000;

struct instance_state {
  endpoint::instance info;
  bool listed = false;           ///< The platform's list contains it.
  bool drain_requested = false;  ///< An operator requested a drain.
  /// An allocation known to this node contains it.
  bool allocated = false;
  /// When this node first saw it as cooling; empty while it is not.
  std::optional<base::time_point> cooling_since;
  std::optional<endpoint::report> report;
  base::time_point measured_at{};    ///< When the last report was measured.
  base::time_point discovered_at{};  ///< When it was added to this table.

  /// It is leaving according to the platform's list or its own report.
  bool IsLeaving() const;
  /// Its last report was measured, or it was discovered, within @p bound before
  /// @p now.
  bool ActiveWithin(base::duration bound, base::time_point now) const;
  /// Its last report says that it is a member of @p replica in @p epoch.
  bool ReportsMembership(const base::replica_id& replica,
                         base::epoch epoch) const;
  /// Its last report says that it holds the weights of this version.
  bool HoldsWeights(const base::entry_name& entry,
                    const std::string& version) const;
  /// Its last report shows running or queued requests.
  bool HasWork() const;
};

class instance_table {
 public:
  using map = std::unordered_map<base::instance_id, instance_state>;

  /// Replaces the platform's list.
  void ReplaceList(const std::vector<endpoint::instance>& instances,
                   base::time_point now);
  void ApplyListChange(const endpoint::instance& instance,
                       bool gone,
                       base::time_point now);
  void SetDrains(const std::vector<base::instance_id>& drained);
  void SetDrain(const base::instance_id& instance, bool drain_requested);

  /// Sets whether an allocation contains an instance, and whether as cooling.
  void SetAllocated(const base::instance_id& id,
                    bool allocated,
                    base::time_point now);
  void SetCooling(const base::instance_id& id,
                  bool cooling,
                  base::time_point now);

  /// Records a report unless one measured later was recorded before.
  /// @return whether anything but load figures, sequence and age changed.
  bool RecordReport(const endpoint::report& report, base::time_point now);

  const instance_state* Find(const base::instance_id& id) const;
  const map& all() const { return instances_; }
  std::uint64_t dropped() const { return dropped_; }

 private:
  instance_state& FindOrAdd(const base::instance_id& id, base::time_point now);
  void EraseIfUnused(const base::instance_id& id);

  map instances_;
  std::uint64_t dropped_ = 0;
};

}  // namespace flamingoshunt::replica

#endif  // FLAMINGOSHUNT_REPLICA_INSTANCE_TABLE_H_
