// Defines the queue in which requests for one entry wait for a slot, as a
// strategy: the product's fair queue, and first come first served, the baseline
// it is measured against. Both keep order only; limits and room are decided by
// the caller, request by request.
#ifndef FLAMINGOSHUNT_ADMISSION_WAIT_QUEUE_H_
#define FLAMINGOSHUNT_ADMISSION_WAIT_QUEUE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "admission/messages.h"
#include "base/clock.h"
#include "base/ids.h"

namespace flamingoshunt::admission {

/// One request that waits.
struct queued_request {
  slot_request request;
  double cost = 1;  ///< Estimated, in tokens of answer.
  bool is_long = false;
  double weight = 1;  ///< Of its workspace.
  base::time_point arrived;
  /// Orders the requests of one workspace: arrival plus a penalty for length,
  /// which is bounded so that long work is overtaken for a bounded time only.
  base::time_point order_time;
};

/// Long work is overtaken by short work for at most this long.
inline constexpr base::duration kMaxOvertakingTime = std::chrono::seconds(60);

enum class start_result {
  kStarted,  ///< It got its slot and leaves the queue.
  kSkip,     ///< This one cannot start now, another one might.
  kStop      ///< No request can start now.
};

class wait_queue {
 public:
  using start_callback = std::function<start_result(const queued_request&)>;

  virtual ~wait_queue() = default;

  virtual void Push(queued_request queued) = 0;

  /// Offers requests in order until one starts or none can.
  /// @return whether one started.
  virtual bool StartOne(const start_callback& try_start) = 0;

  /// @return the removed request; nothing when it does not wait here.
  virtual std::optional<queued_request> Remove(
      const base::request_id& request) = 0;

  /// Corrects what a workspace is charged once the real cost is known.
  virtual void Charge(const base::workspace_id& workspace,
                      catalogue::work_class work,
                      double extra_cost) = 0;

  /// @return estimated cost of what will be served before @p each.
  virtual double CostAhead(const queued_request& queued) const = 0;

  virtual std::size_t size() const = 0;
  /// @return requests that wait and are not long.
  virtual std::size_t ShortCount() const = 0;
  virtual std::size_t SizeOfWorkspace(
      const base::workspace_id& workspace) const = 0;
};

enum class queue_kind { kFair, kFifo };

std::unique_ptr<wait_queue> MakeQueue(queue_kind kind);

}  // namespace flamingoshunt::admission

#endif  // FLAMINGOSHUNT_ADMISSION_WAIT_QUEUE_H_
