// Defines the HTTP server of an I/O thread: one fiber for each connection, one
// exchange for each request. The handler answers whole or as a stream, and
// learns when the caller goes away meanwhile.
#ifndef FLAMINGOSHUNT_RUNTIME_HTTP_SERVER_H_
#define FLAMINGOSHUNT_RUNTIME_HTTP_SERVER_H_

#include <boost/beast/core/flat_buffer.hpp>

#include <algorithm>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "runtime/fiber_wait.h"
#include "runtime/memory_budget.h"
#include "runtime/request_reader.h"
#include "runtime/tcp.h"

namespace flamingoshunt::runtime {

using http_fields = std::vector<std::pair<std::string, std::string>>;

struct http_server_options {
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = 4 * 1024 * 1024;
  /// Without a budget, of the server's own.
  std::size_t max_connections = 10'000;
  /// What the callers of one or several servers of a thread make it hold; null
  /// for one that only max_connections bounds. Fixed when the server is made.
  std::shared_ptr<memory_budget> budget;
  /// Of the kernel's buffers of each connection; zero leaves them as they are.
  std::size_t socket_buffer_bytes = 0;
  /// A connection that sends no request for so long is closed.
  base::duration idle_timeout = std::chrono::seconds(60);
  /// The header of a request that has begun must be here within this, and each
  /// further byte; a body may take longer the more of it has come. Zero leaves
  /// it to the idle timeout.
  base::duration request_timeout{};
  /// A caller that takes no byte of its answer for so long is given up.
  base::duration write_timeout = std::chrono::seconds(20);
  bool share_port = false;  ///< Several threads listen on one port.
};

/// One request and its answer. Used by the fiber that the handler runs in.
class http_exchange {
 public:
  /// @param closing whether connections close after their current answer; read
  ///        when an answer begins.
  /// @param budget holds @p share, which has room for the request.
  http_exchange(tcp_stream& stream,
                http_request request,
                const http_server_options& options,
                const bool& closing,
                memory_budget& budget,
                memory_share& share,
                std::size_t held);
  ~http_exchange();
  http_exchange(const http_exchange&) = delete;
  http_exchange& operator=(const http_exchange&) = delete;

  const http_request& request() const { return request_; }

  /// @return whether the caller's end has closed. Bytes after the request hide
  ///         the close.
  bool caller_closed();

  /// @return the time since the caller's last bytes arrived: right after the
  ///         request was read, how long it lay unread. Empty where the system
  ///         doesn't measure it.
  std::optional<base::duration> unread_time();

  /// Calls @p gone at most once, from the event loop, when the caller's end
  /// closes before the answer is complete.
  void WatchCaller(std::function<void()> gone);

  /// Takes memory for an answer that is held whole before it is sent.
  /// @return whether there is room for @p bytes of it.
  bool HoldAnswer(std::size_t bytes);

  /// Shortens how long the caller may take no byte of this answer.
  void BoundWrites(base::duration timeout) {
    write_timeout_ = std::min(write_timeout_, timeout);
  }

  /// Sends a whole answer.
  void SendWhole(int status,
                 std::string_view content_type,
                 std::string body,
                 const http_fields& fields = {});

  /// Sends the head of a chunked answer.
  void StartStream(int status,
                   std::string_view content_type,
                   const http_fields& fields = {});

  /// Sends one chunk. @return false when the caller is gone.
  bool Write(std::string_view data);

  /// Completes a chunked answer.
  void EndStream();

  /// Ends the connection without completing the answer, so that the caller
  /// cannot take what it has for the whole.
  void Abort();

  bool answered() const { return answered_; }

  /// Lets the connection end with this answer, which says so.
  void CloseAfterAnswer() { keep_alive_ = false; }
  bool keep_alive() const { return keep_alive_; }

 private:
  struct caller_watch;
  void StopWatching();
  template <class Start>
  io_result AwaitWrite(Start start);

  tcp_stream& stream_;
  http_request request_;
  const bool& closing_;
  memory_budget& budget_;
  memory_share& share_;
  std::size_t held_;  ///< Of the request.
  base::duration write_timeout_;
  std::shared_ptr<caller_watch> watch_;
  bool answered_ = false;
  bool keep_alive_ = true;
};

/// Serves one listening address on the current thread's loop.
class http_server {
 public:
  using handler = std::function<void(http_exchange&)>;

  /// Listens at once; connections are accepted after Start.
  /// @throws base::user_error when the address can't be listened on.
  http_server(boost::asio::io_context& loop,
              const std::string& address,
              http_server_options options,
              handler handle);
  ~http_server();

  /// Starts the accepting fiber; call on the loop's thread, inside RunFibers.
  void Start();

  /// Changes the bounds for what is read from now on.
  void SetOptions(const http_server_options& options);

  /// Answers from now on tell their callers to open a new connection next time;
  /// new connections are still accepted.
  void CloseAfterAnswers();

  /// Stops accepting. Exchanges under way go on; each connection closes after
  /// its current answer, idle ones at once.
  void StopAccepting();

  /// Closes every connection now, cutting what is under way.
  void CloseAll();

  /// @return the address listened on, with the port that was given.
  std::string address() const;

  std::size_t connections() const;

  /// @return the budget of the server's options, or its own.
  const memory_budget& budget() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace flamingoshunt::runtime

#endif  // FLAMINGOSHUNT_RUNTIME_HTTP_SERVER_H_
