// Defines the state of one endpoint instance of the stand-in: the orders it
// takes, with or without a check of fencing numbers, and what it reports of
// itself. No sockets and no clock.
#ifndef FLAMINGOSHUNT_STAND_INS_ENDPOINT_INSTANCE_H_
#define FLAMINGOSHUNT_STAND_INS_ENDPOINT_INSTANCE_H_

#include <string>
#include <vector>

#include "base/clock.h"
#include "endpoint/messages.h"

namespace flamingoshunt::stand_ins {

struct endpoint_instance_options {
  bool checks_fencing = true;
  base::duration load_time = std::chrono::milliseconds(500);
};

class endpoint_instance {
 public:
  endpoint_instance(base::instance_id id, endpoint_instance_options options)
      : id_(std::move(id)), options_(options) {}

  endpoint::order_outcome Take(const endpoint::order& order,
                               base::time_point now);

  endpoint::report Report(base::time_point now);

  /// @return whether a request for this replica and epoch may run here.
  bool Serves(const base::replica_id& replica,
              base::epoch epoch,
              base::time_point now) const;

  const base::instance_id& id() const { return id_; }
  const std::vector<base::instance_id>& members() const { return members_; }
  void SetLeaving(bool leaving) { leaving_ = leaving; }
  void AddRunning(int change) { running_ += change; }

  /// Forgets everything, as a restarted instance does.
  void Restart();

 private:
  endpoint::member_state StateAt(base::time_point now) const;

  base::instance_id id_;
  endpoint_instance_options options_;
  base::revision highest_fencing_;
  base::replica_id replica_;
  base::epoch epoch_;
  base::entry_name entry_;
  std::string version_;
  std::vector<base::instance_id> members_;
  base::time_point ready_at_{};
  bool draining_ = false;
  bool leaving_ = false;
  int running_ = 0;
  std::uint64_t sequence_ = 0;
};

}  // namespace flamingoshunt::stand_ins

#endif  // FLAMINGOSHUNT_STAND_INS_ENDPOINT_INSTANCE_H_
