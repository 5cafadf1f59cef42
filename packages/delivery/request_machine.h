// Defines the state machine that carries one request from its acceptance to its
// complete answer: claim of the Idempotency-Key, slot, attempts, retries,
// resume of a broken stream, and the one problem that the caller receives if
// all of them fail. A table gives the handled inputs of each state.
//
//   new -> checking claim -> waiting for slot -> acquiring claim
//       -> awaiting head -> awaiting first token -> streaming
//       -> closing claim -> finished
//
// A failed attempt of repeatable work returns to "awaiting head" (same replica,
// fresh connection) or to "waiting for slot" (another replica). Non-repeatable
// work is retried only if no byte of it can have been sent.
//
// An attempt that is silent keeps running beside a standby attempt, first over
// a fresh connection, then on other replicas; it is abandoned only for one that
// has begun to answer. Without a standby it runs until the caller's deadline,
// or, if there is none, until the timeouts of stalls and readmission.
#ifndef FLAMINGOSHUNT_DELIVERY_REQUEST_MACHINE_H_
#define FLAMINGOSHUNT_DELIVERY_REQUEST_MACHINE_H_

#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "base/clock.h"
#include "delivery/answer_assembler.h"
#include "delivery/claim_session.h"
#include "delivery/id_source.h"
#include "delivery/messages.h"
#include "delivery/settings.h"

namespace flamingoshunt::delivery {

enum class request_state {
  kNew,
  kCheckingClaim,   ///< Reading whether an earlier call has this key.
  kWaitingForSlot,  ///< A slot request is pending at admission.
  kBackingOff,      ///< Waits before the next slot request.
  kAcquiringClaim,  ///< Has a slot; the claim is being written.
  kAwaitingHead,    ///< An attempt was started.
  kAwaitingFirstToken,
  kStreaming,
  kClosingClaim,  ///< The caller is answered; the claim gets the outcome.
  kFinished
};

class request_machine {
 public:
  class builder;

  /// Handles one input and returns the effects to perform in order. After
  /// send_end or send_problem the caller has its answer, but further inputs
  /// must still be passed in until finished().
  effects Handle(const input& message, base::time_point now);

  bool finished() const { return state_ == request_state::kFinished; }
  request_state state() const { return state_; }

 private:
  template <class Message>
  using handler = void (request_machine::*)(const Message&);
  using state_row = std::tuple<handler<request_accepted>,
                               handler<caller_disconnected>,
                               handler<timer_fired>,
                               handler<node_stopping>,
                               handler<admission::grant>,
                               handler<admission::refusal>,
                               handler<admission::preemption>,
                               handler<endpoint::answer_head>,
                               handler<endpoint::answer_chunk>,
                               handler<endpoint::answer_end>,
                               handler<endpoint::answer_broken>,
                               handler<store::reply>>;

  request_machine(const settings& settings,
                  id_source& ids,
                  base::wall_time accepted_wall);

  static const state_row& HandlersFor(request_state state);

  // Input handlers of the state table.
  void OnAccepted(const request_accepted& message);
  void OnCallerDisconnected(const caller_disconnected& message);
  void OnCallerDisconnectedWhileRunning(const caller_disconnected& message);
  void OnTimer(const timer_fired& message);
  void OnStoppingWhileWaiting(const node_stopping& message);
  void OnStopping(const node_stopping& message);
  void OnGrant(const admission::grant& message);
  void OnLateGrant(const admission::grant& message);
  void OnStandbyGrant(const admission::grant& message);
  void OnStandbyRefusal(const admission::refusal& message);
  void OnRefusal(const admission::refusal& message);
  void OnPreempt(const admission::preemption& message);
  void OnHead(const endpoint::answer_head& message);
  void OnChunk(const endpoint::answer_chunk& message);
  void OnEnd(const endpoint::answer_end& message);
  void OnBroken(const endpoint::answer_broken& message);
  void OnReply(const store::reply& message);

  // Slots.
  void RequestSlot();
  void SendSlotRequest();
  void UseSlot(const admission::grant& granted, base::time_point granted_at);
  void ReleaseSlot(routing::attempt_result result);
  void ReleaseUnused(const admission::grant& granted,
                     routing::attempt_result result);
  bool IsResumable() const;
  bool MayRetrySlotRequest(admission::refusal_reason reason) const;
  void SetSlotRequestTime(std::optional<base::duration> advised);

