// Defines the HTTP client of an I/O thread: a connection whose steps (connect,
// write, read the head, read more) each have their own time bound, and a pool
// of idle connections for requests that may be repeated.
#ifndef FLAMINGOSHUNT_RUNTIME_HTTP_CLIENT_H_
#define FLAMINGOSHUNT_RUNTIME_HTTP_CLIENT_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "runtime/http_server.h"
#include "runtime/tcp.h"

namespace flamingoshunt::runtime {

struct http_response_head {
  int status = 0;
  std::string content_type;
  http_fields fields;
};

/// One client connection, used by one fiber; Close may come from another fiber
/// of the same thread and makes the waiting step fail.
class http_connection {
 public:
  explicit http_connection(boost::asio::io_context& loop);
  /// Closes the connection.
  ~http_connection();
  http_connection(const http_connection&) = delete;
  http_connection& operator=(const http_connection&) = delete;

  /// @throws transport_error: kRefused if the connection is refused or
  ///         @p address is not IP:port, kConnect for other failures.
  void Connect(const std::string& address, base::duration timeout);

  /// Changes how long the other end may be silent on the wire, probes included,
  /// before the kernel gives the connection up.
  void BoundSilence(base::duration silence);

  /// Writes a whole request. @throws transport_error.
  void Send(http_request& request, base::duration timeout);

  /// Waits for the head of the final answer; interim answers (1xx) before it
  /// are skipped. @throws transport_error.
  http_response_head ReadHead(base::duration timeout);

  /// Appends the remaining body to @p out.
  /// @param max_bytes of @p out; a longer body is an error (kMalformed).
  /// @param timeout   bounds the whole body, however its bytes arrive.
  /// @throws transport_error.
  void ReadRest(std::string& out,
                std::size_t max_bytes,
                base::duration timeout);

  /// Appends what has arrived of the body to @p out, at least one byte.
  /// @param timeout kNoTimeout for none.
  /// @return false at the end of a complete body. @throws transport_error, also
  /// when the connection ends before the body is complete.
  bool ReadSome(std::string& out, base::duration timeout);

  /// Ends the connection; harmless when it is closed. While a request has no
  /// complete answer the connection is reset, so that bytes of the request that
  /// are still in the send buffer never arrive.
  void Close();

  /// @return whether nothing has arrived since the last answer. Bytes that
  ///         belong to no request, or the other end's close, make an idle
  ///         connection unfit for another request.
  bool quiet();

  /// @return whether the answer whose head was read has a length or chunks, so
  ///         that its end differs from the end of the connection.
  bool is_delimited() const { return parser_ && !parser_->need_eof(); }

  /// Reads the next answer on the same connection, after one that belonged to
  /// an earlier request was read to its end.
  void ExpectAnother();

  /// @return the bytes that the other end had not acknowledged when the
  ///         connection closed before the end of an answer; empty otherwise, or
  ///         where the system doesn't count them.
  std::optional<std::size_t> unacknowledged_at_close() const {
    return unacknowledged_at_close_;
  }

  /// @return whether any byte of the last request may have left.
  bool request_may_have_left() const { return request_may_have_left_; }

  /// @return whether the last exchange was complete and the other end keeps the
  ///         connection open.
  bool reusable() const { return reusable_; }

  const std::string& address() const { return address_; }

  /// @return how long the other end keeps the connection when idle, as it said
  ///         last; zero when it didn't say.
  base::duration announced_idle() const { return announced_idle_; }

 private:
  using body_parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  void StartParser();
  [[noreturn]] void Fail(const boost::system::error_code& error);

  tcp_stream stream_;
  std::string address_;
  boost::beast::flat_buffer buffer_;
  std::optional<body_parser> parser_;
  bool request_may_have_left_ = false;
  bool awaiting_answer_ = false;  ///< From Send to the end of the answer.
  bool reusable_ = false;
  bool closed_ = false;
  std::optional<std::size_t> unacknowledged_at_close_;
  base::duration announced_idle_{};
};

/// Idle connections by address, bounded for each address.
class connection_pool {
 public:
  explicit connection_pool(boost::asio::io_context& loop) : loop_(loop) {}

  /// @return an idle connection, or null when there is none.
  std::unique_ptr<http_connection> TakeIdle(const std::string& address);

  /// @return a new connection. @throws transport_error (kConnect).
  std::unique_ptr<http_connection> Open(const std::string& address,
                                        base::duration timeout);

  /// Keeps a reusable connection, closes any other.
  void Return(std::unique_ptr<http_connection> connection);

  /// Closes the idle connections of @p address, after one proved silent.
  void Forget(const std::string& address);

  /// Closes all idle connections.
  void Clear() { idle_.clear(); }

 private:
  struct idle_connection {
    std::unique_ptr<http_connection> connection;
    std::chrono::steady_clock::time_point since;
  };

  boost::asio::io_context& loop_;
  std::map<std::string, std::vector<idle_connection>> idle_;
};

struct http_reply {
  http_response_head head;
  std::string body;
};

/// Longest body of an answer that is read into memory as a whole.
inline constexpr std::size_t kMaxReplyBytes = 16 * 1024 * 1024;

/// Sends one request on @p connection and reads its whole answer.
/// @param timeout bounds the writing, the head and the body, each as a whole.
/// @throws transport_error, also for a body above kMaxReplyBytes.
http_reply Exchange(http_connection& connection,
                    http_request& request,
                    base::duration timeout);

/// Sends one request and reads its whole answer, over an idle connection where
/// there is one; a fresh one is tried once when the idle one proves dead, which
/// makes this fit only for requests that may be repeated.
/// @param timeout as of Exchange. @throws transport_error.
http_reply Fetch(connection_pool& pool,
                 const std::string& address,
                 http_request request,
                 base::duration timeout);

/// @return a request with the usual fields set.
http_request MakeRequest(std::string_view method,
                         std::string_view target,
                         std::string_view host,
                         std::string body = {},
                         std::string_view content_type = {});

}  // namespace flamingoshunt::runtime

#endif  // FLAMINGOSHUNT_RUNTIME_HTTP_CLIENT_H_
