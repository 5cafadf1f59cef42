// Detects that the replica of a stream has stalled: every running request of an
// engine with continuous batching gets an event in every pass, so inactivity
// for a few passes means that the entire replica has stopped.
//
// Load pattern: a group loses a member; its head still accepts requests and
// delays every stream for seconds. Waiting for the platform's list or for the
// head's own detection would make all of them late; after the first few missed
// passes the streams can resume on another replica.
#ifndef FLAMINGOSHUNT_GATEWAY_STALL_DETECTOR_H_
#define FLAMINGOSHUNT_GATEWAY_STALL_DETECTOR_H_

#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/ids.h"

namespace flamingoshunt::gateway {

/// What to do about an inactive stream.
enum class stall_decision {
  kWait,        ///< The replica is active, or may still be.
  kQueryPeers,  ///< Ask whether other nodes see it active.
  kStalled      ///< No node does.
};

/// Tracks the activity of replicas and learns their usual delays.
class stall_detector {
 public:
  /// Time for the other nodes to confirm that a replica is active: two network
  /// delays and the scheduling of three small processes.
  static constexpr base::duration kPeerAnswerTimeout =
      std::chrono::milliseconds(35);

  /// Records an event of any stream of @p replica.
  void RecordActivity(const base::instance_id& replica, base::time_point now);

  /// Evaluates a stream that has been inactive for longer than @p timeout.
  stall_decision Evaluate(const base::instance_id& replica,
                          base::duration timeout,
                          base::time_point now);

  /// Another node confirmed that @p replica is active.
  void OnPeerActivity(const base::instance_id& replica, base::time_point now);

  /// @return whether this node saw an event of @p replica within @p window.
  bool WasActiveWithin(const base::instance_id& replica,
                       base::duration window,
                       base::time_point now) const;

  /// Records the time between two events of one stream.
  void RecordGap(const base::instance_id& replica, base::duration gap);

  /// Records the time to a stream's first event.
  /// @param pool     groups the replicas of one model.
  /// @param expected from the engine's published performance.
  void RecordFirstEvent(const std::string& pool,
                        base::duration expected,
                        base::duration actual);

  /// @param expected gap, from the engine's published performance.
  /// @return the inactivity after which the replica may have stalled.
  base::duration GapTimeout(const base::instance_id& replica,
                            base::duration expected) const;

  /// @param expected time to the first event.
  /// @return the wait for it after which the replica may have stalled.
  base::duration FirstEventTimeout(const std::string& pool,
                                   base::duration expected) const;

  /// @return by how much first events usually exceed the expected time.
  base::duration FirstEventOverrun(const std::string& pool) const;

  /// Drops what was learned about replicas for which @p exists is false.
  template <class Predicate>
  void RetainIf(Predicate exists) {
    const auto gone = [&](const auto& entry) { return !exists(entry.first); };
    std::erase_if(gaps_, gone);
    std::erase_if(replicas_, gone);
  }

 private:
  /// An exponential moving average with its mean absolute deviation.
  struct moving_average {
    double mean_ms = 0;
    double deviation_ms = 0;
    int count = 0;
    void Record(double ms);
  };

  struct replica_state {
    base::time_point last_active_at{};
    std::optional<base::time_point> queried_at;
    std::optional<base::time_point> confirmed_at;
  };

  std::map<base::instance_id, replica_state> replicas_;
  std::map<base::instance_id, moving_average> gaps_;
  std::map<std::string, moving_average>
      first_events_;  ///< Minus the expected time.
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_STALL_DETECTOR_H_
