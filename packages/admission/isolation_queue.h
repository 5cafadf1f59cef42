// Defines the wait of suspect requests, each of which runs alone: a replica is
// claimed for it, the claim spreads, other work there ends, and then it starts.
#ifndef FLAMINGOSHUNT_ADMISSION_ISOLATION_QUEUE_H_
#define FLAMINGOSHUNT_ADMISSION_ISOLATION_QUEUE_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "admission/wait_queue.h"
#include "routing/quarantine.h"
#include "routing/router.h"

namespace flamingoshunt::admission {

class isolation_queue {
 public:
  /// Suspects that wait at most, per node.
  static constexpr std::size_t kMaxQueued = 256;
  /// Work in flight on the claimed replica is waited for this long.
  static constexpr base::duration kMaxDrainWait = std::chrono::seconds(5);
  /// A claimed replica is kept free this long.
  static constexpr base::duration kClaimDuration = std::chrono::seconds(60);

  bool HasCapacity() const { return suspects_.size() < kMaxQueued; }
  void Push(queued_request queued);
  std::optional<queued_request> Remove(const base::request_id& request,
                                       routing::quarantine& quarantine,
                                       routing::router& router,
                                       base::time_point now);

  /// What has become of a suspect.
  struct outcome {
    queued_request request;
    routing::quarantine_state state = routing::quarantine_state::kSuspect;
    std::optional<routing::placement> placement;  ///< Starts there, if suspect.
    bool is_expired = false;                      ///< Its deadline has passed.
  };
  using start_predicate = std::function<bool(const routing::request_shape&)>;
  std::vector<outcome> Step(routing::quarantine& quarantine,
                            routing::router& router,
                            const start_predicate& can_start,
                            base::time_point now);

  std::optional<base::time_point> NextTimer() const;
  std::size_t size() const { return suspects_.size(); }

 private:
  struct suspect {
    queued_request request;
    std::optional<routing::placement> placement;
    base::time_point claimed_at{};
  };

  std::optional<outcome> Step(suspect& queued,
                              routing::quarantine& quarantine,
                              routing::router& router,
                              const start_predicate& can_start,
                              base::time_point now);
  void ReleaseClaim(suspect& queued,
                    routing::quarantine& quarantine,
                    routing::router& router,
                    base::time_point now);

  std::map<base::request_id, suspect> suspects_;
  base::time_point last_step_{};
};

}  // namespace flamingoshunt::admission

#endif  // FLAMINGOSHUNT_ADMISSION_ISOLATION_QUEUE_H_
