// Defines the sending side of a channel for messages that must not be lost:
// while the ring is full they wait in order beside it, up to a bound.
#ifndef FLAMINGOSHUNT_DUTY_OUTBOX_H_
#define FLAMINGOSHUNT_DUTY_OUTBOX_H_

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <deque>
#include <utility>

#include "base/errors.h"
#include "duty/channel.h"

namespace flamingoshunt::duty {

/// Used by the producer thread only.
template <class Message>
class outbox {
 public:
  /// @param loop the producer thread's own loop.
  outbox(boost::asio::io_context& loop, channel<Message>& ring)
      : ring_(ring), retry_(loop) {}

  /// Sends unless messages are waiting already or the ring is full.
  /// @param message moved from only when it is taken.
  /// @return whether it was taken.
  bool TrySend(Message& message) {
    return waiting_.empty() && ring_.TryPush(message);
  }

  /// Sends now or as soon as there is room, in the order of the calls.
  /// @throws base::internal_error when more than kMaxWaiting would wait: the
  ///         consumer is stuck, and losing the message would break a promise.
  void Send(Message message) {
    if (TrySend(message))
      return;
    FLAMINGOSHUNT_INVARIANT(waiting_.size() < kMaxWaiting, waiting_.size());
    waiting_.push_back(std::move(message));
    if (waiting_.size() == 1)
      RetryLater();
  }

  /// Sends what the consumer needs only when it next decides something; it may
  /// overtake nothing that waits.
  void SendQuietly(Message message) {
    if (!waiting_.empty() || !ring_.TryPushQuietly(message))
      Send(std::move(message));
  }

  std::size_t waiting() const { return waiting_.size(); }

 private:
  static constexpr std::size_t kMaxWaiting = 1U << 16;  // messages
  static constexpr auto kRetry = std::chrono::milliseconds(1);

  void RetryLater() {
    retry_.expires_after(kRetry);
    retry_.async_wait([this](const boost::system::error_code& error) {
      if (error)
        return;
      while (!waiting_.empty() && ring_.TryPush(waiting_.front()))
        waiting_.pop_front();
      if (!waiting_.empty())
        RetryLater();
    });
  }

  channel<Message>& ring_;
  std::deque<Message> waiting_;
  boost::asio::steady_timer retry_;
};

}  // namespace flamingoshunt::duty

#endif  // FLAMINGOSHUNT_DUTY_OUTBOX_H_
