// Defines an I/O thread: it listens for callers, runs the session of each of
// their requests and the attempts at endpoints, each in a fiber, and talks to
// the dispatch and platform threads by channels.
#ifndef FLAMINGOSHUNT_DAEMON_IO_THREAD_H_
#define FLAMINGOSHUNT_DAEMON_IO_THREAD_H_

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "catalogue/entry.h"
#include "daemon/attempt_runner.h"
#include "daemon/dispatch_messages.h"
#include "daemon/request_session.h"
#include "duty/duty_thread.h"
#include "duty/outbox.h"
#include "runtime/http_server.h"

namespace flamingoshunt::daemon {

struct io_thread_options {
  int index = 0;
  std::string address;
  runtime::http_server_options server;
  delivery::settings delivery;
  attempt_options attempts;
  std::size_t max_requests = 8192;
  std::size_t max_answer_bytes = std::size_t{64} << 20;
  std::string unique_prefix;
  std::uint64_t seed = 0;
};

class io_thread final : private session_host {
 public:
  io_thread(io_thread_options options,
            const base::clock& clock,
            request_metrics& metrics,
            telemetry::span_ring& spans);
  ~io_thread() override;

  duty::duty_thread& thread() { return thread_; }
  std::string address() const { return server_->address(); }

  // Wiring; before Start.
  duty::channel<dispatch_answer>& answers() { return answers_; }
  duty::channel<store::reply>& platform_replies() { return replies_; }
  duty::channel<catalogue::snapshot_ptr>& catalogues() { return catalogues_; }
  void ConnectDispatch(duty::channel<dispatch_request>& requests);
  void ConnectPlatform(duty::channel<store::call>& calls);

  /// @param ready whether /health/ready says so; shared by all threads.
  void Start(const std::atomic<bool>& ready);

  /// Begins the graceful stop; callable from any thread.
  void BeginStop();

  /// @return whether, after BeginStop, nothing was left to do when last looked;
  ///         each call makes the thread look again. Callable from any thread.
  bool idle();

 private:
  // session_host:
  void Ask(request_session& session,
           const admission::slot_request& ask) override;
  void Withdraw(const admission::withdrawal& withdraw) override;
  void Release(const admission::release& release) override;
  void Progress(const admission::progress& progress) override;
  void StartAttempt(request_session& session,
                    endpoint::attempt attempt) override;
  void CancelAttempt(base::attempt_id id) override;
  void CallPlatform(request_session& session, const store::call& call) override;
  void Forget(request_session& session) override;

  void Handle(runtime::http_exchange& exchange);
  void HandleHealth(runtime::http_exchange& exchange, std::string_view path);
  void HandleRequest(runtime::http_exchange& exchange);
  void TakeAnswer(dispatch_answer&& answer);
  void GiveBack(const admission::grant& grant);
  void NoteIdle();
  void RecordAttempt(const telemetry::span& span, const answer_event& event);

  io_thread_options options_;
  const base::clock& clock_;
  duty::duty_thread thread_;
  delivery::id_source ids_;
  base::random_engine random_;
  session_services services_;
  attempt_runner attempts_;
  std::unique_ptr<runtime::http_server> server_;
  duty::channel<dispatch_answer> answers_;
  duty::channel<store::reply> replies_;
  duty::channel<catalogue::snapshot_ptr> catalogues_;
  std::optional<duty::outbox<dispatch_request>> dispatch_;
  std::optional<duty::outbox<store::call>> platform_;
  catalogue::snapshot_ptr catalogue_;
  std::unordered_map<base::request_id, std::shared_ptr<request_session>>
      sessions_;
  std::unordered_map<store::call_id, base::request_id> calls_;
  const std::atomic<bool>* ready_ = nullptr;
  bool stopping_ = false;
  std::atomic<bool> idle_{false};
};

}  // namespace flamingoshunt::daemon

#endif  // FLAMINGOSHUNT_DAEMON_IO_THREAD_H_
