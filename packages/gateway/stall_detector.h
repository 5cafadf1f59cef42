// Defines how a node notices that a stream's replica stands still: every
// running request of a batching engine gets an event in every pass, so a
// silence of a few passes means that the whole replica has stopped.
//
// Load pattern: a member of a group is lost; its head goes on accepting and
// holds every stream for seconds. Waiting for the platform's list or for the
// head's own verdict makes each of them late; the first few silent passes are
// enough to continue elsewhere.
#ifndef FLAMINGOSHUNT_GATEWAY_STALL_DETECTOR_H_
#define FLAMINGOSHUNT_GATEWAY_STALL_DETECTOR_H_

#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/ids.h"

namespace flamingoshunt::gateway {

/// What a silence means.
enum class stall_decision {
  kWait,        ///< The replica goes on, or may be about to.
  kQueryPeers,  ///< Ask the other nodes whether they hear of it.
  kStalled      ///< Nobody does.
};

class stall_detector {
 public:
  /// Time for the other nodes to say that they hear of a replica: two network
  /// delays and the scheduling of three small processes.
  static constexpr base::duration kPeerAnswerTimeout =
      std::chrono::milliseconds(35);

  /// An event of any stream of @p replica.
  void RecordActivity(const base::instance_id& replica, base::time_point now);

  /// Judges a stream that has been silent for longer than its bound.
  stall_decision Evaluate(const base::instance_id& replica,
                          base::duration timeout,
                          base::time_point now);

  /// Another node hears of @p replica.
  void OnPeerActivity(const base::instance_id& replica, base::time_point now);

  /// @return whether this node heard of @p replica within @p within.
  bool WasActiveWithin(const base::instance_id& replica,
                       base::duration window,
                       base::time_point now) const;

  /// Notes the time between two events of one stream.
  void RecordGap(const base::instance_id& replica, base::duration gap);

  /// Notes the time to a stream's first event.
  /// @param pool     what the replicas of one model share.
  /// @param expected by the engine's published pace.
  void RecordFirstEvent(const std::string& pool,
                        base::duration expected,
                        base::duration actual);

  /// @param expected gap by the engine's published pace.
  /// @return the silence after which the replica counts as standing still.
  base::duration GapTimeout(const base::instance_id& replica,
                            base::duration expected) const;

  /// @param expected time to the first event.
  /// @return the silence before the first event that counts as standing still.
  base::duration FirstEventTimeout(const std::string& pool,
                                   base::duration expected) const;

  /// @return what the first event usually takes beyond @p expected.
  base::duration FirstEventOverrun(const std::string& pool) const;

  /// Forgets what was learned of replicas that are gone.
  template <class Predicate>
  void RetainIf(Predicate exists) {
    const auto gone = [&](const auto& entry) { return !exists(entry.first); };
    std::erase_if(gaps_, gone);
    std::erase_if(replicas_, gone);
  }

 private:
  /// A mean that forgets, with the usual distance from it.
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
      first_events_;  ///< Beyond the expected.
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_STALL_DETECTOR_H_
