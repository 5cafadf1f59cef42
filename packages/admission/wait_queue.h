// Defines the interface of a queue of requests that wait for a slot. It is
// implemented by the fair queue, used in production, and by a FIFO queue, the
// baseline for measurements. A queue only orders requests; the caller decides
// on limits and free slots, request by request.
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

/// One request that waits for a slot.
struct queued_request {
  slot_request request;
  double cost = 1;  ///< Estimated, in answer tokens.
  bool is_long = false;
  double weight = 1;  ///< Of its workspace.
  base::time_point arrived;
  /// Orders the requests of one workspace: arrival plus a penalty for length.
  /// The penalty is bounded, so that short work overtakes long work for a
  /// bounded time only.
  base::time_point order_time;
};

/// Longest time for which short work may overtake long work.
inline constexpr base::duration kMaxOvertakingTime = std::chrono::seconds(60);

enum class start_result {
  kStarted,  ///< The request got a slot and leaves the queue.
  kSkip,     ///< This request cannot start now, another one might.
  kStop      ///< No request can start now.
};

class wait_queue {
 public:
  using start_callback = std::function<start_result(const queued_request&)>;

  virtual ~wait_queue() = default;

  virtual void Push(queued_request queued) = 0;

  /// Calls @p try_start for requests in order until one starts or none can.
  /// @return whether a request started.
  virtual bool StartOne(const start_callback& try_start) = 0;

  /// @return the removed request; nothing when it is not queued here.
  virtual std::optional<queued_request> Remove(
      const base::request_id& request) = 0;

  /// Charges @p extra_cost to a workspace once the actual cost is known;
  /// negative when the estimate was too high.
  virtual void Charge(const base::workspace_id& workspace,
                      catalogue::work_class work,
                      double extra_cost) = 0;

  /// @return the estimated cost of the requests served before @p queued.
  virtual double CostAhead(const queued_request& queued) const = 0;

  virtual std::size_t size() const = 0;
  /// @return the number of queued requests that are not long.
  virtual std::size_t ShortCount() const = 0;
  virtual std::size_t SizeOfWorkspace(
      const base::workspace_id& workspace) const = 0;
};

enum class queue_kind { kFair, kFifo };

std::unique_ptr<wait_queue> MakeQueue(queue_kind kind);

}  // namespace flamingoshunt::admission

#endif  // FLAMINGOSHUNT_ADMISSION_WAIT_QUEUE_H_
