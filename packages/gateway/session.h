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
  session(entry& host, runtime::http_exchange& exchange);

  /// Returns when the caller has its answer or is gone.
  void Run();

  /// Looks whether the replica of a stream stands still, or its time is over.
  /// @return when to look again.
  base::time_point CheckSilence();

  /// Another node saw @p replica stand still.
  void PeerSuspects(const base::instance_id& replica);

 private:
  /// How an attempt ended.
  enum class ending {
    kComplete,   ///< The caller has the replica's whole answer.
    kNotRun,     ///< The replica vouches that it did not run.
    kNotSent,    ///< No byte of the request left.
    kFailed,     ///< The replica answered with a failure of its own.
    kBroken,     ///< Cut off, or not an answer.
    kStalled,    ///< Silent for too long.
    kOutOfTime,  ///< The caller's or the route's time is over.
    kCallerGone
  };
  static const char* NameOf(ending how);

  struct kept_answer {
    runtime::http_response_head head;
    std::string body;
  };

  bool Check();
  void Serve();
  ending Attempt(const grant& granted);
  ending Exchange(const grant& granted);
  ending TakeAnswer(const grant& granted);
  ending RelayEvents(const grant& granted,
                     const runtime::http_response_head& head);
  ending BufferAnswer(const runtime::http_response_head& head);
  ending RelayLarge(const runtime::http_response_head& head, std::string first);
  bool MayGoOn(ending how, const grant& granted);
  void Finish(ending how);
  void Refuse(int status,
              std::string_view reason,
              std::optional<base::duration> retry_after);
  void GiveUp(ending how);
  void SendKept();
  ask MakeAsk() const;
  base::duration Left() const;
  base::duration AnswerBound() const;
  base::duration SilenceBound() const;
  bool MovingHelps(base::duration silence) const;
  void MoveOn();
  bool OthersCouldTakeOver() const;
  std::string Pool() const;
  void LogDone(std::string_view outcome, int status);

  entry& host_;
  runtime::http_exchange& exchange_;
  caller_head head_;
  const route* route_ = nullptr;
  configuration_ptr configuration_;
  std::string service_;
  base::workspace_id workspace_;
  int priority_ = 0;
  base::fingerprint fingerprint_;
  base::time_point arrived_;
  base::time_point give_up_at_;
  runtime::fiber_signal signal_;
  bool caller_gone_ = false;
  std::unique_ptr<runtime::http_connection> upstream_;
  std::optional<base::instance_id> at_;  ///< Where the current attempt runs.
  bool suspected_ = false;  ///< The replica of this attempt stands still.
  bool begun_ = false;      ///< This attempt had an event.
  bool reported_ = false;   ///< Its silence was told since the last event.
  work_estimate expected_;  ///< Of this attempt.
  base::time_point last_heard_;
  base::duration first_event_{};
  base::time_point last_event_;  ///< Of the whole stream.
  base::duration longest_gap_{};
  int status_ = 200;  ///< Of the answer passed on.
  std::vector<base::instance_id> tried_;
  int sent_ = 0;  ///< Replicas that the request was sent to.
  bool may_have_run_ = false;
  bool started_ = false;  ///< The caller has the head of a stream.
  event_splitter events_;
  std::optional<kept_answer>
      kept_;  ///< A replica's failure, for want of better.
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_SESSION_H_
