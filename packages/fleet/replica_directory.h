// Defines which replicas exist, from the platform's list. An entry that lapses
// while the platform is out of reach, or soon after, may only be missing
// because its replica could not renew it: it is kept until the replica had time
// to write it again.
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
  static constexpr base::duration kReturn = std::chrono::milliseconds(2300);

  struct change {
    base::instance_id id;
    std::optional<replica> now;  ///< Nothing when it is gone.
  };

  /// Takes an entry. @return whether anything changed.
  bool Put(const replica& entry);

  /// Takes a deletion, or an entry that names no replica.
  /// @return whether the replica is gone at once.
  bool Delete(const base::instance_id& id, base::time_point now);

  /// A call or watch of the platform failed just now.
  void NotePlatformFailure(base::time_point now) { last_failure_ = now; }

  /// @return the replicas whose entries did not come back in time.
  std::vector<base::instance_id> Expire(base::time_point now);

  /// @return when Expire has something to do.
  std::optional<base::time_point> NextTimer() const;

  const std::map<base::instance_id, replica>& replicas() const {
    return replicas_;
  }

  /// @return how many entries lapsed and may come back.
  std::size_t lapsed() const { return lapsed_.size(); }

 private:
  std::map<base::instance_id, replica> replicas_;
  std::map<base::instance_id, base::time_point> lapsed_;  ///< Gone by then.
  std::optional<base::time_point> last_failure_;
};

}  // namespace flamingoshunt::fleet

#endif  // FLAMINGOSHUNT_FLEET_REPLICA_DIRECTORY_H_
