// Defines the fiber scheduler of an I/O thread: ready fibers run first come
// first served, and when none is ready the thread sleeps in its Asio loop.
#ifndef FLAMINGOSHUNT_RUNTIME_FIBER_SCHEDULER_H_
#define FLAMINGOSHUNT_RUNTIME_FIBER_SCHEDULER_H_

#include <boost/asio/io_context.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>

#include <chrono>
#include <functional>

namespace flamingoshunt::runtime {

/// Joins Boost.Fiber and Boost.Asio on one thread. Completion handlers run in
/// the dispatcher fiber: they may wake fibers but never block. One that throws
/// a std::exception is logged, and the others run.
class fiber_scheduler final : public boost::fibers::algo::algorithm {
 public:
  /// @param loop must outlive the thread, since the thread's scheduler dies
  ///        only at thread exit.
  explicit fiber_scheduler(boost::asio::io_context& loop) : loop_(loop) {}

  void awakened(boost::fibers::context* context) noexcept override;
  boost::fibers::context* pick_next() noexcept override;
  bool has_ready_fibers() const noexcept override;
  void suspend_until(
      const std::chrono::steady_clock::time_point& when) noexcept override;
  void notify() noexcept override;

 private:
  boost::asio::io_context& loop_;
  boost::fibers::scheduler::ready_queue_type ready_;
  unsigned rounds_ = 0;
};

/// Runs a thread's fibers until the loop is stopped: installs the scheduler,
/// calls @p main in the thread's main fiber and returns when that returns.
void RunFibers(boost::asio::io_context& loop,
               const std::function<void()>& main);

/// Starts a detached fiber with the stack size of request handling. If @p body
/// throws a std::exception, the fiber ends with a log line.
void SpawnFiber(std::function<void()> body);

}  // namespace flamingoshunt::runtime

#endif  // FLAMINGOSHUNT_RUNTIME_FIBER_SCHEDULER_H_
