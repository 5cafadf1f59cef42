#include "runtime/http_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/fiber/operations.hpp>

#include <sys/socket.h>

#include <exception>
#include <iterator>
#include <optional>

#include "runtime/fiber_scheduler.h"
#include "telemetry/log.h"

namespace flamingoshunt::runtime {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr int kHttpVersion = 11;  // HTTP/1.1 as Beast counts
constexpr std::size_t kFirstReadBytes = 4096;
constexpr auto kAcceptRetry = std::chrono::milliseconds(50);

template <class Message>
void SetFields(Message& message,
               std::string_view content_type,
               const http_fields& fields,
               bool keep_alive) {
  if (!content_type.empty())
    message.set(http::field::content_type,
                {content_type.data(), content_type.size()});
  for (const auto& [name, value] : fields)
    message.set(name, value);
  message.keep_alive(keep_alive);
}

// The parser takes a request in an encoding that it doesn't know for one
// without a body, and the body for the next request.
bool HasUnknownEncoding(const http_request& request) {
  const auto fields = request.equal_range(http::field::transfer_encoding);
  return fields.first != fields.second &&
         (std::next(fields.first) != fields.second ||
          !beast::iequals(fields.first->value(), "chunked"));
}

}  // namespace

// Shared with the pending wait, which may complete after the exchange is gone.
struct http_exchange::caller_watch {
  bool active = true;
  std::function<void()> gone;
};

http_exchange::http_exchange(tcp_stream& stream,
                             http_request request,
                             const http_server_options& options,
                             const bool& closing)
    : stream_(stream),
      request_(std::move(request)),
      options_(options),
      closing_(closing),
      keep_alive_(request_.keep_alive()) {}

http_exchange::~http_exchange() {
  StopWatching();
}

bool http_exchange::caller_closed() {
  return PeekSocket(stream_) == socket_state::kPeerClosed;
}

std::optional<base::duration> http_exchange::unread_time() {
  return SinceLastArrival(stream_);
}

void http_exchange::WatchCaller(std::function<void()> gone) {
  watch_ = std::make_shared<caller_watch>();
  watch_->gone = std::move(gone);
  stream_.socket().async_wait(
      tcp::socket::wait_read,
      [watch = watch_, &stream = stream_](beast::error_code error) {
        if (!watch->active || error)
          return;
        watch->active = false;
        // Readable means either a pipelined request or the end of the stream.
        if (PeekSocket(stream) != socket_state::kHasBytes)
          watch->gone();
      });
}

void http_exchange::StopWatching() {
  if (!watch_)
    return;
  watch_->active = false;
  watch_.reset();
  beast::error_code ignored;
  stream_.socket().cancel(ignored);
}

void http_exchange::SendWhole(int status,
                              std::string_view content_type,
                              std::string body,
                              const http_fields& fields) {
  keep_alive_ = keep_alive_ && !closing_;
  http::response<http::string_body> response(static_cast<http::status>(status),
                                             kHttpVersion);
  SetFields(response, content_type, fields, keep_alive_);
  response.body() = std::move(body);
  response.prepare_payload();
  answered_ = true;
  stream_.expires_after(options_.write_timeout);
  const io_result sent = AwaitIo([&](auto done) {
    http::async_write(stream_, response, std::move(done));
  });
  if (sent.error)
    keep_alive_ = false;
}

void http_exchange::StartStream(int status,
                                std::string_view content_type,
                                const http_fields& fields) {
  keep_alive_ = keep_alive_ && !closing_;
  http::response<http::empty_body> response(static_cast<http::status>(status),
                                            kHttpVersion);
  SetFields(response, content_type, fields, keep_alive_);
  response.chunked(true);
  http::response_serializer<http::empty_body> serializer(response);
  answered_ = true;
  stream_.expires_after(options_.write_timeout);
  const io_result sent = AwaitIo([&](auto done) {
    http::async_write_header(stream_, serializer, std::move(done));
  });
  if (sent.error)
    keep_alive_ = false;
}

