// Defines how one request handles the claim of its Idempotency-Key: it checks
// whether an earlier call exists, acquires the claim by one conditional write,
// resolves a lost reply by reading its own token back, and closes the claim
// with the outcome. Correctness never depends on a clock or a lease: a node
// that cannot be certain to hold the claim does not send the call, then or
// later.
//
//   CheckExisting --> free --> Acquire --> acquired --> (call) --> Close(done)
//        \-> done, in progress, unknown: reported to the caller, nothing runs
//                                  \-> uncertain: refused; Close(refused)
//                                  fences
//                                      the claim, so that a pending write
//                                      cannot take effect later
#ifndef FLAMINGOSHUNT_DELIVERY_CLAIM_SESSION_H_
#define FLAMINGOSHUNT_DELIVERY_CLAIM_SESSION_H_

#include <optional>
#include <vector>

#include "base/clock.h"
#include "delivery/claim_record.h"
#include "delivery/id_source.h"
#include "delivery/settings.h"
#include "store/messages.h"

namespace flamingoshunt::delivery {

enum class claim_result {
  kPending,     ///< Wait for a reply or the timer.
  kFree,        ///< CheckExisting: no call with this key has run.
  kAcquired,    ///< Acquire: the call may be sent.
  kDone,        ///< An earlier call ran; see earlier_answer().
  kInProgress,  ///< An earlier call is running, or stopped recently.
  kUnknown,     ///< An earlier call may have run.
  kOtherCall,   ///< The key was used for a different call.
  kUncertain,   ///< The claim may or may not be held: do not send.
  kClosed       ///< Close: finished.
};

struct claim_step {
  claim_result result = claim_result::kPending;
  std::vector<store::call> calls;  ///< To send in order.
};

class claim_session {
 public:
  /// @param accepted when the request arrived, on both clocks; wall time is
  ///        used only for the stored record and for reporting a claim as in
  ///        progress or unknown.
  claim_session(const caller::request& request,
                const claim_settings& settings,
                id_source& ids,
                base::time_point accepted,
                base::wall_time accepted_wall);

  /// Reads whether an earlier call has used this key.
  claim_step CheckExisting(base::time_point now);
  /// Writes the claim, conditionally on what CheckExisting read.
  claim_step Acquire(base::time_point now);

  /// Writes the outcome; the request must never be sent after this.
  claim_step Close(claim_state outcome,
                   std::optional<stored_answer> answer,
                   base::time_point now);

  /// Replies to other calls are ignored.
  claim_step Handle(const store::reply& reply, base::time_point now);
  claim_step Tick(base::time_point now);

  std::optional<base::time_point> next_timer() const { return timer_; }
  const std::optional<stored_answer>& earlier_answer() const {
    return earlier_answer_;
  }

 private:
  enum class phase { kIdle, kChecking, kAcquiring, kResolving, kClosing };

  // State of this session's own write that acquires the claim.
  enum class own_write_state { kNone, kPending, kApplied };

  using reply_handler = claim_step (claim_session::*)(const store::reply&,
                                                      base::time_point);
  static const std::vector<reply_handler>& ReplyHandlers();

  claim_step SendRead(store::call_priority priority);
  claim_step SendWrite(const claim_record& record,
                       std::optional<base::revision> expected,
                       store::call_priority priority);
  claim_step ScheduleRetry(base::time_point now);
  claim_step Finish(claim_result result);

  claim_step OnCheckReply(const store::reply& reply, base::time_point now);
  claim_step OnAcquireReply(const store::reply& reply, base::time_point now);
  claim_step OnResolveReply(const store::reply& reply, base::time_point now);
  claim_step OnCloseReply(const store::reply& reply, base::time_point now);
  claim_step OnCloseWriteReply(const store::reply& reply, base::time_point now);
  claim_step OnCloseReadReply(const store::reply& reply, base::time_point now);

  claim_step EvaluateExisting(const store::object& object,
                              base::time_point now);
  claim_step ResolveFromObject(const store::object& object,
                               base::time_point now);
  claim_step RetryResolve(base::time_point now);
  claim_step OnAcquired(base::revision version, base::time_point now);
  claim_step SendClosingWrite(std::optional<base::revision> expected);
  base::wall_time ToWallTime(base::time_point now) const;

  const store::object_key key_;
  const std::string call_hash_;
  const claim_settings& settings_;
  id_source& ids_;
  const base::time_point accepted_;
  const base::wall_time accepted_wall_;

  phase phase_ = phase::kIdle;
  store::call_id awaited_call_;
  bool awaiting_read_ = false;
  std::optional<base::time_point> timer_;

  claim_record own_record_;
  std::optional<base::revision> refused_version_;  // Refused claim to replace.
  own_write_state own_write_ = own_write_state::kNone;
  base::revision claim_version_;  // Of this session's claim, once applied.
  base::time_point write_sent_;
  int resolve_reads_ = 0;
  int acquire_writes_ = 0;
  base::time_point closing_started_;
  std::optional<stored_answer> earlier_answer_;
};

}  // namespace flamingoshunt::delivery

#endif  // FLAMINGOSHUNT_DELIVERY_CLAIM_SESSION_H_
