// Tracks which replicas exist, from the platform's list. An entry that is
// missing after an outage of the platform may have lapsed only because its
// replica couldn't renew it: it is kept until the replica has had time to write
// it again. A lost connection is no outage: entries lapse only in one that
// lasts long enough.
#ifndef FLAMINGOSHUNT_FLEET_REPLICA_DIRECTORY_H_
#define FLAMINGOSHUNT_FLEET_REPLICA_DIRECTORY_H_

#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "fleet/replica.h"
#include "gateway/fleet_view.h"

namespace flamingoshunt::fleet {

/// The replicas of all services by id.
class replica_directory {
 public:
  /// Time after the platform's recovery in which running replicas are listed
  /// again; the platform promises about two seconds.
  static constexpr base::duration kRelistGrace =
      std::chrono::milliseconds(2300);

  struct change {
    base::instance_id id;
    std::optional<replica> current;  ///< Empty if removed.
  };

  /// Adds or updates an entry. A process that was leaving stays so, even if a
  /// delayed or restored entry says otherwise.
  /// @return whether anything changed.
  bool Put(const replica& entry, base::time_point now);

  /// Records that a process is leaving, as it said itself or as a peer knows.
  /// @return whether that wasn't known.
  bool RecordLeaving(const gateway::replica_process& process,
                     base::time_point now);

  /// Handles a deletion.
  /// @return whether the replica was removed at once.
  bool Delete(const base::instance_id& id, base::time_point now);

  /// Handles an entry that no longer names a usable replica, which is removed
  /// at once: the entry has not lapsed.
  /// @return whether the replica was known.
  bool Withdraw(const base::instance_id& id, base::time_point now);

  /// @param heartbeat interval at which replicas renew their entries.
  /// @return the shortest outage in which entries can lapse.
  static base::duration ShortestLapse(base::duration heartbeat);

  /// Records the end of an outage in which entries can have lapsed; call before
  /// applying changes received after it.
  void RecordOutageEnd(base::time_point ended);

  /// Records that the platform was restored from an older copy; call before
  /// applying its list. Entries of processes that were removed before are set
  /// aside until they would have lapsed if the process no longer ran.
  /// @param heartbeat interval at which replicas renew their entries.
  void RecordRestore(base::time_point now, base::duration heartbeat);

  bool IsSetAside(const base::instance_id& id) const {
    return set_aside_.contains(id);
  }

  /// @return the entries that were set aside and have not lapsed; they are no
  ///         longer set aside.
  std::vector<replica> TakeRenewed(base::time_point now);

  /// Removes the replicas whose entries weren't listed again in time.
  /// @return the replicas removed.
  std::vector<base::instance_id> Expire(base::time_point now);

  /// @return when to call Expire next, if any entry lapsed.
  std::optional<base::time_point> NextTimer() const;

  const std::map<base::instance_id, replica>& replicas() const {
    return replicas_;
  }

  /// @return the number of lapsed entries that may be listed again.
  std::size_t lapsed() const { return lapsed_until_.size(); }

 private:
  struct departure {
    std::uint64_t started_ms = 0;  ///< Of the process that is leaving.
    base::time_point recorded_at{};
  };
  using departure_map = std::map<base::instance_id, departure>;

  static bool Remember(departure_map& departures,
                       const gateway::replica_process& process,
                       base::time_point now);
  static bool Contains(const departure_map& departures, const replica& entry);
  bool SetAside(const replica& entry, base::time_point now);
  void Remove(const base::instance_id& id, base::time_point now);

  std::map<base::instance_id, replica> replicas_;
  /// Outlives the entries: a restored list may still contain them.
  departure_map departures_;
  /// Processes whose entries were removed and haven't returned.
  departure_map removed_;
  std::map<base::instance_id, replica> set_aside_;  ///< From a restored list.
  base::time_point restored_at_ = base::time_point::min();
  base::time_point set_aside_until_ = base::time_point::min();
  std::map<base::instance_id, base::time_point>
      lapsed_until_;                                 ///< Removed then.
  std::optional<base::time_point> relist_deadline_;  ///< After an outage.
};

}  // namespace flamingoshunt::fleet

#endif  // FLAMINGOSHUNT_FLEET_REPLICA_DIRECTORY_H_
