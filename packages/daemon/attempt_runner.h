// Defines the running of attempts on an I/O thread: one fiber for each attempt
// carries its HTTP exchange with the endpoint and hands the pieces of the
// answer to whoever started it.
#ifndef FLAMINGOSHUNT_DAEMON_ATTEMPT_RUNNER_H_
#define FLAMINGOSHUNT_DAEMON_ATTEMPT_RUNNER_H_

#include <functional>
#include <memory>
#include <unordered_map>
#include <variant>

#include "base/clock.h"
#include "endpoint/messages.h"
#include "runtime/http_client.h"

namespace flamingoshunt::daemon {

using answer_event = std::variant<endpoint::answer_head,
                                  endpoint::answer_chunk,
                                  endpoint::answer_end,
                                  endpoint::answer_broken>;

/// Takes the events of one attempt; may suspend the calling fiber to push back.
using answer_sink = std::function<void(answer_event)>;

struct attempt_options {
  base::duration connect_timeout = std::chrono::seconds(1);
  base::duration write_timeout = std::chrono::seconds(5);
  /// Backstop below the bounds on progress that delivery itself keeps.
  base::duration read_timeout = std::chrono::seconds(90);
};

class attempt_runner {
 public:
  attempt_runner(boost::asio::io_context& loop, attempt_options options)
      : loop_(loop), pool_(loop), options_(options) {}

  /// Starts an attempt in a fiber of its own; @p sink gets at most one head,
  /// chunks, then exactly one end or break, unless it is cancelled.
  void Start(endpoint::attempt request, answer_sink sink);

  /// Closes the attempt's connection, which is what tells an engine to stop;
  /// nothing reaches its sink any more.
  void Cancel(base::attempt_id id);

  std::size_t running() const { return running_.size(); }

  /// Closes idle connections.
  void Clear() { pool_.Clear(); }

 private:
  struct running_attempt;

  void Run(running_attempt& attempt);
  void Exchange(running_attempt& attempt);
  void SendRequest(running_attempt& attempt);
  void ReadStream(running_attempt& attempt);
  void ReadBytes(running_attempt& attempt);

  boost::asio::io_context& loop_;
  runtime::connection_pool pool_;
  attempt_options options_;
  std::unordered_map<base::attempt_id, std::shared_ptr<running_attempt>>
      running_;
};

}  // namespace flamingoshunt::daemon

#endif  // FLAMINGOSHUNT_DAEMON_ATTEMPT_RUNNER_H_
