// Defines the account of what the callers of a process make it hold: one share
// for each connection, with the bytes of its request and answer. It decides who
// gets memory and a connection when there is too little, and which connection
// is closed for that. It knows no socket and no clock.
#ifndef FLAMINGOSHUNT_RUNTIME_MEMORY_BUDGET_H_
#define FLAMINGOSHUNT_RUNTIME_MEMORY_BUDGET_H_

#include <array>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>

#include "base/clock.h"

namespace flamingoshunt::runtime {

struct budget_bounds {
  std::size_t bytes = std::size_t{4} << 30;
  std::size_t connections = 10'000;
};

/// What a connection does; who is closed first depends on it.
enum class connection_phase {
  kIdle,     ///< Waits for a request.
  kReading,  ///< Has sent part of a request.
  kServing,  ///< Its request is whole and has no answer yet; never closed.
  kWriting   ///< Takes its answer.
};

/// A refusal or close by which a process stays within its bounds.
enum class bound_event {
  kIdleClosed,         ///< For another connection.
  kReadingClosed,      ///< Likewise, with part of a request read.
  kWritingClosed,      ///< Likewise, with part of an answer not taken.
  kConnectionRefused,  ///< Closed at once: there was no room.
  kRequestRefused,     ///< 503: no memory for the request.
  kFramingRefused,     ///< 400 or 431: chunk framing or trailer too long.
  kRequestTooSlow,     ///< Closed: the request didn't come in time.
  kAnswerNotBuffered   ///< Relayed as it comes: no memory to hold it.
};
inline constexpr std::size_t kBoundEvents = 8;

class memory_budget;

/// A connection's part of the budget; gives it back at its end.
class memory_share {
 public:
  ~memory_share();
  memory_share(const memory_share&) = delete;
  memory_share& operator=(const memory_share&) = delete;

  /// @return whether the budget has closed the connection.
  bool closed() const { return closed_; }

 private:
  friend class memory_budget;
  /// By whom to close first: readers with and without much memory apart.
  enum class queue { kIdle, kReading, kReadingLarge, kWriting, kNone };
  static constexpr std::size_t kQueues = 5;

  memory_share(memory_budget& budget, std::function<void()> close)
      : budget_(budget), close_(std::move(close)) {}

  memory_budget& budget_;
  std::function<void()> close_;
  std::size_t held_ = 0;  ///< Bytes beyond those of every connection.
  connection_phase phase_ = connection_phase::kIdle;
  base::time_point last_progress_{};
  queue queue_ = queue::kNone;
  std::list<memory_share*>::iterator place_;
  bool closed_ = false;
};

class memory_budget {
 public:
  /// What each connection holds: touched pages of its fiber's stack, the
  /// stream and its read buffer.
  static constexpr std::size_t kConnectionBytes = 48 * 1024;
  /// Of a connection. What a connection holds beyond this is large, and takes
  /// no more than kLargePart of the budget.
  static constexpr std::size_t kOrdinaryBytes = 192 * 1024;
  static constexpr double kLargePart = 2.0 / 3;
  /// A request that is incomplete and brings no byte for so long may be closed
  /// for a large one. Callers send what they have begun.
  static constexpr std::chrono::milliseconds kStalledRead{1000};
  /// The same for an answer of which nothing is taken.
  static constexpr std::chrono::milliseconds kStalledWrite{2000};

  /// @param observe called at each event.
  explicit memory_budget(budget_bounds bounds,
                         std::function<void(bound_event)> observe = {});

  /// Admits a connection, if necessary in place of an idle or incomplete one.
  /// @param close closes the connection; called by the budget, once at most.
  /// @return null if there is no room.
  std::unique_ptr<memory_share> Admit(std::function<void()> close,
                                      base::time_point now);

  /// Sets what @p share holds beyond what each connection does. Ordinary bytes
  /// are found by closing idle and incomplete connections, large ones only by
  /// closing those that have stalled.
  /// @return false if there is no room; the share is unchanged.
  bool Resize(memory_share& share, std::size_t bytes, base::time_point now);

  /// Records that @p share enters @p phase, or makes progress in it.
  void SetPhase(memory_share& share,
                connection_phase phase,
                base::time_point now);

  /// Closes the connection that is to go first, if there is one.
  bool CloseOne(base::time_point now);

  void Report(bound_event event) const {
    if (observe_)
      observe_(event);
  }

  std::size_t held() const { return held_; }
  std::size_t connections() const { return connections_; }

 private:
  friend class memory_share;
  using queue = memory_share::queue;

  static std::size_t Large(std::size_t bytes) {
    return bytes > kOrdinaryBytes ? bytes - kOrdinaryBytes : 0;
  }
  std::list<memory_share*>& Queue(queue which) {
    return queues_[static_cast<std::size_t>(which)];
  }
  memory_share* Oldest(queue which,
                       base::duration at_least,
                       base::time_point now,
                       const memory_share* except);
  bool CloseForOrdinary(base::time_point now, const memory_share* except);
  bool CloseForLarge(base::time_point now, const memory_share* except);
  void Close(memory_share& share);
  static queue QueueOf(const memory_share& share);
  void Remove(memory_share& share);

  budget_bounds bounds_;
  std::size_t large_bound_;
  std::function<void(bound_event)> observe_;
  std::size_t held_ = 0;
  std::size_t large_ = 0;  ///< Of held_, beyond the ordinary bytes.
  std::size_t connections_ = 0;
  /// Each with the share first that has made no progress for longest.
  std::array<std::list<memory_share*>, memory_share::kQueues> queues_;
};

}  // namespace flamingoshunt::runtime

#endif  // FLAMINGOSHUNT_RUNTIME_MEMORY_BUDGET_H_
