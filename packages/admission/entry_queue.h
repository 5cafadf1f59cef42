// Defines the requests of one entry that wait for a slot, and the forecast of
// how long they will: from the cost that will be served before a request, the
// speed that slots showed, and the slots that are there.
#ifndef FLAMINGOSHUNT_ADMISSION_ENTRY_QUEUE_H_
#define FLAMINGOSHUNT_ADMISSION_ENTRY_QUEUE_H_

#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "admission/wait_queue.h"
#include "routing/router.h"

namespace flamingoshunt::admission {

class entry_queue {
 public:
  /// Requests that wait at most, per entry and node, of about 1 KiB each.
  static constexpr std::size_t kMaxQueued = 4'096;
  /// Part of them that one workspace may have.
  static constexpr double kMaxWorkspaceFraction = 0.5;

  explicit entry_queue(queue_kind kind) : queue_(MakeQueue(kind)) {}

  bool HasCapacityFor(const base::workspace_id& workspace) const;
  void Push(queued_request queued);
  std::optional<queued_request> Remove(const base::request_id& request);
  bool StartOne(const wait_queue::start_callback& try_start);
  void Charge(const base::workspace_id& workspace,
              catalogue::work_class work,
              double extra_cost) {
    queue_->Charge(workspace, work, extra_cost);
  }

  /// Learns from an attempt that held a slot for @p total.
  void RecordService(double cost, base::duration slot_time);

  /// @return the time until @p each would start; zero when unknown.
  base::duration EstimateWait(const queued_request& queued,
                              const routing::router::slot_usage& slots) const;
  /// @return the time that work of @p cost takes in a slot; zero if unknown.
  base::duration EstimateRunTime(double cost) const;

  /// @return when a request refused now finds room, given that the wait is
  ///         @p excess too long; behind all earlier promises.
  base::duration NextRetryAfter(const queued_request& queued,
                                base::duration excess,
                                const routing::router::slot_usage& slots,
                                base::time_point now);

  /// @return requests whose deadline has passed.
  std::vector<base::request_id> ExpiredRequests(base::time_point now) const;
  std::optional<base::time_point> NextDeadline() const;

  std::size_t size() const { return queue_->size(); }
  std::size_t ShortCount() const { return queue_->ShortCount(); }

 private:
  using deadline_entry = std::pair<base::time_point, base::request_id>;

  std::unique_ptr<wait_queue> queue_;
  std::set<deadline_entry> deadlines_;
  double cost_per_second_ = 0;  ///< Of one slot.
  base::time_point last_retry_time_{};
};

}  // namespace flamingoshunt::admission

#endif  // FLAMINGOSHUNT_ADMISSION_ENTRY_QUEUE_H_
