// Defines the life of one request in the gateway: it is validated against the
// configuration, waits for a slot, is sent to a replica, and the complete
// answer is forwarded. A request that was not executed, or may be executed
// again, is retried on another replica within the budgets; a stream resumes
// after its last event. While a replica is silent a second attempt runs beside
// it, and the first of the two to make progress is kept. A node that reaches no
// replica passes its requests to a peer, once.
#ifndef FLAMINGOSHUNT_GATEWAY_SESSION_H_
#define FLAMINGOSHUNT_GATEWAY_SESSION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/entry.h"
#include "gateway/event_splitter.h"
#include "gateway/standby_attempt.h"

namespace flamingoshunt::gateway {

/// Serves one request; runs in the fiber of its connection.
class session {
 public:
  session(entry& owner, runtime::http_exchange& exchange);
  /// @param passed a peer's request, which outlives the session.
  session(entry& owner,
          runtime::http_exchange& exchange,
          const peer_request& passed);
  ~session();
  session(const session&) = delete;
  session& operator=(const session&) = delete;

  /// Returns when the caller has its answer or has disconnected.
  void Run();

  /// Checks whether the replica or peer is silent or the deadline passed.
  /// @return when to check again.
  base::time_point CheckStalls();

  /// Another node reported @p replica as stalled.
  void OnPeerSuspicion(const base::instance_id& replica);

 private:
  /// How an attempt ended. NameOf gives the names in logs and answers.
  enum class attempt_result {
    kComplete,          ///< The caller has the complete answer.
    kNotRun,            ///< The replica confirms that it did not run.
    kNotSent,           ///< No byte of the request was sent.
    kFailed,            ///< The replica answered with an error.
    kBroken,            ///< Cut off, or not a valid answer.
    kStalled,           ///< No progress for too long.
    kDeadlineExceeded,  ///< Of the caller or the route.
    kCallerGone
  };
  static const char* NameOf(attempt_result result);

  session(entry& owner,
          runtime::http_exchange& exchange,
          const peer_request* passed);

  struct stored_answer {
    runtime::http_response_head head;
    std::string body;
  };

  void EndAfterError(std::string_view why);
  void LogLateRead();
  bool Validate();
  void Serve();
  /// @return nothing if the session has ended.
  std::optional<attempt_result> AttemptHere();
  void BeginAttempt();
  attempt_result RunSteps(const grant* granted,
                          const std::function<attempt_result()>& steps);
  attempt_result SettleAttempt(attempt_result result, bool ran_before);
  void LogAttemptEnded(const grant* granted,
                       const std::optional<base::node_id>& peer,
                       attempt_result result,
                       std::int64_t unacknowledged,
                       std::string_view detail);
  std::int64_t EndConnection();
  std::optional<peer_node> ChoosePeer() const;
  bool IsCutOff() const;
  bool MayPeersKnowBetter(refusal_reason reason);
  void RefuseCutOff();
  attempt_result PassOn(const peer_node& peer);
  attempt_result SendToPeer(const peer_node& peer);
  attempt_result PassWhole(const runtime::http_response_head& head);
  base::time_point CheckPeer(base::time_point now);
  void StartStandby();
  std::optional<standby_order> MakeStandbyOrder();
  runtime::http_request WriteStandby(const standby_order& order) const;
  void DeclineStandby(std::string_view reason);
  void OnStandbySettled(standby_attempt& settled);
  void CheckStandby(base::time_point now);
  std::shared_ptr<standby_attempt> FindReadyStandby() const;
  void KeepAttempt();
  void DropStandbys(std::string_view reason);
  void ForgetStandby(const standby_attempt& ended, std::string_view how);
  static attempt_result ResultOf(standby_state failure);
  attempt_result TakeStandby();
  attempt_result RunAttempt(const grant& granted);
  attempt_result SendAttempt(const grant& granted);
  bool IsStray(const answer_head& answer) const;
  attempt_result ReadAnswer(const grant& granted);
  /// @param granted null if a peer sends the events.
  /// @param bytes    of the body that were read already.
  attempt_result RelayEvents(const grant* granted,
                             const runtime::http_response_head& head,
                             std::string bytes = {});
  void RecordEvent(const grant& granted, base::time_point now);
  void DiscardBody();
  bool CrashesReplicas() const;
  bool TakeTrial();
  bool EndIfCrashing();
  void ReportCrash(const grant& granted, bool closed_by_replica);
  void ReportStandbyCrash(const standby_attempt& failed);
  attempt_head MakeAttemptHead(const base::instance_id& replica) const;
  peer_request MakePeerRequest() const;
  bool ReadMore(std::string& out);
  attempt_result BufferAnswer(const runtime::http_response_head& head);
  attempt_result RelayLarge(const runtime::http_response_head& head,
                            std::string first);
  bool MayRetry(attempt_result result);
  void LogNotRetried(attempt_result result, std::string_view reason);
  void Finish(attempt_result result);
  void Refuse(int status,
              std::string_view reason,
              std::optional<base::duration> retry_after);
  void SendOutcomeUnknown(attempt_result result);
  void SendStoredFailure();
  /// Refuses a request that no replica has run.
  void RefuseNotRun(attempt_result result);
  slot_request MakeSlotRequest() const;
  base::duration RemainingTime() const;
  base::duration StallTimeout() const;
  bool FailoverHelps(base::duration inactivity) const;
  void AbandonAttempt();
  bool CanFailOver() const;
  std::string PoolKey() const;
  void LogDone(std::string_view outcome, int status);
  bool IsOnTime() const;
  void CountOutcome(request_outcome outcome);

