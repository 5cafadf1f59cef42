// Defines the dispatch duty: the thread that owns the admission machine with
// its router, and answers the I/O threads' asks for places.
#ifndef FLAMINGOSHUNT_DAEMON_DISPATCH_DUTY_H_
#define FLAMINGOSHUNT_DAEMON_DISPATCH_DUTY_H_

#include <boost/json.hpp>

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "admission/controller.h"
#include "base/clock.h"
#include "daemon/control_messages.h"
#include "daemon/dispatch_messages.h"
#include "daemon/duty_metrics.h"
#include "daemon/status_link.h"
#include "duty/duty_thread.h"
#include "duty/outbox.h"
#include "duty/timer.h"

namespace flamingoshunt::daemon {

class dispatch_duty {
 public:
  dispatch_duty(admission::controller machine,
                telemetry::metric_registry& metrics,
                const base::clock& clock);

  /// Adds an I/O thread; before Start only.
  /// @return the channel for its requests.
  duty::channel<dispatch_request>& Link(
      duty::channel<dispatch_answer>& answers);

  duty::channel<catalogue_update>& catalogues() { return catalogues_; }
  duty::channel<replica_news>& replicas() { return replicas_; }
  duty::channel<peer_news>& peers() { return peers_; }
  duty::channel<admission::limit_roster>& rosters() { return rosters_; }
  void ConnectPeers(duty::channel<membership::publish>& publications);
  /// Failures seen at first hand go to the replica duty.
  void ConnectReplicas(duty::channel<replica::replica_failed>& failures);

  void Start() { thread_.Start(); }
  void Stop() { thread_.Stop(); }
  boost::asio::io_context& loop() { return thread_.loop(); }

  /// Answers the admin thread; on this duty's thread.
  boost::json::value Answer(const status_query& query);

 private:
  struct io_link {
    std::unique_ptr<duty::channel<dispatch_request>> requests;
    std::unique_ptr<duty::outbox<dispatch_answer>> answers;
  };

  struct asker {
    std::size_t link = 0;  ///< Its I/O thread.
    int slots = 0;
    bool is_waiting = false;
  };

  void Take(std::size_t link, dispatch_request&& request);
  void NoteRequest(std::size_t link, const base::request_id& request);
  void NoteAnswer(const base::request_id& request, int slots);
  void ForgetUnused(const base::request_id& request);
  void NoteRelease(const routing::attempt_finished& finished);
  void Feed(const admission::input& input);
  void Reply(const base::request_id& request, dispatch_answer answer);
  boost::json::array QuarantineJson();

  const base::clock& clock_;
  duty::duty_thread thread_;
  admission::controller machine_;
  dispatch_metrics metrics_;
  duty::timer timer_;
  std::vector<io_link> links_;
  /// The requests that wait for a slot or hold slots; one may do both.
  std::unordered_map<base::request_id, asker> asked_by_;
  duty::channel<catalogue_update> catalogues_;
  duty::channel<replica_news> replicas_;
  duty::channel<peer_news> peers_;
  duty::channel<admission::limit_roster> rosters_;
  std::optional<duty::outbox<membership::publish>> publications_;
  std::optional<duty::outbox<replica::replica_failed>> failures_;
};

}  // namespace flamingoshunt::daemon

#endif  // FLAMINGOSHUNT_DAEMON_DISPATCH_DUTY_H_
