// Defines the queue of suspect requests, each of which runs alone on a replica.
// The queue claims a replica for the request, waits until the claim has reached
// the other nodes and other work there has ended, and then starts the request.
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
  /// Queued suspects per node.
  static constexpr std::size_t kMaxQueued = 256;
  /// Longest wait for work in flight on the claimed replica.
  static constexpr base::duration kMaxDrainWait = std::chrono::seconds(5);
  /// Longest time that a claim reserves a replica.
  static constexpr base::duration kClaimDuration = std::chrono::seconds(60);

  bool HasCapacity() const { return suspects_.size() < kMaxQueued; }
  void Push(queued_request queued);
  std::optional<queued_request> Remove(const base::request_id& request,
                                       routing::quarantine& quarantine,
                                       routing::router& router,
                                       base::time_point now);

  /// Decision on a suspect that leaves the queue.
  struct outcome {
    queued_request request;
    routing::quarantine_state state = routing::quarantine_state::kSuspect;
    std::optional<routing::placement> placement;  ///< Set if it starts.
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