  entry& entry_;
  runtime::http_exchange& exchange_;
  const peer_request* passed_;  ///< Null for a caller's own request.
  const runtime::http_request& request_;
  caller_head head_;
  const route* route_ = nullptr;
  configuration_ptr configuration_;
  std::string service_;
  base::workspace_id workspace_;
  int priority_ = 0;
  request_identity identity_;
  /// Runs although it is refused, to find out whether it still crashes
  /// replicas.
  bool is_trial_ = false;
  base::time_point received_at_;
  base::time_point arrived_at_;  ///< At the first node.
  base::time_point deadline_;
  runtime::fiber_signal signal_;
  bool caller_gone_ = false;
  std::unique_ptr<runtime::http_connection> upstream_;
  std::optional<base::instance_id>
      current_replica_;                        ///< Of the current attempt.
  std::optional<base::node_id> current_peer_;  ///< Of the current attempt.
  bool replica_stalled_ = false;               ///< In the current attempt.
  /// The connection of the current attempt had carried another request.
  bool connection_was_used_ = false;
  bool attempt_has_head_ = false;   ///< Of an answer; in the current attempt.
  bool attempt_has_event_ = false;  ///< In the current attempt.
  bool stall_reported_ = false;     ///< Since the last event.
  work_estimate expected_;          ///< Of the current attempt.
  base::time_point attempt_started_at_;
  base::time_point last_progress_at_;
  base::duration first_event_delay_{};
  base::time_point last_event_at_;  ///< Across all attempts.
  base::duration longest_gap_{};
  int status_ = 200;                  ///< Of the forwarded answer.
  std::optional<double> rate_limit_;  ///< Named by the last replica.
  std::vector<base::instance_id> tried_replicas_;
  std::vector<base::node_id> tried_peers_;
  int failed_connections_ = 0;
  /// This node knows no replica and doubts that it reaches any.
  bool doubtful_refusal_ = false;
  int attempts_sent_ = 0;  ///< Attempts that sent the request or may soon.
  bool may_have_run_ = false;
  /// A second attempt, kept or not, may have run.
  bool standby_may_have_run_ = false;
  bool response_started_ = false;  ///< The caller has the head.
  event_splitter splitter_;
  std::optional<stored_answer>
      stored_failure_;  ///< Sent if no attempt succeeds.
  /// Run beside the current attempt, or go on when that has ended; the latest
  /// is the last one.
  std::vector<std::shared_ptr<standby_attempt>> standbys_;
  runtime::fiber_signal standby_changed_;
  bool awaits_standby_ = false;  ///< The first attempt has ended.
  standby_state standby_failure_ =
      standby_state::kBroken;  ///< Of the last one.
  base::time_point next_standby_at_{};
  std::string_view standby_declined_;  ///< Reason; in the current attempt.
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_SESSION_H_
