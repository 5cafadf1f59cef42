// Selects which leaving replicas a node names to its peers: those of which it
// has read in an answer before the platform's list said so. Each is sent with
// the next status, and repeated for a while, since datagrams get lost.
//
// Load pattern: a release replaces hundreds of replicas within seconds, and
// each status goes to every node.
#ifndef FLAMINGOSHUNT_FLEET_DEPARTURE_REPORTS_H_
#define FLAMINGOSHUNT_FLEET_DEPARTURE_REPORTS_H_

#include <cstddef>
#include <deque>
#include <vector>

#include "base/clock.h"
#include "gateway/fleet_view.h"

namespace flamingoshunt::fleet {

/// Uses no sockets and no clock.
class departure_reports {
 public:
  /// Most replicas that one status names, the latest ones.
  static constexpr std::size_t kMaxNamed = 64;
  /// By then the list says so, at every node that reaches the platform.
  static constexpr base::duration kRepeated = std::chrono::seconds(3);

  /// An answer to this node said that the process is leaving.
  void Add(const gateway::replica_process& process, base::time_point now);

  /// @return those not named in any status yet.
  std::vector<gateway::replica_process> TakeNew();

  /// @return those to name in a full status; none of them is new afterwards.
  std::vector<gateway::replica_process> TakeAll(base::time_point now);

 private:
  struct report {
    gateway::replica_process process;
    base::time_point added_at{};
  };

  std::deque<report> reports_;   ///< In the order of Add.
  std::size_t new_reports_ = 0;  ///< At the end.
};

}  // namespace flamingoshunt::fleet

#endif  // FLAMINGOSHUNT_FLEET_DEPARTURE_REPORTS_H_
