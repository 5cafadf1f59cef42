// Defines what one node knows of each endpoint instance: the platform's list,
// operators' drains, and the last report with the time that it speaks for.
#ifndef FLAMINGOSHUNT_REPLICA_INSTANCE_TABLE_H_
#define FLAMINGOSHUNT_REPLICA_INSTANCE_TABLE_H_

#include <optional>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "endpoint/messages.h"

namespace flamingoshunt::replica {

/// Most instances that a node keeps; more are dropped and counted.
inline constexpr std::size_t kMaxInstances = 100'000;

struct instance_state {
  endpoint::instance info;
  bool listed = false;           ///< The platform's list has it.
  bool drain_requested = false;  ///< An operator wants it emptied.
  /// It stands in an allocation that this node knows.
  bool allocated = false;
  /// When this node first saw it as cooling, while it is.
  std::optional<base::time_point> cooling_since;
  std::optional<endpoint::report> report;
  base::time_point measured_at{};    ///< The report speaks for this time.
  base::time_point discovered_at{};  ///< When this node first heard of it.

  /// It is on its way out by the list or by its own word.
  bool IsLeaving() const;
  /// It was heard, or came to be known, within @p bound before @p now.
  bool ActiveWithin(base::duration bound, base::time_point now) const;
  /// Its last report says that it is a member of @p replica in @p epoch.
  bool ReportsMembership(const base::replica_id& replica,
                         base::epoch epoch) const;
  /// Its last report says that it holds the weights of this version.
  bool HoldsWeights(const base::entry_name& entry,
                    const std::string& version) const;
  /// It runs or queues requests, as far as its last report tells.
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

  /// Sets whether an instance stands in an allocation, and as cooling.
  void SetAllocated(const base::instance_id& id,
                    bool allocated,
                    base::time_point now);
  void SetCooling(const base::instance_id& id,
                  bool cooling,
                  base::time_point now);

  /// Takes a report unless a later one of the same process was taken.
  /// @return whether anything but load, sequence and age differs from before.
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
