// Keeps what a node learns of the costs of requests: lengths of answers, speeds
// of replicas, and what its own running requests still have to do. The
// dispatcher places by these if its options say so. It uses no sockets and no
// clock.
#ifndef FLAMINGOSHUNT_GATEWAY_LEARNED_COSTS_H_
#define FLAMINGOSHUNT_GATEWAY_LEARNED_COSTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "gateway/fleet_view.h"
#include "gateway/length_estimate.h"
#include "gateway/placement_cost.h"
#include "gateway/replica_speeds.h"

namespace flamingoshunt::gateway {

/// Learns from one node's requests, which it knows by their tickets.
class learned_costs {
 public:
  /// @param request with pool, traits, prompt and deadline.
  /// @param profile null for a plain service.
  /// @return @p request with the expected length of its answer.
  expected_request Expect(expected_request request,
                          const engine_profile* profile) const;

  /// @param load placed on the replica by all nodes.
  replica_state StateOf(const expected_request& request,
                        const target& replica,
                        const engine_profile* profile,
                        const placed_load& load,
                        base::time_point now) const;

  /// @p request is sent to @p replica, which had @p load before.
  void OnPlaced(std::uint64_t ticket,
                const expected_request& request,
                const target& replica,
                const engine_profile* profile,
                const placed_load& load,
                base::time_point now);

  /// The replica has sent @p events of the stream so far in this attempt.
  /// @param load placed on the replica by all nodes now.
  /// @return the output tokens that are still expected, if the request is
  ///         known.
  std::optional<std::int64_t> OnEvents(std::uint64_t ticket,
                                       const engine_profile* profile,
                                       std::uint64_t events,
                                       const placed_load& load,
                                       base::time_point now);

  /// The request no longer runs on its replica.
  /// @param complete whether its answer is whole.
  void OnReleased(std::uint64_t ticket,
                  const engine_profile* profile,
                  bool complete,
                  base::time_point now);

  /// Drops what was learned of replicas for which @p exists is false.
  template <class Predicate>
  void RetainIf(Predicate exists) {
    speeds_.RetainIf(exists);
  }

 private:
  struct running_request {
    std::string pool;
    length_query length;
    base::workspace_id workspace;
    base::instance_id replica;
    double time_factor = 1;  ///< Published.
    double expected_tokens = 0;
    std::uint64_t events_done = 0;  ///< By earlier attempts.
    std::uint64_t events = 0;
    double kv_tokens = 0;
    base::duration work{};         ///< Expected; at a plain endpoint.
    base::duration first_event{};  ///< Expected without what was learned.
    base::time_point placed_at{};
    base::time_point last_event_at{};
  };
  /// What this node's requests use of one replica.
  struct replica_use {
    int running = 0;
    double kv_tokens = 0;
    base::duration work{};
  };

  void RecordTimes(const running_request& request,
                   const engine_profile& profile,
                   std::uint64_t events,
                   const placed_load& load,
                   base::time_point now);
  base::duration UsualWork(const std::string& pool) const;

  length_estimator lengths_;
  replica_speeds speeds_;
  std::map<std::uint64_t, running_request> running_;
  std::map<base::instance_id, replica_use> uses_;
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_LEARNED_COSTS_H_
