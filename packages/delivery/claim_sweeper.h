// Defines the deletion of claims whose term has ended. Only the leading node
// sweeps, which merely saves work: a claim is deleted conditionally on the
// version at which it was listed as expired, so concurrent sweepers are safe.
// One bucket is listed at a time and deletions are rate-limited, so that the
// sweep does not compete with the writes of requests.
#ifndef FLAMINGOSHUNT_DELIVERY_CLAIM_SWEEPER_H_
#define FLAMINGOSHUNT_DELIVERY_CLAIM_SWEEPER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "delivery/id_source.h"
#include "store/messages.h"

namespace flamingoshunt::delivery {

struct sweep_settings {
  /// Time for one round over all buckets.
  base::duration round = std::chrono::hours(1);
  int deletions_per_second = 10;
  /// Time kept beyond a claim's expiry, for clock skew between nodes.
  base::duration grace = std::chrono::minutes(10);
  base::duration call_timeout = std::chrono::seconds(5);
};

struct sweep_counters {
  std::uint64_t listed = 0;
  std::uint64_t deleted = 0;
  std::uint64_t failed_calls = 0;
  std::uint64_t unreadable = 0;  ///< Objects that are not valid claims; kept.
  std::uint64_t deferred = 0;    ///< Expired claims left for the next round.
};

class claim_sweeper {
 public:
  /// @param ids must outlive the sweeper.
  /// @throws settings_error for a round, rate or timeout that is not positive.
  claim_sweeper(const sweep_settings& settings, id_source& ids);

  /// Starts or stops sweeping on this node; stopping discards all queued work.
  void SetLeading(bool leading, base::time_point now);

  std::vector<store::call> Tick(base::time_point now);

  /// Replies to other calls are ignored.
  /// @param wall_now time of day to compare with the expiry of claims.
  void Handle(const store::reply& reply, base::wall_time wall_now);

  std::optional<base::time_point> NextTimer() const;
  const sweep_counters& counters() const { return counters_; }

 private:
  struct expired_claim {
    store::object_key key;
    base::revision version;
  };

  store::call MakeListCall(base::time_point now);
  store::call MakeDeleteCall(base::time_point now);
  void ExamineClaim(const store::object& object, base::wall_time wall_now);

  const sweep_settings settings_;
  id_source& ids_;
  bool leading_ = false;
  int bucket_ = 0;
  base::time_point next_list_;
  base::time_point next_delete_;
  store::call_id list_call_;
  store::call_id delete_call_;
  std::deque<expired_claim> expired_claims_;
  sweep_counters counters_;
};

}  // namespace flamingoshunt::delivery

#endif  // FLAMINGOSHUNT_DELIVERY_CLAIM_SWEEPER_H_
