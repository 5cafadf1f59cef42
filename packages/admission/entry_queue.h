// Defines the queue of the requests of one entry that wait for a slot, and the
// forecast of their waiting time: from the cost that is served before a
// request, the measured throughput of a slot and the number of slots.
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
  /// Queued requests per entry and node, of about 1 KiB each.
  static constexpr std::size_t kMaxQueued = 4'096;
  /// Fraction of kMaxQueued that one workspace may use.
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

  /// Updates the throughput of a slot by an attempt of @p cost that held its
  /// slot for @p slot_time.
  void RecordService(double cost, base::duration slot_time);

  /// @return the estimated time until @p queued would start; zero when the
  ///         throughput is unknown.
  base::duration EstimateWait(const queued_request& queued,
                              const routing::router::slot_usage& slots) const;
  /// @return the estimated time that work of @p cost takes in a slot; zero
  ///         when the throughput is unknown.
  base::duration EstimateRunTime(double cost) const;

  /// @return the retry-after for a request that is refused because its wait is
  ///         @p excess too long. Each call returns a later time than the calls
  ///         before, so that refused callers don't retry all at once.
  base::duration NextRetryAfter(const queued_request& queued,
                                base::duration excess,
                                const routing::router::slot_usage& slots,
                                base::time_point now);

  /// @return the queued requests whose deadline has passed.
  std::vector<base::request_id> ExpiredRequests(base::time_point now) const;
  std::optional<base::time_point> NextDeadline() const;

  std::size_t size() const { return queue_->size(); }
  std::size_t ShortCount() const { return queue_->ShortCount(); }

 private:
  using deadline_entry = std::pair<base::time_point, base::request_id>;

  std::unique_ptr<wait_queue> queue_;
  std::set<deadline_entry> deadlines_;
  double cost_per_second_ = 0;  ///< Throughput of one slot.
  base::time_point last_retry_time_{};
};

}  // namespace flamingoshunt::admission

#endif  // FLAMINGOSHUNT_ADMISSION_ENTRY_QUEUE_H_