  // Claim.
  void PerformClaimStep(const claim_step& step);
  void OnClaimResult(claim_result result);
  void SendStoredAnswer(const stored_answer& answer);
  void CloseClaim(claim_state outcome, std::optional<stored_answer> answer);

  // Attempts.
  void StartAttempt(bool fresh_connection);
  endpoint::attempt MakeAttempt(const admission::grant& granted,
                                bool fresh_connection);
  bool IsCurrentAttempt(base::attempt_id attempt) const;
  void RecordProgress();
  void ActOnPieceResult(piece_result result, request_state next);
  void OnAttemptFailed(endpoint::break_kind kind,
                       bool may_have_been_sent,
                       const std::string& detail);
  void Retry(endpoint::break_kind kind);
  static routing::attempt_result ToAttemptResult(endpoint::break_kind kind);
  bool ShouldTryFreshConnection(endpoint::break_kind kind) const;
  void CancelAttempt();

  // Standby attempts.
  bool IsStandby(base::attempt_id attempt) const;
  bool MayStartStandby() const;
  void SeekStandby();
  void StartStandby(std::optional<admission::grant> granted);
  void RequestStandbySlot();
  void OnStandbyHead(const endpoint::answer_head& head);
  void OnStandbyFailed(endpoint::break_kind kind);
  void PromoteStandby(routing::attempt_result result);
  void CancelStandby();
  void DropStandby(routing::attempt_result result);
  void EndSilence();
  void WithdrawStandbyRequest();

  // Completion.
  void Complete();
  void Fail(const caller::problem& problem, routing::attempt_result result);
  void EndRequest(routing::attempt_result result);
  caller::run_outcome Outcome() const;

  // Timers.
  base::duration StallTimeout(request_state state) const;
  void RestartStallTimer();
  void OnDeadline();
  void OnStallTimeout();
  void ArmTimer();
  std::optional<base::time_point> EarliestTimer() const;

  void SendToCaller(effects pieces);
  bool IsEngine() const;

  const settings& settings_;
  id_source& ids_;
  const base::wall_time accepted_wall_;

  // Valid during Handle only.
  base::time_point now_;
  effects out_;

  request_state state_ = request_state::kNew;
  caller::request request_;
  std::unique_ptr<answer_assembler> answer_;
  std::optional<claim_session> claim_;
  bool claim_acquired_ = false;
  bool stopping_ = false;
  bool caller_is_done_ = false;  // Answered, refused or disconnected.

  std::optional<admission::grant> slot_;
  std::vector<base::replica_id> excluded_replicas_;
  // Set at a failure or preemption.
  std::optional<base::time_point> readmission_started_;

  int attempts_ = 0;                         // Preempted ones are not counted.
  bool preempted_ = false;                   // For the next slot request.
  std::optional<base::attempt_id> attempt_;  // The current one.
  bool attempt_uses_fresh_connection_ = false;
  bool fresh_connection_tried_ = false;  // For the current slot.
  bool may_have_run_ = false;            // In an attempt that has ended.
  base::time_point slot_granted_at_;
  std::optional<base::duration> time_to_first_token_;
  std::uint64_t tokens_at_grant_ = 0;  // Of the current slot.
  std::uint64_t tokens_reported_ = 0;

  struct standby_attempt {
    base::attempt_id attempt;
    /// Empty while it shares the slot of the silent attempt.
    std::optional<admission::grant> slot;
    base::time_point started;
    std::optional<endpoint::answer_head> head;
  };
  std::optional<standby_attempt> standby_;
  bool standby_slot_requested_ = false;
  /// Since when the current attempt counts as stalled.
  std::optional<base::time_point> silent_since_;

  std::optional<base::time_point> stall_deadline_;  ///< Of the standby, if any.
  std::optional<base::time_point> slot_request_at_;
  std::optional<base::time_point> armed_timer_;
};

/// Builds a machine; Build checks that every part was set.
class request_machine::builder {
 public:
  /// @param settings must outlive the machine and have passed Check.
  builder& WithSettings(const settings& settings);
  /// @param ids must outlive the machine.
  builder& WithIds(id_source& ids);
  /// @param when time of day of the request's acceptance, for stored claims.
  builder& AcceptedAt(base::wall_time when);

  /// @throws base::internal_error when a part is missing.
  request_machine Build() const;

 private:
  const settings* settings_ = nullptr;
  id_source* ids_ = nullptr;
  std::optional<base::wall_time> accepted_;
};

}  // namespace flamingoshunt::delivery

#endif  // FLAMINGOSHUNT_DELIVERY_REQUEST_MACHINE_H_
