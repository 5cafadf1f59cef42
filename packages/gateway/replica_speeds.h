// Learns how long replicas take compared with what was expected of them: for
// each pool of replicas how far expectations are off in general, and for each
// replica by which factor it differs from its pool. It uses no sockets and no
// clock.
//
// Load pattern: a replica turns slow by a factor of five without failing, and
// its reports don't say so; a handful of its events show it within seconds.
#ifndef FLAMINGOSHUNT_GATEWAY_REPLICA_SPEEDS_H_
#define FLAMINGOSHUNT_GATEWAY_REPLICA_SPEEDS_H_

#include <map>
#include <string>

#include "base/clock.h"
#include "base/ids.h"

namespace flamingoshunt::gateway {

/// What is timed; each has its own general error of expectation.
enum class timed_part {
  kFirstEvent,  ///< From sending to the first event.
  kEventGap,    ///< Between two events.
  kWhole        ///< A whole answer of a plain endpoint.
};

class replica_speeds {
 public:
  /// Bounds of the factor of one replica.
  static constexpr double kMinFactor = 0.5;
  static constexpr double kMaxFactor = 10;

  /// @param pool     groups replicas that should be equally fast.
  /// @param expected of the replica without what was learned; above 0.
  void Record(const std::string& pool,
              timed_part part,
              const base::instance_id& replica,
              base::duration expected,
              base::duration actual,
              base::time_point now);

  /// @return how much longer the replica takes than others of its pool, which
  ///         fades to 1 while nothing is recorded.
  double FactorOf(const base::instance_id& replica, base::time_point now) const;

  /// @return the usual ratio of actual and expected times in @p pool; 1 before
  ///         any.
  double UsualRatio(const std::string& pool, timed_part part) const;

  /// Drops what was learned of replicas for which @p exists is false.
  template <class Predicate>
  void RetainIf(Predicate exists) {
    std::erase_if(replicas_,
                  [&](const auto& entry) { return !exists(entry.first); });
  }

  std::size_t size() const { return replicas_.size(); }

 private:
  struct pool_ratio {
    double log_ratio = 0;
    int count = 0;
  };
  struct replica_speed {
    double log_factor = 0;
    base::time_point updated_at{};
  };
  using pool_key = std::pair<std::string, timed_part>;

  std::map<pool_key, pool_ratio, std::less<>> pools_;
  std::map<base::instance_id, replica_speed> replicas_;
};

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_REPLICA_SPEEDS_H_
