// Defines the life of one request in the gateway: it is checked against the
// configuration, waits for a place, is sent to a replica, and its answer is
// passed on whole. What failed before it ran, or may run again, goes to another
// replica within the budgets; a stream continues where it broke off.
#ifndef FLAMINGOSHUNT_GATEWAY_SESSION_H_
#define FLAMINGOSHUNT_GATEWAY_SESSION_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/entry.h"
#include "gateway/event_splitter.h"

namespace flamingoshunt::gateway {

class session {
 public:
  session(entry& owner, runtime::http_exchange& exchange);

  /// Returns when the caller has its answer or is gone.
  void Run();

  /// Looks whether the replica of a stream stands still, or its time is over.
  /// @return when to look again.
  base::time_point CheckStalls();

  /// Another node saw @p replica stand still.
  void OnPeerSuspicion(const base::instance_id& replica);

 private:
  /// How an attempt ended.
  enum class attempt_result {
    kComplete,          ///< The caller has the replica's whole answer.
    kNotRun,            ///< The replica vouches that it did not run.
    kNotSent,           ///< No byte of the request left.
    kFailed,            ///< The replica answered with a failure of its own.
    kBroken,            ///< Cut off, or not an answer.
    kStalled,           ///< Silent for too long.
    kDeadlineExceeded,  ///< The caller's or the route's time is over.
    kCallerGone
  };
  static const char* NameOf(attempt_result result);

  struct stored_answer {
    runtime::http_response_head head;
    std::string body;
  };

  bool Validate();
  void Serve();
  attempt_result RunAttempt(const grant& granted);
  attempt_result SendAttempt(const grant& granted);
  attempt_result ReadAnswer(const grant& granted);
  attempt_result RelayEvents(const grant& granted,
                             const runtime::http_response_head& head);
  attempt_result BufferAnswer(const runtime::http_response_head& head);
  attempt_result RelayLarge(const runtime::http_response_head& head,
                            std::string first);
  bool MayRetry(attempt_result result, const grant& granted);
  void Finish(attempt_result result);
  void Refuse(int status,
              std::string_view reason,
              std::optional<base::duration> retry_after);
  void SendOutcomeUnknown(attempt_result result);
  void SendStoredFailure();
  slot_request MakeSlotRequest() const;
  base::duration RemainingTime() const;
  base::duration AnswerTimeout() const;
  base::duration StallTimeout() const;
  bool FailoverHelps(base::duration inactivity) const;
  void AbandonAttempt();
  bool CanFailOver() const;
  std::string PoolKey() const;
  void LogDone(std::string_view outcome, int status);

  entry& entry_;
  runtime::http_exchange& exchange_;
  caller_head head_;
  const route* route_ = nullptr;
  configuration_ptr configuration_;
  std::string service_;
  base::workspace_id workspace_;
  int priority_ = 0;
  base::fingerprint fingerprint_;
  base::time_point arrived_at_;
  base::time_point deadline_;
  runtime::fiber_signal signal_;
  bool caller_gone_ = false;
  std::unique_ptr<runtime::http_connection> upstream_;
  std::optional<base::instance_id>
      current_replica_;           ///< Where the current attempt runs.
  bool replica_stalled_ = false;  ///< The replica of this attempt stands still.
  bool attempt_has_event_ = false;  ///< This attempt had an event.
  bool stall_reported_ = false;  ///< Its silence was told since the last event.
  work_estimate expected_;       ///< Of this attempt.
  base::time_point last_progress_at_;
  base::duration first_event_delay_{};
  base::time_point last_event_at_;  ///< Of the whole stream.
  base::duration longest_gap_{};
  int status_ = 200;  ///< Of the answer passed on.
  std::vector<base::instance_id> tried_replicas_;
  int attempts_sent_ = 0;  ///< Replicas that the request was sent to.
  bool may_have_run_ = false;
  bool response_started_ = false;  ///< The caller has the head of a stream.
  event_splitter splitter_;
  std::optional<stored_answer>
      stored_failure_;  ///< A replica's failure, for want of better.
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_SESSION_H_
