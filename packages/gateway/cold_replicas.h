// Limits what a node sends to cold replicas, each of which tolerates a few
// requests a second from all nodes together. The nodes take turns: each one may
// send one request in every period, which is as long as the whole fleet needs
// for one request from each node at that rate. Periods begin at a random time,
// so that the turns of many nodes spread evenly, and a turn that isn't used is
// lost. The sum thus stays within the rate whatever the nodes know of each
// other.
//
// Load pattern: a whole failure domain comes back cold while all nodes have
// requests queued, and some reach neither the store nor their peers.
#ifndef FLAMINGOSHUNT_GATEWAY_COLD_REPLICAS_H_
#define FLAMINGOSHUNT_GATEWAY_COLD_REPLICAS_H_

#include <cstdint>
#include <map>
#include <optional>

#include "base/clock.h"
#include "base/ids.h"
#include "base/random.h"

namespace flamingoshunt::gateway {

/// How a replica may be used while it is cold.
struct cold_period {
  base::time_point until{};
  double requests_per_second = 0;  ///< Tolerated from all nodes together.
  int nodes = 0;                   ///< That may send; 0 if unknown.
};

/// Uses no sockets and no clock.
class cold_replicas {
 public:
  /// Part of the tolerated rate that the nodes use. Random turns of many nodes
  /// deviate from their mean by its square root: at 17 requests a second, 30 in
  /// one second are then four such deviations away.
  static constexpr double kRatePart = 0.8;
  /// How long an unused turn lasts: most nodes of a busy fleet have a request
  /// within this time. Longer turns would let more of them fall together.
  static constexpr base::duration kTurn = std::chrono::milliseconds(250);

  /// @p replica is cold, as of the latest view.
  void Set(const base::instance_id& replica,
           const cold_period& period,
           base::time_point now,
           base::random_engine& random);

  bool IsCold(const base::instance_id& replica, base::time_point now) const;

  /// @return the requests that this node may send now; empty for a replica that
  ///         isn't cold.
  std::optional<int> Available(const base::instance_id& replica,
                               base::time_point now) const;

  /// @return this node's part of the rate, in requests a second; empty for a
  ///         replica that isn't cold.
  std::optional<double> Rate(const base::instance_id& replica,
                             base::time_point now) const;

  /// This node sends a request to @p replica.
  void OnSent(const base::instance_id& replica, base::time_point now);

  /// @return the number of replicas that are cold.
  std::size_t Count(base::time_point now) const;

  /// Drops the replicas for which @p is_cold is false.
  template <class Predicate>
  void RetainIf(Predicate is_cold) {
    std::erase_if(replicas_,
                  [&](const auto& entry) { return !is_cold(entry.first); });
  }

 private:
  struct turns {
    base::time_point until{};
    double rate = 0;  ///< Of this node, in requests a second.
    /// From the beginning of one turn to that of the next one; zero if this
    /// node may send nothing.
    base::duration period{};
    base::time_point first{};     ///< When turn 0 began.
    std::int64_t used_turn = -1;  ///< The last one used.
  };

  const turns* Find(const base::instance_id& replica,
                    base::time_point now) const;

  std::map<base::instance_id, turns> replicas_;
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_COLD_REPLICAS_H_
