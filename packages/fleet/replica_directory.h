// Defines which replicas exist, from the platform's list. An entry that lapsed
// while the platform was out of reach may only be missing because its replica
// could not renew it: it is kept until the replica had time to write it again.
#ifndef FLAMINGOSHUNT_FLEET_REPLICA_DIRECTORY_H_
#define FLAMINGOSHUNT_FLEET_REPLICA_DIRECTORY_H_

#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "fleet/replica.h"

namespace flamingoshunt::fleet {

class replica_directory {
 public:
  /// Time after the platform's return in which living replicas are listed
  /// again; the platform promises about two seconds.
  static constexpr base::duration kRelistGrace =
      std::chrono::milliseconds(2300);

  struct change {
    base::instance_id id;
    std::optional<replica> current;  ///< Nothing when it is gone.
  };

  /// Takes an entry. @return whether anything changed.
  bool Put(const replica& entry);

  /// Takes a deletion, or an entry that names no replica.
  /// @return whether the replica is gone at once.
  bool Delete(const base::instance_id& id, base::time_point now);

  /// A call or watch of the platform failed.
  void RecordPlatformFailure() { platform_failing_ = true; }

  /// The list was heard of; goes before the changes that it brought.
  void RecordPlatformContact(base::time_point now);

  /// @return the replicas whose entries did not come back in time.
  std::vector<base::instance_id> Expire(base::time_point now);

  /// @return when Expire has something to do.
  std::optional<base::time_point> NextTimer() const;

  const std::map<base::instance_id, replica>& replicas() const {
    return replicas_;
  }

  /// @return how many entries lapsed and may come back.
  std::size_t lapsed() const { return lapsed_until_.size(); }

 private:
  std::map<base::instance_id, replica> replicas_;
  std::map<base::instance_id, base::time_point>
      lapsed_until_;  ///< Gone by then.
  bool platform_failing_ = false;
  std::optional<base::time_point>
      platform_recovered_at_;  ///< After the last failure.
};

}  // namespace flamingoshunt::fleet

#endif  // FLAMINGOSHUNT_FLEET_REPLICA_DIRECTORY_H_
