// Tracks until when replicas are cold. A replica's entry says how long it stays
// cold as of its writing; counted from its receipt, that is an upper bound
// whatever the age of the entry and the clocks of other instances. Peers that
// read the list often name the cold replicas to the others. The replicas of a
// failure domain whose evacuation ends may have become cold just before, so
// they count as cold until their entries would say so.
//
// Load pattern: a failure domain comes back cold, and all nodes have requests
// for it before its entries say so.
#ifndef FLAMINGOSHUNT_FLEET_COLD_PERIODS_H_
#define FLAMINGOSHUNT_FLEET_COLD_PERIODS_H_

#include <map>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/replica.h"

namespace flamingoshunt::fleet {

/// A replica that is cold, as a node has read it.
struct cold_report {
  base::instance_id replica;
  base::duration remaining{};
  bool operator==(const cold_report&) const = default;
};

/// Uses no sockets and no clock.
class cold_periods {
 public:
  /// Longest period that is believed: replicas are cold for seconds.
  static constexpr base::duration kLongest = std::chrono::minutes(10);

  /// The entry of @p replica changed.
  /// @return whether a cold period began that wasn't known.
  bool OnListed(const replica& entry, base::time_point now);

  /// A peer named @p report; it only lengthens a period.
  /// @return whether a cold period began or became longer.
  bool OnPeerReport(const cold_report& report, base::time_point now);

  /// The evacuation of @p domain ended.
  /// @param entries_late how long after becoming cold a replica's entry may
  ///        still not say so here.
  void OnReturned(const base::failure_domain_id& domain,
                  base::duration entries_late,
                  base::time_point now);

  /// @return when the cold period of @p replica ends; a time in the past if it
  ///         isn't cold.
  base::time_point EndOf(const replica& entry) const;

  /// @return the replicas whose entries began to call them cold since the last
  ///         call.
  std::vector<cold_report> TakeNew(base::time_point now);
  /// @return all that their entries call cold; none is new afterwards.
  std::vector<cold_report> TakeAll(base::time_point now);

 private:
  using end_map = std::map<base::instance_id, base::time_point>;

  end_map listed_until_;  ///< By the replicas' own entries.
  end_map named_until_;   ///< By peers; not named to others in turn.
  std::map<base::failure_domain_id, base::time_point> returned_until_;
  std::set<base::instance_id> new_;  ///< In listed_until_.
};

}  // namespace flamingoshunt::fleet

#endif  // FLAMINGOSHUNT_FLEET_COLD_PERIODS_H_
