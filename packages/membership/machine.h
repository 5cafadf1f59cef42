// Defines the membership machine: a deterministic state machine that takes
// typed peer messages, platform replies and time, and says what to send and
// what the rest of the node is to know. It does no input or output of its own.
#ifndef FLAMINGOSHUNT_MEMBERSHIP_MACHINE_H_
#define FLAMINGOSHUNT_MEMBERSHIP_MACHINE_H_

#include <optional>

#include "membership/core.h"
#include "membership/detector.h"
#include "membership/learner.h"
#include "membership/reconciler.h"
#include "membership/registrar.h"
#include "membership/spreader.h"

namespace flamingoshunt::membership {

/// A request of a peer, decoded and proved to be its own.
struct typed_request {
  peer_request_handle handle;
  base::node_id from;
  request message;
};

/// The answer to a typed_call.
struct typed_call_answered {
  peer_call_id id;
  answer message;
};

class machine {
 public:
  /// @param self as other nodes are to know it; its incarnation must exceed
  ///        that of earlier runs, as the time of day in milliseconds does.
  ///        Where it does not, peers tell and it is raised.
  machine(peer self,
          timing times,
          spread_budget budget,
          base::random_engine random);
  machine(const machine&) = delete;
  machine& operator=(const machine&) = delete;

  /// Writes the node object, lists the others, starts probing.
  machine_effects Start(base::time_point now);

  machine_effects Handle(const typed_request& input, base::time_point now);
  machine_effects Handle(const typed_call_answered& input,
                         base::time_point now);
  machine_effects Handle(const peer_call_failed& input, base::time_point now);
  machine_effects Handle(const store::reply& input, base::time_point now);
  machine_effects Handle(const publish& input, base::time_point now);
  machine_effects Handle(const leave& input, base::time_point now);
  machine_effects Handle(const tick& input, base::time_point now);

  std::optional<base::time_point> NextTimer() const;

  const peer& self() const { return core_.self(); }
  const member_table& members() const { return core_.members; }
  const item_table& items() const { return core_.items; }
  std::uint64_t digest() const { return core_.digest.whole(); }
  const membership_counters& counters() const { return core_.counters; }

 private:
  struct request_handler;
  struct answer_handler;
  struct failure_handler;

  void NoticeLateWake(base::time_point now);
  void Fail(const pending_call& call, base::time_point now);
  void LearnListed(const std::vector<peer>& listed, base::time_point now);
  void Answer(peer_request_handle handle, answer message);
  void KeepHouse(base::time_point now);
  machine_effects Finish(base::time_point now);

  core core_;
  spreader spreader_;
  detector detector_;
  learner learner_;
  reconciler reconciler_;
  registrar registrar_;
  bool announced_ = false;
  base::time_point next_housekeeping_;
  std::optional<base::time_point> expected_wake_;
};

}  // namespace flamingoshunt::membership

#endif  // FLAMINGOSHUNT_MEMBERSHIP_MACHINE_H_
