// Defines how a node notices that a stream's replica stands still: every
// running request of a batching engine gets an event in every pass, so a
// silence of a few passes means that the whole replica has stopped.
//
// Load pattern: a member of a group is lost; its head goes on accepting and
// holds every stream for seconds. Waiting for the platform's list or for the
// head's own verdict makes each of them late; the first few silent passes are
// enough to continue elsewhere.
#ifndef FLAMINGOSHUNT_GATEWAY_STALL_WATCH_H_
#define FLAMINGOSHUNT_GATEWAY_STALL_WATCH_H_

#include <map>

#include "base/clock.h"
#include "base/ids.h"

namespace flamingoshunt::gateway {

class stall_watch {
 public:
  /// Notes the time between two events of one stream.
  void NoteGap(const base::instance_id& replica, base::duration gap);

  /// @param expected gap by the engine's published pace.
  /// @return the silence after which the replica counts as standing still.
  base::duration GapBound(const base::instance_id& replica,
                          base::duration expected) const;

  /// @param expected time to the first event.
  /// @return the silence before the first event that counts as standing still.
  base::duration FirstEventBound(const base::instance_id& replica,
                                 base::duration expected) const;

  /// Forgets what was learned of replicas that are gone.
  template <class StillThere>
  void Keep(StillThere still_there) {
    std::erase_if(learned_, [&](const auto& each) {
      return !still_there(each.first);
    });
  }

 private:
  struct gaps {
    double mean_ms = 0;
    double deviation_ms = 0;  ///< Mean distance from the mean.
    int count = 0;
  };

  std::map<base::instance_id, gaps> learned_;
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_STALL_WATCH_H_
