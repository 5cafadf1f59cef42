// Defines the enforcement of the limits of entries and workspaces on one node:
// request rate, token rate and concurrency, each within the share of the
// fleet-wide limit that this node holds.
#ifndef FLAMINGOSHUNT_ADMISSION_LIMIT_ENFORCER_H_
#define FLAMINGOSHUNT_ADMISSION_LIMIT_ENFORCER_H_

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "admission/limit_shares.h"
#include "admission/messages.h"
#include "admission/token_bucket.h"
#include "catalogue/entry.h"

namespace flamingoshunt::admission {

class limit_enforcer {
 public:
  limit_enforcer(base::node_id self, std::uint64_t incarnation);

  void Apply(const catalogue::snapshot& snapshot, base::time_point now);
  void Apply(const limit_roster& roster) { shares_.Apply(roster); }
  void Apply(const membership::item& item) { shares_.Apply(item); }
  void SetProvisionalNodes(std::size_t nodes) {
    shares_.SetProvisionalNodes(nodes);
  }

  /// Charges one request of @p cost tokens to the rates of its entry and its
  /// workspace, to all of them or to none.
  /// @return the retry-after when a rate does not allow the request.
  std::optional<base::duration> Admit(const routing::request_shape& shape,
                                      double cost,
                                      base::time_point now);

  /// @return whether the concurrency limits of the entry and the workspace
  ///         allow one more request.
  bool CanStart(const routing::request_shape& shape);
  /// Counts one more request as running if CanStart().
  bool TryStart(const routing::request_shape& shape);
  /// @param unused estimated tokens that were not used; negative if more were
  ///        used.
  void RecordFinished(const routing::request_shape& shape, double unused);
  /// Refunds a request that never started.
  void RefundUnstarted(const routing::request_shape& shape, double cost);
  /// Adds @p change to the number of queued requests, which count as demand.
  void AdjustWaiting(const routing::request_shape& shape, int change);

  /// Measures demand and rebalances shares; to be called every @p interval.
  /// @return the items to publish.
  std::vector<membership::publish> Rebalance(base::duration interval,
                                             base::time_point now);

  bool HasLimits() const { return !limits_.empty(); }
  const limit_shares& shares() const { return shares_; }

 private:
  /// The limits of one entry or workspace and their use on this node.
  struct limit_state {
    std::string key;
    catalogue::limits limit;
    token_bucket requests;
    token_bucket tokens;
    double offered_requests = 0;  ///< Since the last rebalancing.
    double offered_tokens = 0;
    double demand = 0;  ///< Smoothed, as a fraction of the limit.
    int running = 0;
    int waiting = 0;
  };
  using limit_pair = std::array<limit_state*, 2>;

  limit_pair LimitsOf(const routing::request_shape& shape);
  void AddLimit(std::map<std::string, limit_state>& limits,
                const std::string& key,
                const catalogue::limits& limit);
  void SetRates(limit_state& state, base::time_point now);
  int ConcurrencySlots(const limit_state& state) const;
  double UpdateDemand(limit_state& state, double seconds) const;

  limit_shares shares_;
  std::map<std::string, limit_state> limits_;
};

}  // namespace flamingoshunt::admission

#endif  // FLAMINGOSHUNT_ADMISSION_LIMIT_ENFORCER_H_
