// Defines one gateway process: the entry, fleet, platform and admin duties,
// wired by channels, with one start, a reload and one graceful stop.
#ifndef FLAMINGOSHUNT_DAEMON_GATEWAY_NODE_H_
#define FLAMINGOSHUNT_DAEMON_GATEWAY_NODE_H_

#include <atomic>

#include "base/clock.h"
#include "daemon/admin_duty.h"
#include "daemon/entry_duty.h"
#include "daemon/fleet_duty.h"
#include "daemon/platform_duty.h"
#include "gateway/metrics.h"
#include "settings/settings.h"
#include "telemetry/counters.h"

namespace flamingoshunt::daemon {

class gateway_node {
 public:
  /// Listens at once. @throws base::user_error when an address can't be
  /// listened on.
  /// @param make_port carries the calls to the platform's store.
  gateway_node(const settings::daemon_settings& settings,
               const fleet::deployment& deployment,
               const gateway::protocol& protocol,
               const port_factory& make_port,
               const base::clock& clock,
               std::uint64_t seed);

  void Start();

  /// Turns readiness off, goes on serving until the balancer has noticed, then
  /// completes what runs within the grace time.
  /// @return whether everything completed.
  bool StopGracefully();

  const telemetry::metric_registry& metrics() const { return registry_; }

  std::string caller_address() const { return entry_.caller_address(); }
  std::string ready_address() const { return entry_.ready_address(); }

 private:
  settings::daemon_settings settings_;
  const base::clock& clock_;
  telemetry::metric_registry registry_;
  telemetry::span_ring spans_;
  gateway::metrics metrics_;
  std::atomic<bool> ready_{false};
  platform_duty platform_;
  fleet_duty fleet_;
  entry_duty entry_;
  admin_duty admin_;
};

}  // namespace flamingoshunt::daemon

#endif  // FLAMINGOSHUNT_DAEMON_GATEWAY_NODE_H_
