// Defines the budget for retries on another replica. The fleet shares one
// budget per service; every node spends only its own share, so that the total
// holds without coordination.
//
// Load pattern: a replica fails, all its requests need another one, and callers
// that retry at once add to the load. Without a budget the retries multiply and
// keep the remaining replicas from answering anything in time.
#ifndef FLAMINGOSHUNT_GATEWAY_RETRY_BUDGET_H_
#define FLAMINGOSHUNT_GATEWAY_RETRY_BUDGET_H_

#include <deque>
#include <map>
#include <string>

#include "base/clock.h"

namespace flamingoshunt::gateway {

/// Retries of one service by the entire fleet in any window.
struct retry_allowance {
  double ratio = 0.1;  ///< Retries per request.
  double slack = 10;   ///< Retries in addition to that.
  base::duration window = std::chrono::seconds(10);
};

/// What a node's share of a service's budget was decided on.
struct retry_usage {
  std::size_t requests = 0;  ///< Within the window.
  std::size_t retries = 0;   ///< Within the window.
  double allowed = 0;        ///< Retries within the window.
  bool is_exhausted() const {
    return static_cast<double>(retries) + 1 > allowed;
  }
};

/// One node's share of the budgets.
class retry_budget {
 public:
  explicit retry_budget(const retry_allowance& allowance)
      : allowance_(allowance) {}

  /// @param nodes that share the slack.
  void SetNodes(int nodes) { nodes_ = nodes < 1 ? 1 : nodes; }
  void SetAllowance(const retry_allowance& allowance) {
    allowance_ = allowance;
  }

  /// Counts a caller's request for @p service.
  void RecordRequest(const std::string& service, base::time_point now);

  /// Takes one retry from the budget. @return whether there was one.
  bool TryRetry(const std::string& service, base::time_point now);

  /// Gives back a retry that was taken and not sent.
  void Refund(const std::string& service);

  /// @return this node's use of the budget of @p service.
  retry_usage Usage(const std::string& service, base::time_point now);

 private:
  struct history {
    std::deque<base::time_point> requests;
    std::deque<base::time_point> retries;
  };

  void Expire(history& service_history, base::time_point now) const;

  retry_allowance allowance_;
  int nodes_ = 1;
  std::map<std::string, history> services_;
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_RETRY_BUDGET_H_
