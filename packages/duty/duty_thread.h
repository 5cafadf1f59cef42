// Defines the thread of one duty: an event loop that sleeps until a channel, a
// timer or a socket wakes it.
#ifndef FLAMINGOSHUNT_DUTY_DUTY_THREAD_H_
#define FLAMINGOSHUNT_DUTY_DUTY_THREAD_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>
#include <thread>

namespace flamingoshunt::duty {

class duty_thread {
 public:
  /// @param name shown by the operating system's tools; cut to 15 characters.
  explicit duty_thread(std::string name);

  /// Stops and joins.
  ~duty_thread();

  duty_thread(const duty_thread&) = delete;
  duty_thread& operator=(const duty_thread&) = delete;

  boost::asio::io_context& loop() { return loop_; }

  /// Starts the thread. Work posted to the loop before runs first.
  /// @param body runs the loop; the default calls io_context::run.
  void Start(std::function<void(boost::asio::io_context&)> body = {});

  /// Ends the loop and waits for the thread; harmless when it isn't running.
  void Stop();

 private:
  std::string name_;
  boost::asio::io_context loop_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::thread thread_;
};

}  // namespace flamingoshunt::duty

#endif  // FLAMINGOSHUNT_DUTY_DUTY_THREAD_H_