bool http_exchange::Write(std::string_view data) {
  if (data.empty())
    return true;
  stream_.expires_after(options_.write_timeout);
  const auto chunk = http::make_chunk(asio::buffer(data.data(), data.size()));
  const io_result sent = AwaitIo(
      [&](auto done) { asio::async_write(stream_, chunk, std::move(done)); });
  if (sent.error)
    keep_alive_ = false;
  return !sent.error;
}

void http_exchange::EndStream() {
  stream_.expires_after(options_.write_timeout);
  const io_result sent = AwaitIo([&](auto done) {
    asio::async_write(stream_, http::make_chunk_last(), std::move(done));
  });
  if (sent.error)
    keep_alive_ = false;
}

void http_exchange::Abort() {
  answered_ = true;
  keep_alive_ = false;
}

struct http_server::state : std::enable_shared_from_this<state> {
  struct connection {
    explicit connection(tcp_socket socket) : stream(std::move(socket)) {}
    tcp_stream stream;
    bool idle = true;
  };

  /// Ends a connection with its fiber, also when an error ends that.
  class open_connection {
   public:
    using iterator = std::list<std::shared_ptr<connection>>::iterator;
    open_connection(state& owner, iterator place)
        : owner_(owner), place_(place) {}
    ~open_connection() {
      beast::error_code ignored;
      (*place_)->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
      (*place_)->stream.close();
      owner_.open.erase(place_);
    }
    open_connection(const open_connection&) = delete;
    open_connection& operator=(const open_connection&) = delete;

   private:
    state& owner_;
    iterator place_;
  };

  state(asio::io_context& event_loop,
        http_server_options server_options,
        handler request_handler)
      : loop(event_loop),
        acceptor(event_loop),
        options(server_options),
        handle(std::move(request_handler)) {}

  void Listen(const std::string& address);
  void AcceptLoop();
  void Serve(connection& peer);
  io_result AwaitFirstBytes(connection& peer, beast::flat_buffer& buffer);
  bool ServeOne(connection& peer, beast::flat_buffer& buffer);
  void Answer(http_exchange& exchange);

  asio::io_context& loop;
  asio::basic_socket_acceptor<tcp, asio::io_context::executor_type> acceptor;
  http_server_options options;
  handler handle;
  std::list<std::shared_ptr<connection>> open;
  bool accepting = true;
  bool closing = false;
  tcp::endpoint bound;
};

void http_server::state::Listen(const std::string& address) {
  const tcp::endpoint endpoint = ParseAddress(address);
  try {
    acceptor.open(endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    if (options.share_port) {
      const int enabled = 1;
      setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_REUSEPORT, &enabled,
                 sizeof(enabled));
    }
    acceptor.bind(endpoint);
    acceptor.listen(asio::socket_base::max_listen_connections);
    bound = acceptor.local_endpoint();
  } catch (const boost::system::system_error& error) {
    throw base::user_error("listen address \"" + address +
                           "\": " + error.code().message());
  }
}

void http_server::state::AcceptLoop() {
  while (accepting) {
    tcp_socket socket(loop.get_executor());
    const io_result accepted = AwaitIo(
        [&](auto done) { acceptor.async_accept(socket, std::move(done)); });
    if (!accepting)
      return;
    if (accepted.error) {
      // Out of descriptors, most likely: wait for some to close.
      boost::this_fiber::sleep_for(kAcceptRetry);
      continue;
    }
    if (open.size() >= options.max_connections)
      continue;
    SetSocketOptions(socket, options.write_timeout);
    auto peer = std::make_shared<connection>(std::move(socket));
    const auto place = open.insert(open.end(), peer);
    SpawnFiber([self = shared_from_this(), peer, place] {
      const open_connection held(*self, place);
      self->Serve(*peer);
    });
  }
}

void http_server::state::Serve(connection& peer) {
  beast::flat_buffer buffer;
  while (ServeOne(peer, buffer)) {
  }
}

