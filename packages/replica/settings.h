// Defines the settings of the replica slice and the builder that checks them.
#ifndef FLAMINGOSHUNT_REPLICA_SETTINGS_H_
#define FLAMINGOSHUNT_REPLICA_SETTINGS_H_

#include <chrono>

#include "base/clock.h"
#include "base/errors.h"

namespace flamingoshunt::replica {

/// A setting lies outside its range.
class settings_error : public base::user_error {
 public:
  using base::user_error::user_error;
};

struct settings {
  /// Time between two questions to one instance.
  base::duration report_period = std::chrono::milliseconds(500);
  /// Age at which the last report of a member no longer counts.
  base::duration freshness = std::chrono::milliseconds(1500);
  /// Longest time from a question to the report that answers it; later
  /// reports are dropped by whoever carries them.
  base::duration report_timeout = std::chrono::milliseconds(500);
  /// Silence after which a member is to be replaced.
  base::duration loss_timeout = std::chrono::seconds(4);
  /// How much longer than the node before it each stand-in waits.
  base::duration takeover_delay = std::chrono::seconds(3);
  /// Shortest time between two rounds of planning.
  base::duration plan_period = std::chrono::milliseconds(200);
  /// Age at which an instance drops an order.
  base::duration order_validity = std::chrono::seconds(2);
  /// Time after which an order without effect is repeated.
  base::duration order_retry = std::chrono::seconds(4);
  /// Time for which a replica took no new work before it counts as empty;
  /// covers requests that other nodes sent before they learnt of the drain.
  base::duration drain_settle = std::chrono::seconds(3);
  /// Longest time that a load by a silent instance is held against the budget.
  base::duration load_limit = std::chrono::minutes(2);
  /// Loads of weights in flight in the whole fleet; the weight store's rate
  /// divided by the rate of one load.
  int weight_slots = 8;
  /// Replicas of one entry that planned work may take down together.
  int max_unavailable = 1;
  /// Replicas of each engine entry beyond its number that may be formed from
  /// instances which are idle anyway; they serve while others are mended.
  int surplus_replicas = 2;
  /// Share of a domain's instances whose loss at once is called mass loss.
  double mass_loss_share = 0.3;
  /// Nodes that vote on whether a member is lost.
  int voters = 7;
};

/// Builds settings; Build checks them together.
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
