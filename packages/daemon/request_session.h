// Defines the session of one request on its I/O thread: it feeds the request
// machine with what admission, the endpoint, the platform, the timer and the
// caller's connection bring, and performs the machine's effects in order.
#ifndef FLAMINGOSHUNT_DAEMON_REQUEST_SESSION_H_
#define FLAMINGOSHUNT_DAEMON_REQUEST_SESSION_H_

#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "caller/messages.h"
#include "daemon/answer_writer.h"
#include "daemon/request_metrics.h"
#include "delivery/request_machine.h"
#include "duty/timer.h"
#include "runtime/fiber_wait.h"
#include "telemetry/span.h"
#include "telemetry/span_ring.h"

namespace flamingoshunt::daemon {

class request_session;

/// What a session needs from its I/O thread.
class session_host {
 public:
  virtual ~session_host() = default;
  virtual void Ask(request_session& session,
                   const admission::slot_request& ask) = 0;
  virtual void Withdraw(const admission::withdrawal& withdraw) = 0;
  virtual void Release(const admission::release& release) = 0;
  virtual void Progress(const admission::progress& progress) = 0;
  virtual void StartAttempt(request_session& session,
                            endpoint::attempt attempt) = 0;
  virtual void CancelAttempt(base::attempt_id id) = 0;
  virtual void CallPlatform(request_session& session,
                            const store::call& call) = 0;
  /// The session will take no more inputs.
  virtual void Forget(request_session& session) = 0;
};

/// Shared by the sessions of one I/O thread.
struct session_services {
  boost::asio::io_context& loop;
  const base::clock& clock;
  const delivery::settings& settings;
  delivery::id_source& ids;
  base::random_engine& random;
  request_metrics& metrics;
  telemetry::span_ring& spans;
  std::size_t max_answer_bytes;
};

class request_session : public std::enable_shared_from_this<request_session> {
 public:
  request_session(session_host& host,
                  session_services& services,
                  caller::request request);

  /// Serves the caller: returns when the caller has its answer or is gone. What
  /// is left to do then (closing a claim) goes on in a fiber of its own.
  void Serve(runtime::http_exchange& exchange, const std::string& echoed_id);

  /// Feeds one input; never suspends.
  void Push(delivery::input message) { inputs_.Push(std::move(message)); }

  /// Feeds a piece of an answer; suspends while the caller is slow to take
  /// what came before.
  void PushAnswer(delivery::input message);

  const base::request_id& id() const { return request_.id; }

 private:
  friend struct effect_performer;

  void Step(delivery::input message);
  void FinishDetached();
  void StartTrace();
  void RecordSpan();
  void NoteChunk(const delivery::send_chunk& chunk);
  void NoteProblem(const caller::problem& problem);
  bool caller_done() const { return caller_done_; }

  session_host& host_;
  session_services& services_;
  caller::request request_;
  delivery::request_machine machine_;
  runtime::fiber_queue<delivery::input> inputs_;
  runtime::fiber_event taken_;
  duty::timer timer_;
  std::unique_ptr<answer_writer> writer_;
  bool caller_done_ = false;
  telemetry::span span_;
  base::time_point accepted_;
  std::optional<base::time_point> last_chunk_;
};

}  // namespace flamingoshunt::daemon

#endif  // FLAMINGOSHUNT_DAEMON_REQUEST_SESSION_H_
