#include "runtime/fiber_scheduler.h"

#include <boost/asio/post.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/pooled_fixedsize_stack.hpp>

#include <exception>
#include <memory>
#include <string>
#include <utility>

#include "telemetry/log.h"

namespace flamingoshunt::runtime {
namespace {

// Exceptions, JSON parsing to its depth bound and Beast's parsers fit with
// room to spare, also under the sanitizers' larger frames.
constexpr std::size_t kStackBytes = 128 * 1024;
// Rounds of ready fibers after which the sockets are looked at; each look is a
// system call.
constexpr unsigned kRoundsPerPoll = 4;

boost::fibers::pooled_fixedsize_stack& StackPool() {
  thread_local boost::fibers::pooled_fixedsize_stack pool(kStackBytes);
  return pool;
}

// An exception that leaves a fiber or a completion handler would end the
// process, with the requests of all other fibers.
template <class Body>
void RunContained(const char* failure, const Body& body) {
  try {
    body();
  } catch (const std::exception& error) {
    telemetry::LogChange("runtime", failure,
                         {{"why", std::string(error.what())}},
                         telemetry::log_level::kError);
  }
}

// What is left after a handler has failed runs with the next look at the loop.
template <class Run>
void RunHandlers(const Run& run) {
  RunContained("loop_handler_failed", run);
}

}  // namespace

void fiber_scheduler::awakened(boost::fibers::context* context) noexcept {
  context->ready_link(ready_);
}

boost::fibers::context* fiber_scheduler::pick_next() noexcept {
  // A suspending fiber calls this with library locks held; running handlers
  // there would deadlock. The dispatcher holds none, and its turn comes once
  // in every round of the queue.
  // With nothing ready the thread is about to wait in the loop anyway.
  const auto* active = boost::fibers::context::active();
  if (!ready_.empty() &&
      active->is_context(boost::fibers::type::dispatcher_context) &&
      ++rounds_ % kRoundsPerPoll == 0)
    RunHandlers([this] { loop_.poll(); });
  if (ready_.empty())
    return nullptr;
  boost::fibers::context* next = &ready_.front();
  ready_.pop_front();
  return next;
}

bool fiber_scheduler::has_ready_fibers() const noexcept {
  return !ready_.empty();
}

void fiber_scheduler::suspend_until(
    const std::chrono::steady_clock::time_point& when) noexcept {
  RunHandlers([&] {
    if (when == (std::chrono::steady_clock::time_point::max)())
      loop_.run_one();
    else
      loop_.run_one_until(when);
    loop_.poll();
  });
}

void fiber_scheduler::notify() noexcept {
  boost::asio::post(loop_, [] {});
}

void RunFibers(boost::asio::io_context& loop,
               const std::function<void()>& main) {
  boost::fibers::use_scheduling_algorithm<fiber_scheduler>(loop);
  main();
}

void SpawnFiber(std::function<void()> body) {
  boost::fibers::fiber(
      boost::fibers::launch::post, std::allocator_arg, StackPool(),
      [body = std::move(body)] { RunContained("fiber_failed", body); })
      .detach();
}

}  // namespace flamingoshunt::runtime
