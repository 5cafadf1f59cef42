// Defines the settings of the replica subsystem and the builder that validates
// them.
#ifndef FLAMINGOSHUNT_REPLICA_SETTINGS_H_
#define FLAMINGOSHUNT_REPLICA_SETTINGS_H_

#include <chrono>

#include "base/clock.h"
#include "base/errors.h"

namespace flamingoshunt::replica {

/// Thrown when a setting is outside its range.
class settings_error : public base::user_error {
 public:
  using base::user_error::user_error;
};

struct settings {
  /// Interval between two queries to one instance.
  base::duration report_period = std::chrono::milliseconds(500);
  /// Age at which the last report of a member expires.
  base::duration freshness = std::chrono::milliseconds(1500);
  /// Maximum time from a query to its report; the transport drops later
  /// reports.
  base::duration report_timeout = std::chrono::milliseconds(500);
  /// Time without reports after which a member is to be replaced.
  base::duration loss_timeout = std::chrono::seconds(4);
  /// Additional delay of each stand-in behind the node before it in leader
  /// order.
  base::duration takeover_delay = std::chrono::seconds(3);
  /// Minimum time between two rounds of planning.
  base::duration plan_period = std::chrono::milliseconds(200);
  /// Age at which an instance discards an order.
  base::duration order_validity = std::chrono::seconds(2);
  /// Time after which an order without effect is sent again.
  base::duration order_retry = std::chrono::seconds(4);
  /// Minimum time that a replica must accept no new work before it counts as
  /// drained; covers requests that other nodes sent before they received the
  /// drain.
  base::duration drain_settle = std::chrono::seconds(3);
  /// Maximum time that the load of an unresponsive instance occupies the
  /// budget.
  base::duration load_limit = std::chrono::minutes(2);
  /// Weight loads in flight in the whole fleet: the weight store's rate divided
  /// by the rate of one load.
  int weight_slots = 8;
  /// Replicas of one entry that planned work may make unavailable at once.
  int max_unavailable = 1;
  /// Replicas of each engine entry beyond its configured number that may be
  /// formed from otherwise idle instances; they serve while others are
  /// repaired.
  int surplus_replicas = 2;
  /// Share of a domain's instances whose simultaneous loss counts as mass loss.
  double mass_loss_share = 0.3;
  /// Nodes that vote on whether a member is lost.
  int voters = 7;
};

/// Builds settings; Build validates them together.
class settings_builder {
 public:
  settings_builder& WithReportPeriod(base::duration period);
  settings_builder& WithFreshness(base::duration freshness);
  settings_builder& WithLossTimeout(base::duration timeout);
  settings_builder& WithWeightSlots(int slots);
  settings_builder& WithMaxUnavailable(int replicas);
  settings_builder& WithSurplusReplicas(int replicas);
  /// @throws settings_error naming the setting and its value.
  settings Build() const;

 private:
  settings settings_;
};

}  // namespace flamingoshunt::replica

#endif  // FLAMINGOSHUNT_REPLICA_SETTINGS_H_
