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

class solo_line {
 public:
  /// Suspects that wait at most, per node.
  static constexpr std::size_t kMaxWaiting = 256;
  /// Work in flight on the claimed replica is waited for this long.
  static constexpr base::duration kEmptyWait = std::chrono::seconds(5);
  /// A claimed replica is kept free this long.
  static constexpr base::duration kClaimTime = std::chrono::seconds(60);

  bool HasRoom() const { return waiting_.size() < kMaxWaiting; }
  void Push(waiting each);
  std::optional<waiting> Remove(const base::request_id& request,
                                routing::quarantine& known,
                                routing::router& router,
                                base::time_point now);

  /// What has become of a suspect.
  struct outcome {
    waiting request;
    routing::verdict verdict = routing::verdict::kSuspect;
    std::optional<routing::placement> place;  ///< Starts there, if suspect.
    bool is_late = false;                     ///< Its deadline has passed.
  };
  using may_start = std::function<bool(const routing::request_shape&)>;
  std::vector<outcome> Step(routing::quarantine& known,
                            routing::router& router,
                            const may_start& may,
                            base::time_point now);

  std::optional<base::time_point> NextTimer() const;
  std::size_t size() const { return waiting_.size(); }

 private:
  struct suspect {
    waiting request;
    std::optional<routing::placement> place;
    base::time_point claimed{};
  };

  std::optional<outcome> Step(suspect& each,
                              routing::quarantine& known,
                              routing::router& router,
                              const may_start& may,
                              base::time_point now);
  void LetGo(suspect& each,
             routing::quarantine& known,
             routing::router& router,
             base::time_point now);

  std::map<base::request_id, suspect> waiting_;
  base::time_point stepped_{};
};

}  // namespace flamingoshunt::admission

#endif  // FLAMINGOSHUNT_ADMISSION_ISOLATION_QUEUE_H_
