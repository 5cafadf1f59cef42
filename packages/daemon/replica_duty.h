// Defines the replica duty: the thread that owns the replica machine, asks
// instances for reports, sends them orders, and tells the dispatch thread which
// replicas may take new work.
#ifndef FLAMINGOSHUNT_DAEMON_REPLICA_DUTY_H_
#define FLAMINGOSHUNT_DAEMON_REPLICA_DUTY_H_

#include <boost/json.hpp>

#include <map>
#include <optional>

#include "base/clock.h"
#include "daemon/control_messages.h"
#include "daemon/duty_metrics.h"
#include "daemon/endpoint_control.h"
#include "daemon/kind_sync.h"
#include "daemon/platform_duty.h"
#include "daemon/status_link.h"
#include "duty/duty_thread.h"
#include "duty/outbox.h"
#include "duty/timer.h"
#include "replica/machine.h"

namespace flamingoshunt::daemon {

class replica_duty {
 public:
  replica_duty(const replica::settings& settings,
               base::node_id self,
               telemetry::metric_registry& metrics,
               const base::clock& clock,
               std::uint64_t seed);

  duty::channel<platform_delivery>& platform() { return platform_news_; }
  duty::channel<catalogue_update>& catalogues() { return catalogues_; }
  duty::channel<peer_news>& peers() { return peers_; }
  duty::channel<replica::replica_failed>& failures() { return failures_; }
  void ConnectPlatform(duty::channel<store::call>& calls);
  void ConnectDispatch(duty::channel<replica_news>& news);
  void ConnectPeers(duty::channel<membership::publish>& publications);

  void Start();
  void Stop() { thread_.Stop(); }
  boost::asio::io_context& loop() { return thread_.loop(); }

  /// Answers the admin thread; on this duty's thread.
  boost::json::value Answer(const status_query& query);

 private:
  template <class Input>
  void Feed(const Input& input) {
    Perform(machine_.Handle(input, clock_.Now()));
  }
  void Perform(replica::effects effects);
  void TakeEvent(const store::watch_event& event);
  void TakeInstance(const store::watch_event& event);
  void TakeAllocation(const store::watch_event& event);
  void TakeDrain(const store::watch_event& event);
  void NoteServing(const replica::serving_replica& replica);

  const base::clock& clock_;
  duty::duty_thread thread_;
  replica::machine machine_;
  replica_metrics metrics_;
  endpoint_control endpoints_;
  duty::timer timer_;
  duty::channel<platform_delivery> platform_news_;
  duty::channel<catalogue_update> catalogues_;
  duty::channel<peer_news> peers_;
  duty::channel<replica::replica_failed> failures_;
  std::optional<duty::outbox<store::call>> calls_;
  std::optional<duty::outbox<replica_news>> news_;
  std::optional<duty::outbox<membership::publish>> publications_;
  kind_sync instances_;
  kind_sync allocations_;
  kind_sync drains_;
  std::map<base::instance_id, endpoint::instance> listed_;
  std::map<base::replica_id, replica::serving_replica> serving_;
  std::uint64_t malformed_ = 0;
};

}  // namespace flamingoshunt::daemon

#endif  // FLAMINGOSHUNT_DAEMON_REPLICA_DUTY_H_
