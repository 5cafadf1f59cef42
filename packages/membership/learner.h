// Defines what a node makes of news from others: what it believes, what it
// refutes, and what it passes on.
#ifndef FLAMINGOSHUNT_MEMBERSHIP_LEARNER_H_
#define FLAMINGOSHUNT_MEMBERSHIP_LEARNER_H_

#include <set>
#include <string>

#include "membership/core.h"
#include "membership/detector.h"
#include "membership/spreader.h"

namespace flamingoshunt::membership {

class learner {
 public:
  learner(core& shared, spreader& spread, detector& detect);

  /// Takes news that @p sender gave. A member's own word about itself is spread
  /// to all when it is new; a death is never taken from hearsay, the member is
  /// probed instead; claims against this node are refuted.
  void Learn(const updates& news,
             const base::node_id& sender,
             base::time_point now);

  /// Sets this node's item and spreads it; nothing happens when the value is
  /// the same.
  /// @return whether the bounds allowed it.
  bool Publish(const publish& wanted, base::time_point now);

 private:
  void LearnMember(const peer& claim,
                   const base::node_id& sender,
                   base::time_point now);
  void LearnItem(const item& claim, base::time_point now);
  void Refute(const peer& claim, base::time_point now);
  void Reassert(const item& claim, base::time_point now);
  bool SetOwnItem(item own, base::time_point now);

  core& core_;
  spreader& spreader_;
  detector& detector_;
  std::set<record_id> published_;  // by this run of the node
};

}  // namespace flamingoshunt::membership

#endif  // FLAMINGOSHUNT_MEMBERSHIP_LEARNER_H_
