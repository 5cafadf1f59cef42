// Defines the order in which queued requests get slots, by what is known of
// each: its priority, when it is late, how long its caller waits, and what its
// answer is expected to earn and to cost. It uses no clock.
//
// Load pattern: demand swings by half within seconds, so that for a while not
// every request can be on time. By deadlines alone every request is then served
// at the last moment, and an answer that holds a slot for two seconds goes
// before eight that need a quarter of a second each.
#ifndef FLAMINGOSHUNT_GATEWAY_QUEUE_ORDER_H_
#define FLAMINGOSHUNT_GATEWAY_QUEUE_ORDER_H_

#include <compare>
#include <map>

#include "base/clock.h"
#include "base/ids.h"
#include "gateway/dispatcher_options.h"

namespace flamingoshunt::gateway {

/// What the order weighs in one queued request.
struct queue_facts {
  int priority = 0;  ///< 0 is the most urgent.
  base::time_point on_time_deadline{};
  /// Latest start after which its caller gets no answer.
  base::time_point last_start{};
  base::duration first_event{};  ///< Expected, from sending.
  /// The forecast at its arrival was that it can't be on time.
  bool expected_late = false;
  /// Late, and has waited so long that it is due.
  bool due = false;
  bool has_begun = false;  ///< Its caller has part of the answer.
  double cost = 1;  ///< Expected slot time relative to a usual request's.
  double size = 1;  ///< Relative to a usual request's.
};

/// Position in the queue; the least is served first.
struct queue_rank {
  int priority = 0;
  bool late = false;
  int round = 0;  ///< Of its workspace; see RoundOf.
  int cost_class = 0;
  base::time_point by{};
  auto operator<=>(const queue_rank&) const = default;
};

/// @return the rank of a request at @p now, in the first round.
queue_rank RankOf(queue_order order,
                  const queue_facts& facts,
                  base::time_point now);

/// What each workspace has recently been served, in usual requests.
///
/// Load pattern: one workspace sends as much as all others together; a node's
/// queue must not consist of its requests alone.
class workspace_shares {
 public:
  /// Adds a served request of @p cost usual ones.
  void Charge(const base::workspace_id& workspace,
              double cost,
              base::time_point now);

  /// @return what @p workspace has recently been served.
  double Served(const base::workspace_id& workspace,
                base::time_point now) const;

 private:
  struct share {
    double served = 0;  ///< At @c at.
    base::time_point at{};
  };
  std::map<base::workspace_id, share> shares_;
};

/// @param served what the workspace was served, and has queued ahead.
/// @return the round in which a request of the workspace is served: those that
///         have got less go first.
int RoundOf(double served);

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_QUEUE_ORDER_H_
