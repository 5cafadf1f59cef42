// Defines the policies that choose among the replicas that may take a request,
// as strategy objects: the production policy and the baselines for
// measurements. A policy depends on the candidates only, not on time or on
// other nodes.
#ifndef FLAMINGOSHUNT_ROUTING_POLICY_H_
#define FLAMINGOSHUNT_ROUTING_POLICY_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "base/random.h"

namespace flamingoshunt::routing {

/// A serving replica with a free slot for the request.
struct candidate {
  std::uint32_t table_index = 0;  ///< Index in the table.
  double load = 0;                ///< Estimated share of its slots in use.
  int own_running = 0;            ///< This node's attempts there.
  double long_share = 0;  ///< Share of its slots held by this node's long work.
  double slowness = 1;  ///< First-token time over the typical one of the entry.
  double prefix_match =
      0;                  ///< Cached fraction of the prompt, times confidence.
  bool is_nearby = true;  ///< In this node's failure domain.
};

class policy {
 public:
  virtual ~policy() = default;

  /// @return an index into @p candidates, which is not empty.
  virtual std::size_t Pick(const std::vector<candidate>& candidates,
                           base::random_engine& random) = 0;

  /// @return whether a replica is a candidate only within this node's allowance
  ///         of its slots; otherwise all its slots are available, counting this
  ///         node's attempts alone.
  virtual bool UsesAllowance() const { return false; }
};

enum class policy_kind {
  kRoundRobin,
  kLeastOutstanding,
  kTwoRandomChoices,
  kBoundedAffinity,    ///< The production policy.
  kNoAffinity,         ///< The production policy without prefix affinity.
  kUnboundedAffinity,  ///< Prefix affinity whatever the load.
};

std::unique_ptr<policy> MakePolicy(policy_kind kind);
std::string_view Name(policy_kind kind);

}  // namespace flamingoshunt::routing

#endif  // FLAMINGOSHUNT_ROUTING_POLICY_H_
