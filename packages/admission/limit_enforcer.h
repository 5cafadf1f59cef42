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

class limit_gate {
 public:
  limit_gate(base::node_id self, std::uint64_t incarnation);

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
  bool MayStart(const routing::request_shape& shape);
  /// Counts one more as running if MayStart().
  bool TryStart(const routing::request_shape& shape);
  /// @param unused tokens of the estimate that were not used, or negative.
  void Finished(const routing::request_shape& shape, double unused);
  /// Gives back the tokens of a request that never started.
  void Dropped(const routing::request_shape& shape, double cost);
  /// Requests that wait for concurrency, as demand.
  void Waits(const routing::request_shape& shape, int change);

  /// Measures demand and exchanges shares; to be called every @p interval.
  std::vector<membership::publish> Exchange(base::duration interval,
                                            base::time_point now);

  bool HasLimits() const { return !guarded_.empty(); }
  const limit_shares& shares() const { return shares_; }

 private:
  /// One limit of one entry or workspace.
  struct guarded {
    std::string key;
    catalogue::limits limit;
    token_bucket requests;
    token_bucket tokens;
    double asked_requests = 0;  ///< Since the last exchange.
    double asked_tokens = 0;
    double need = 0;  ///< Smoothed, as a part of the whole.
    int running = 0;
    int waiting = 0;
  };
  using pair = std::array<guarded*, 2>;

  pair Of(const routing::request_shape& shape);
  void Guard(std::map<std::string, guarded>& all,
             const std::string& key,
             const catalogue::limits& limit);
  void SetRates(guarded& each, base::time_point now);
  int Places(const guarded& each) const;
  double Demand(guarded& each, double seconds) const;

  limit_shares shares_;
  std::map<std::string, guarded> guarded_;
};

}  // namespace flamingoshunt::admission

#endif  // FLAMINGOSHUNT_ADMISSION_LIMIT_ENFORCER_H_
