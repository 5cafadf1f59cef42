// Defines how a fiber waits: for the completion of one asynchronous operation,
// for a signal, and for the next message of a queue. Everything here stays on
// one thread; between threads only channels carry messages.
#ifndef FLAMINGOSHUNT_RUNTIME_FIBER_WAIT_H_
#define FLAMINGOSHUNT_RUNTIME_FIBER_WAIT_H_

#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>
#include <deque>
#include <utility>
#include <vector>

namespace flamingoshunt::runtime {

struct io_result {
  boost::system::error_code error;
  std::size_t bytes = 0;
};

/// Wakes at most one waiting fiber of the same thread.
class fiber_signal {
 public:
  /// Suspends the calling fiber until Notify; returns at once when a Notify
  /// came before.
  void Wait() {
    if (!notified_) {
      waiter_ = boost::fibers::context::active();
      waiter_->suspend();
    }
    notified_ = false;
  }

  void Notify() {
    notified_ = true;
    if (boost::fibers::context* waiter = std::exchange(waiter_, nullptr))
      boost::fibers::context::active()->schedule(waiter);
  }

 private:
  bool notified_ = false;
  boost::fibers::context* waiter_ = nullptr;
};

/// Wakes all fibers of the same thread that wait at the moment.
class fiber_event {
 public:
  void Wait() {
    boost::fibers::context* self = boost::fibers::context::active();
    waiters_.push_back(self);
    self->suspend();
  }

  void NotifyAll() {
    for (boost::fibers::context* waiter : std::exchange(waiters_, {}))
      boost::fibers::context::active()->schedule(waiter);
  }

 private:
  std::vector<boost::fibers::context*> waiters_;
};

/// Starts an asynchronous operation and suspends the fiber until it completes.
///
///   io_result read = AwaitIo([&](auto done) {
///     http::async_read(stream, buffer, request, std::move(done));
///   });
template <class Start>
io_result AwaitIo(Start start) {
  io_result result;
  fiber_signal completed;
  start([&result, &completed](boost::system::error_code error,
                              std::size_t bytes = 0) {
    result = {error, bytes};
    completed.Notify();
  });
  completed.Wait();
  return result;
}

/// Messages for one fiber from handlers and other fibers of its thread.
template <class Message>
class fiber_queue {
 public:
  void Push(Message message) {
    messages_.push_back(std::move(message));
    arrived_.Notify();
  }

  /// Waits until a message is there and takes it.
  Message Pop() {
    while (messages_.empty())
      arrived_.Wait();
    Message message = std::move(messages_.front());
    messages_.pop_front();
    return message;
  }

  bool empty() const { return messages_.empty(); }
  std::size_t size() const { return messages_.size(); }

 private:
  std::deque<Message> messages_;
  fiber_signal arrived_;
};

}  // namespace flamingoshunt::runtime

#endif  // FLAMINGOSHUNT_RUNTIME_FIBER_WAIT_H_
