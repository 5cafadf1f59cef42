// Defines the check of one node against the limits of entries and workspaces:
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

  /// Takes one request of @p cost tokens from the rates of its entry and
  /// workspace, or nothing at all.
  /// @return after how long to come back, when a rate does not allow it.
  std::optional<base::duration> Admit(const routing::request_shape& shape,
                                      double cost,
                                      base::time_point now);

  /// @return whether the concurrency of both allows one more; a refusal counts
  ///         as demand.
  bool CanStart(const routing::request_shape& shape);
  /// Counts one more as running if MayStart().
  bool TryStart(const routing::request_shape& shape);
  /// @param unused tokens of the estimate that were not used, or negative.
  void RecordFinished(const routing::request_shape& shape, double unused);
  /// Gives back the tokens of a request that never started.
  void RefundUnstarted(const routing::request_shape& shape, double cost);
  /// Requests that wait for concurrency, as demand.
  void AdjustWaiting(const routing::request_shape& shape, int change);

  /// Measures demand and exchanges shares; to be called every @p interval.
  std::vector<membership::publish> Rebalance(base::duration interval,
                                             base::time_point now);

  bool HasLimits() const { return !limits_.empty(); }
  const limit_shares& shares() const { return shares_; }

 private:
  /// One limit of one entry or workspace.
  struct limit_state {
    std::string key;
    catalogue::limits limit;
    token_bucket requests;
    token_bucket tokens;
    double offered_requests = 0;  ///< Since the last exchange.
    double offered_tokens = 0;
    double demand = 0;  ///< Smoothed, as a part of the whole.
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
