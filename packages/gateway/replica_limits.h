// Tracks the rate limits that replicas name in their answers, and how many
// requests all nodes together may still send them. A limit holds for the fleet:
// nodes tell each other the limits and how many requests they have sent, so
// that each one computes the same remainder without coordination. Requests that
// several nodes send before they learn of each other leave a debt, which later
// requests wait for.
//
// Load pattern: many replicas turn slow at once and name half of their usual
// rate, while demand stays the same.
#ifndef FLAMINGOSHUNT_GATEWAY_REPLICA_LIMITS_H_
#define FLAMINGOSHUNT_GATEWAY_REPLICA_LIMITS_H_

#include <cstdint>
#include <map>
#include <optional>

#include "base/clock.h"
#include "base/ids.h"

namespace flamingoshunt::gateway {

/// What a node knows of a replica's limit, and has sent since.
struct limit_statement {
  std::optional<double> requests_per_second;  ///< Empty: no limit any more.
  base::time_point named_at{};
  std::uint64_t sent = 0;  ///< By that node, since it knows of the limit.
  bool operator==(const limit_statement&) const = default;
};

using limit_map = std::map<base::instance_id, limit_statement>;

/// Uses no sockets and no clock.
class replica_limits {
 public:
  /// Requests that may follow each other at once, as time at the limited rate;
  /// at least one.
  static constexpr base::duration kBurst = std::chrono::milliseconds(500);
  /// Longest wait for a debt to be paid off.
  static constexpr base::duration kMaxDebt = std::chrono::seconds(2);
  /// Rate at which a replica that accepts nothing is asked again, in requests a
  /// second of all nodes.
  static constexpr double kMinRate = 0.2;
  /// How long a limit that has ended is remembered, so that older statements of
  /// peers don't restore it.
  static constexpr base::duration kEndedLifetime = std::chrono::seconds(10);

  /// The replica named this limit, or none, in an answer to this node.
  /// @return whether the limit changed.
  bool OnAnswer(const base::instance_id& replica,
                std::optional<double> requests_per_second,
                base::time_point now);

  /// Applies what a peer knows and has sent.
  void ApplyPeer(const base::node_id& peer,
                 const limit_map& statements,
                 base::time_point now);

  /// This node sends a request to @p replica.
  void OnSent(const base::instance_id& replica, base::time_point now);

  /// @return the requests that may be sent now; empty for a replica without a
  ///         limit.
  std::optional<int> Available(const base::instance_id& replica,
                               base::time_point now) const;

  /// @return the limit in requests a second, if there is one.
  std::optional<double> Limit(const base::instance_id& replica) const;

  bool empty() const { return replicas_.empty(); }

  /// @return what to tell the peers.
  limit_map OwnStatements() const;

  /// Drops replicas for which @p exists is false, and limits that ended.
  template <class Predicate>
  void RetainIf(Predicate exists, base::time_point now) {
    std::erase_if(replicas_, [&](const auto& entry) {
      const bool ended = !entry.second.own.requests_per_second;
      return !exists(entry.first) ||
             (ended && now - entry.second.own.named_at >= kEndedLifetime);
    });
  }

 private:
  struct limited_replica {
    limit_statement own;
    double available = 0;  ///< At @c available_at; negative for a debt.
    base::time_point available_at{};
    std::map<base::node_id, std::uint64_t> sent_by_peers;
  };

  static double AvailableAt(const limited_replica& of, base::time_point now);
  static void Take(limited_replica& of, double requests, base::time_point now);
  static void SetLimit(limited_replica& of,
                       std::optional<double> requests_per_second,
                       base::time_point named_at,
                       base::time_point now);

  std::map<base::instance_id, limited_replica> replicas_;
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_REPLICA_LIMITS_H_
