// Defines the entry duty of a gateway: the I/O thread that serves callers and
// the balancer's questions, with the line and the placement on the same thread,
// since every decision needs what the streams just showed.
#ifndef FLAMINGOSHUNT_DAEMON_ENTRY_DUTY_H_
#define FLAMINGOSHUNT_DAEMON_ENTRY_DUTY_H_

#include <array>
#include <atomic>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "daemon/status_link.h"
#include "duty/channel.h"
#include "duty/duty_thread.h"
#include "duty/outbox.h"
#include "gateway/entry.h"
#include "runtime/http_server.h"

namespace flamingoshunt::daemon {

struct entry_duty_options {
  std::string caller_address;
  std::string ready_address;
  std::string passed_address;  ///< For requests of peers; empty for none.
  runtime::http_server_options server;
  gateway::dispatcher_options dispatcher;
  /// What callers make the process hold, and what the internal ports do:
  /// requests of peers and the balancer's questions.
  runtime::budget_bounds caller_bounds;
  runtime::budget_bounds internal_bounds;
  std::uint64_t seed = 0;
};

class entry_duty {
 public:
  entry_duty(entry_duty_options options,
             const base::clock& clock,
             const gateway::protocol& wire,
             gateway::metrics& metrics);
  ~entry_duty();

  std::string caller_address() const { return callers_->address(); }
  std::string ready_address() const { return questions_->address(); }
  /// @return where peers send requests; empty if this node takes none.
  std::string passed_address() const {
    return passed_ ? passed_->address() : "";
  }

  // Wiring; before Start.
  duty::channel<gateway::fleet_update>& updates() { return updates_; }
  void ConnectFleet(duty::channel<gateway::entry_update>& news);

  boost::asio::io_context& loop() { return thread_.loop(); }

  /// Answers a status query; on this duty's thread.
  boost::json::value Answer(const status_query& query) const;

  void Start();

  /// Says "not ready" from now on and asks callers for new connections; from
  /// any thread.
  void BeginStop();

  /// Closes idle connections and takes no new ones; from any thread.
  void StopAccepting();

  /// @return whether no request was under way when last looked; each call makes
  ///         the thread look again. From any thread.
  bool idle();

 private:
  void TakeUpdate(const gateway::fleet_update& update);
  void AnswerReady(runtime::http_exchange& exchange);
  void TellLoop();
  /// @param delay how late a timer of the I/O thread fired.
  void RecordLoopDelay(base::duration delay);
  void SetLimits(const gateway::caller_limits& limits);
  runtime::http_server_options PassedOptions() const;
  void OnBoundEvent(runtime::bound_event event);
  void LogBoundEvents();

  entry_duty_options options_;
  const base::clock& clock_;
  gateway::metrics& metrics_;
  duty::duty_thread thread_;
  gateway::entry entry_;
  std::unique_ptr<runtime::http_server> callers_;
  std::unique_ptr<runtime::http_server> questions_;
  std::unique_ptr<runtime::http_server> passed_;  ///< Null if there is none.
  duty::channel<gateway::fleet_update> updates_;
  std::optional<duty::outbox<gateway::entry_update>> news_;
  gateway::caller_limits limits_;
  std::array<std::uint64_t, runtime::kBoundEvents> new_bound_events_{};
  base::time_point bound_events_logged_at_{};
  bool configured_ = false;
  bool stopping_ = false;
  std::atomic<bool> idle_{false};
};

}  // namespace flamingoshunt::daemon

#endif  // FLAMINGOSHUNT_DAEMON_ENTRY_DUTY_H_
