// How a node learns which replicas are cold, and what follows.
#include <algorithm>

#include "base/milliseconds.h"
#include "daemon/fleet_duty.h"
#include "telemetry/log.h"

namespace flamingoshunt::daemon {
namespace {

using std::chrono::milliseconds;

// Beyond a heartbeat and the wait between two polls: the poll itself, and the
// heartbeats' variation.
constexpr milliseconds kEntryMargin{300};
// Cold replicas are slow by an unknown factor. This much, loaded warm ones are
// preferred, and a slow first event is no stall.
constexpr double kColdTimeFactor = 2;

}  // namespace

void fleet_duty::TakeColdTime(const fleet::replica& entry) {
  if (!cold_periods_.OnListed(entry, clock_.Now()))
    return;
  telemetry::LogChange(
      "fleet", "replica_cold",
      {{"instance", entry.id.str()},
       {"failure_domain", entry.failure_domain.str()},
       {"cold_ms", base::WholeMilliseconds(entry.cold_remaining)},
       {"source", "list"}});
  if (NamesColdReplicas())
    outbox_.RequestChanges();
}

// Nodes that poll the list often inform the others.
bool fleet_duty::NamesColdReplicas() const {
  return !relays_.in_use() || InformsOthers();
}

void fleet_duty::TakePeerCold(const fleet::peer_status& news) {
  const auto now = clock_.Now();
  for (const fleet::cold_report& each : news.cold) {
    if (!replicas_.replicas().contains(each.replica) ||
        !cold_periods_.OnPeerReport(each, now))
      continue;
    telemetry::LogChange("fleet", "replica_cold",
                         {{"instance", each.replica.str()},
                          {"cold_ms", base::WholeMilliseconds(each.remaining)},
                          {"source", news.node.str()}});
    view_due_ = true;
  }
}

base::duration fleet_duty::EntryDelay() const {
  return settings_.gateway->replica_heartbeat + poll_delays_.replicas +
         kEntryMargin;
}

void fleet_duty::MarkCold(const gateway::service& service,
                          std::vector<gateway::target>& targets) {
  const auto now = clock_.Now();
  for (gateway::target& target : targets) {
    if (service.cold_requests_per_second <= 0 || target.cold_until <= now) {
      target.cold_until = {};
      continue;
    }
    target.time_factor *= kColdTimeFactor;
    next_view_ = std::min(next_view_, target.cold_until);
  }
}

// Until the store has listed the nodes, this one doesn't know its part of what
// a cold replica tolerates.
void fleet_duty::UpdateFleetSize() {
  if (!fleet_listed_ && fleet_size_.largest() == 0)
    return;
  if (fleet_size_.Update(std::max(nodes_.size(), live_nodes_), clock_.Now()))
    view_due_ = true;
}

}  // namespace flamingoshunt::daemon
