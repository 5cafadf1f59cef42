// Defines the housekeeping duty: the thread for slow work on shared platform
// objects, of which one node at a time does most: the roster of nodes that
// share the fleet-wide limits, and the sweep of expired claims.
#ifndef FLAMINGOSHUNT_DAEMON_HOUSEKEEPING_DUTY_H_
#define FLAMINGOSHUNT_DAEMON_HOUSEKEEPING_DUTY_H_

#include <boost/json.hpp>

#include <optional>
#include <string>

#include "admission/roster_keeper.h"
#include "base/clock.h"
#include "daemon/control_messages.h"
#include "daemon/platform_duty.h"
#include "daemon/status_link.h"
#include "delivery/claim_sweeper.h"
#include "duty/duty_thread.h"
#include "duty/outbox.h"
#include "duty/timer.h"

namespace flamingoshunt::daemon {

class housekeeping_duty {
 public:
  /// @param self this process as the limit roster is to list it.
  /// @param unique_prefix for the ids of platform calls.
  housekeeping_duty(admission::limit_roster::member self,
                    std::string unique_prefix,
                    const base::clock& clock);

  duty::channel<platform_delivery>& platform() { return platform_news_; }
  duty::channel<peer_news>& peers() { return peers_; }
  void ConnectPlatform(duty::channel<store::call>& calls);
  void ConnectPeers(duty::channel<membership::publish>& publications);
  void ConnectDispatch(duty::channel<admission::limit_roster>& rosters);

  void Start();
  void Stop() { thread_.Stop(); }
  boost::asio::io_context& loop() { return thread_.loop(); }

  /// Answers the admin thread; on this duty's thread.
  boost::json::value Answer(const status_query& query);

 private:
  void TakePlatformNews(const platform_delivery& news);
  void TakePeerNews(const peer_news& news);
  void PerformRoster(const admission::roster_effects& effects);
  void Sweep();
  bool LeadsSweep(const membership::peers_changed& changed) const;

  const base::clock& clock_;
  base::node_id self_;
  duty::duty_thread thread_;
  admission::roster_keeper roster_;
  delivery::id_source ids_;
  delivery::claim_sweeper sweeper_;
  duty::timer roster_timer_;
  duty::timer sweep_timer_;
  duty::channel<platform_delivery> platform_news_;
  duty::channel<peer_news> peers_;
  std::optional<duty::outbox<store::call>> calls_;
  std::optional<duty::outbox<membership::publish>> publications_;
  std::optional<duty::outbox<admission::limit_roster>> rosters_;
};

}  // namespace flamingoshunt::daemon

#endif  // FLAMINGOSHUNT_DAEMON_HOUSEKEEPING_DUTY_H_