// Only the wait for the first bytes of a request is idle time.
io_result http_server::state::AwaitFirstBytes(connection& peer,
                                              beast::flat_buffer& buffer) {
  if (!accepting && PeekSocket(peer.stream) != socket_state::kHasBytes)
    return {asio::error::operation_aborted};
  const auto read_some = [&] {
    peer.stream.expires_after(options.idle_timeout);
    const io_result read = AwaitIo([&](auto done) {
      peer.stream.async_read_some(buffer.prepare(kFirstReadBytes),
                                  std::move(done));
    });
    buffer.commit(read.bytes);
    return read;
  };
  peer.idle = true;
  io_result read = read_some();
  peer.idle = false;
  const bool told_to_stop =
      !accepting && read.error == asio::error::operation_aborted;
  if (told_to_stop && PeekSocket(peer.stream) == socket_state::kHasBytes)
    read = read_some();
  return read;
}

bool http_server::state::ServeOne(connection& peer,
                                  beast::flat_buffer& buffer) {
  http::request_parser<http::string_body> parser;
  parser.header_limit(static_cast<std::uint32_t>(options.max_header_bytes));
  parser.body_limit(options.max_body_bytes);
  io_result read;
  if (buffer.size() == 0) {
    read = AwaitFirstBytes(peer, buffer);
    peer.stream.expires_after(options.request_timeout > base::duration::zero()
                                  ? options.request_timeout
                                  : options.idle_timeout);
  }
  if (!read.error) {
    read = AwaitIo([&](auto done) {
      http::async_read(peer.stream, buffer, parser, std::move(done));
    });
  }
  if (!read.error && HasUnknownEncoding(parser.get()))
    read.error = http::error::bad_transfer_encoding;
  http_exchange exchange(peer.stream, parser.release(), options, closing);
  if (read.error) {
    const bool too_large = read.error == http::error::body_limit;
    const bool long_header = read.error == http::error::header_limit;
    const bool malformed =
        read.error.category() ==
            http::make_error_code(http::error::bad_method).category() &&
        read.error != http::error::end_of_stream &&
        read.error != http::error::partial_message;
    if (malformed) {
      exchange.CloseAfterAnswer();
      exchange.SendWhole(
          too_large ? 413 : (long_header ? 431 : 400),
          "application/problem+json",
          R"({"type":"malformed_request","outcome":"not_run","detail":")" +
              read.error.message() + "\"}");
    }
    return false;
  }
  Answer(exchange);
  return exchange.keep_alive();
}

void http_server::state::Answer(http_exchange& exchange) {
  try {
    handle(exchange);
  } catch (const std::exception& error) {
    // The handler reports its own errors; what escapes it is a defect, and the
    // caller must not take a partial answer for a whole one.
    telemetry::LogChange("runtime", "handler_failed",
                         {{"target", std::string(exchange.request().target())},
                          {"why", error.what()},
                          {"answered", exchange.answered()}},
                         telemetry::log_level::kError);
    if (exchange.answered()) {
      exchange.Abort();
      return;
    }
  }
  if (!exchange.answered())
    exchange.SendWhole(500, "application/problem+json",
                       R"({"type":"internal_error","outcome":"unknown"})");
}

http_server::http_server(asio::io_context& loop,
                         const std::string& address,
                         http_server_options options,
                         handler handle)
    : state_(std::make_shared<state>(loop, options, std::move(handle))) {
  state_->Listen(address);
}

http_server::~http_server() = default;

void http_server::Start() {
  SpawnFiber([self = state_] { self->AcceptLoop(); });
}

void http_server::SetOptions(const http_server_options& options) {
  state_->options = options;
}

void http_server::CloseAfterAnswers() {
  state_->closing = true;
}

void http_server::StopAccepting() {
  state_->accepting = false;
  state_->closing = true;
  beast::error_code ignored;
  state_->acceptor.close(ignored);
  // Their fibers decide: a request may have been read already, or lie in the
  // socket.
  for (const auto& peer : state_->open) {
    if (peer->idle)
      peer->stream.cancel();
  }
}

void http_server::CloseAll() {
  StopAccepting();
  for (const auto& peer : state_->open)
    peer->stream.close();
}

std::string http_server::address() const {
  return FormatAddress(state_->bound);
}

std::size_t http_server::connections() const {
  return state_->open.size();
}

}  // namespace flamingoshunt::runtime
