// Defines the ways of choosing among the replicas that may take a request, as
// small strategy objects: the product's and the baselines it is measured
// against. A policy sees candidates only; it knows neither time nor nodes.
#ifndef FLAMINGOSHUNT_ROUTING_POLICY_H_
#define FLAMINGOSHUNT_ROUTING_POLICY_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "base/random.h"

namespace flamingoshunt::routing {

/// A serving replica that has room for the request.
struct candidate {
  std::uint32_t table_index = 0;  ///< Index in the table.
  double load = 0;                ///< Estimated share of its slots in use.
  int own_running = 0;            ///< This node's attempts there.
  double long_share = 0;  ///< Share of its slots that our long work holds.
  double slowness = 1;    ///< First-token time over that of the usual replica.
  double prefix_match = 0;  ///< Part of the prompt it caches, by confidence.
  bool is_nearby = true;    ///< In this node's failure domain.
};

class policy {
 public:
  virtual ~policy() = default;

  /// @return an index into @p candidates, which is not empty.
  virtual std::size_t Pick(const std::vector<candidate>& candidates,
                           base::random_engine& random) = 0;

  /// Whether a replica is a candidate only within this node's share of its
  /// slots; otherwise up to its slots counting this node's attempts alone.
  virtual bool UsesAllowance() const { return false; }
};

enum class policy_kind {
  kRoundRobin,
  kLeastOutstanding,
  kTwoRandomChoices,
  kBoundedAffinity,    ///< The product's.
  kNoAffinity,         ///< The product's without prefix affinity.
  kUnboundedAffinity,  ///< Prefix affinity whatever the load.
};

std::unique_ptr<policy> MakePolicy(policy_kind kind);
std::string_view Name(policy_kind kind);

}  // namespace flamingoshunt::routing

#endif  // FLAMINGOSHUNT_ROUTING_POLICY_H_
