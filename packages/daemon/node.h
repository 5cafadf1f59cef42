// Defines one entry instance: all duties of the process, wired by channels,
// with one start and one graceful stop.
#ifndef FLAMINGOSHUNT_DAEMON_NODE_H_
#define FLAMINGOSHUNT_DAEMON_NODE_H_

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "daemon/admin_duty.h"
#include "daemon/catalogue_duty.h"
#include "daemon/dispatch_duty.h"
#include "daemon/housekeeping_duty.h"
#include "daemon/io_thread.h"
#include "daemon/membership_duty.h"
#include "daemon/platform_duty.h"
#include "daemon/replica_duty.h"
#include "settings/settings.h"
#include "telemetry/counters.h"

namespace flamingoshunt::daemon {

class node {
 public:
  /// Listens at once. @param seed makes ids and random choices unique to this
  /// start of the process.
  /// @throws base::user_error when an address can't be listened on.
  node(const settings::daemon_settings& settings,
       const base::clock& clock,
       std::uint64_t seed);

  void Start();

  /// Turns readiness off, refuses new work, lets work in flight complete within
  /// the drain bound, then ends.
  /// @return whether everything completed within the bound.
  bool StopGracefully();

  std::string caller_address() const { return io_.front()->address(); }
  std::string peer_address() const { return membership_.address(); }
  std::string admin_address() const { return admin_.address(); }

 private:
  void Wire();
  bool AllIdle() const;

  settings::daemon_settings settings_;
  const base::clock& clock_;
  const std::uint64_t incarnation_;
  telemetry::metric_registry metrics_;
  telemetry::span_ring spans_;
  request_metrics request_metrics_;
  std::atomic<bool> ready_{false};
  platform_duty platform_;
  membership_duty membership_;
  catalogue_duty catalogue_;
  replica_duty replicas_;
  dispatch_duty dispatch_;
  housekeeping_duty housekeeping_;
  std::vector<std::unique_ptr<io_thread>> io_;
  admin_duty admin_;
};

}  // namespace flamingoshunt::daemon

#endif  // FLAMINGOSHUNT_DAEMON_NODE_H_
