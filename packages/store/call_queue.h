// Defines the calls that wait for the budget or for the end of an outage: by
// priority, then first come first served, bounded in number and in time.
#ifndef FLAMINGOSHUNT_STORE_CALL_QUEUE_H_
#define FLAMINGOSHUNT_STORE_CALL_QUEUE_H_

#include <array>
#include <deque>
#include <optional>
#include <vector>

#include "store/messages.h"

namespace flamingoshunt::store {

/// A call with less of its timeout left is not worth sending.
inline constexpr base::duration kMinTimeLeft = std::chrono::milliseconds(50);

class call_queue {
 public:
  explicit call_queue(std::size_t limit) : limit_(limit) {}

  /// Adds @p request, whose timeout counts from @p now.
  /// @return the call that had to give way when the queue was full: the newest
  ///         of the lowest priority, perhaps @p request itself.
  std::optional<call> Add(const call& request, base::time_point now);

  /// Takes the first call, of @p at_least this priority, with its timeout cut
  /// to what is left of it.
  std::optional<call> Take(base::time_point now, call_priority at_least);

  /// Removes and @return all calls whose timeout has passed, or leaves too
  /// little time for an answer.
  std::vector<call> TakeExpired(base::time_point now);

  /// @return when the first call expires.
  std::optional<base::time_point> FirstExpiry() const;

  bool empty() const { return size() == 0; }
  std::size_t size() const;

 private:
  struct waiting {
    call request;
    base::time_point deadline;
    base::time_point latest_start;
  };
  static constexpr std::size_t kPriorities = 3;

  std::size_t limit_;
  std::array<std::deque<waiting>, kPriorities> by_priority_;
};

}  // namespace flamingoshunt::store

#endif  // FLAMINGOSHUNT_STORE_CALL_QUEUE_H_
