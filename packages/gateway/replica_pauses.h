// Tracks which replicas have asked this node to send them nothing for a time,
// with a rejection. A pause binds the node that was answered: a replica that
// sheds one node may accept requests of the others.
//
// Load pattern: some replicas are overrun and shed for a second or more, while
// demand stays the same.
#ifndef FLAMINGOSHUNT_GATEWAY_REPLICA_PAUSES_H_
#define FLAMINGOSHUNT_GATEWAY_REPLICA_PAUSES_H_

#include <map>
#include <optional>

#include "base/clock.h"
#include "gateway/fleet_view.h"

namespace flamingoshunt::gateway {

/// Uses no sockets and no clock.
class replica_pauses {
 public:
  /// The process asked to be sent nothing until @p until. A pause that ends
  /// earlier than the one before doesn't shorten it.
  void Record(const replica_process& process,
              base::time_point until,
              base::time_point now);

  /// @return when the pause of @p replica ends; empty if it doesn't pause. A
  ///         process started after the one that asked doesn't.
  std::optional<base::time_point> EndOf(const target& replica,
                                        base::time_point now) const;

  bool empty() const { return pauses_.empty(); }

 private:
  struct pause {
    std::uint64_t started_ms = 0;  ///< Of the process that asked.
    base::time_point until{};
  };

  std::map<base::instance_id, pause> pauses_;
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_REPLICA_PAUSES_H_
