// Defines the channel that joins two duty threads: a bounded ring with one
// producer thread and one consumer thread. The consumer sleeps in its event
// loop and is woken by the first message after it has emptied the ring, so
// neither an idle nor a busy thread polls. A full ring is told to the producer,
// which pushes back or refuses; nothing is dropped silently.
#ifndef FLAMINGOSHUNT_DUTY_CHANNEL_H_
#define FLAMINGOSHUNT_DUTY_CHANNEL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstddef>
#include <exception>
#include <functional>
#include <memory>
#include <utility>

#include "telemetry/log.h"

namespace flamingoshunt::duty {

template <class Message>
class channel {
 public:
  using receiver = std::function<void(Message&&)>;

  /// @param capacity messages that fit before TryPush refuses.
  /// @param loop the consumer thread's event loop; must outlive the channel.
  /// @param receive called on the consumer thread for each message in order; a
  ///        std::exception from it ends the handling of that message only.
  channel(std::size_t capacity, boost::asio::io_context& loop, receiver receive)
      : ring_(capacity), loop_(loop), receive_(std::move(receive)) {}

  ~channel() {
    ring_.consume_all([](Message* message) { delete message; });
  }

  channel(const channel&) = delete;
  channel& operator=(const channel&) = delete;

  /// Called by the producer thread only.
  /// @param message moved from only when it is taken.
  /// @return whether it was taken.
  bool TryPush(Message& message) {
    if (ring_.write_available() == 0)
      return false;
    ring_.push(new Message(std::move(message)));
    if (!wake_pending_.exchange(true, std::memory_order_acq_rel))
      boost::asio::post(loop_, [this] { Drain(); });
    return true;
  }

  /// As TryPush, but lets the consumer sleep: it finds the message when it next
  /// wakes for another one or calls TakePending().
  bool TryPushQuietly(Message& message) {
    if (ring_.write_available() == 0)
      return false;
    ring_.push(new Message(std::move(message)));
    return true;
  }

  /// Called by the consumer thread only: receives what is waiting now.
  void TakePending() {
    Message* next = nullptr;
    while (ring_.pop(next)) {
      const std::unique_ptr<Message> message(next);
      Receive(std::move(*message));
    }
  }

  /// Messages waiting; exact on the consumer thread only.
  std::size_t size() const { return ring_.read_available(); }

 private:
  // One turn takes a bounded number, so that timers and sockets of the same
  // loop get theirs under a flood of messages.
  static constexpr std::size_t kMessagesPerTurn = 256;

  // A message that can't be handled must not keep those after it waiting.
  void Receive(Message&& message) {
    try {
      receive_(std::move(message));
    } catch (const std::exception& error) {
      telemetry::LogChange("duty", "message_failed", {{"why", error.what()}},
                           telemetry::log_level::kError);
    }
  }

  void Drain() {
    // Cleared before the ring is read: a message pushed after the last read
    // then finds the flag clear and posts a new wake-up.
    wake_pending_.exchange(false, std::memory_order_acq_rel);
    for (std::size_t taken = 0; taken < kMessagesPerTurn; ++taken) {
      Message* next = nullptr;
      if (!ring_.pop(next))
        return;
      const std::unique_ptr<Message> message(next);
      Receive(std::move(*message));
    }
    if (!wake_pending_.exchange(true, std::memory_order_acq_rel))
      boost::asio::post(loop_, [this] { Drain(); });
  }

  // Pointers, since the ring of Boost 1.81 copies its elements.
  boost::lockfree::spsc_queue<Message*> ring_;
  std::atomic<bool> wake_pending_{false};
  boost::asio::io_context& loop_;
  receiver receive_;
};

}  // namespace flamingoshunt::duty

#endif  // FLAMINGOSHUNT_DUTY_CHANNEL_H_
