#include "runtime/http_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/fiber/operations.hpp>

#include <sys/socket.h>

#include <algorithm>
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
constexpr std::size_t kBodyReadBytes = 16 * 1024;
// Of a request that is being served, beside its bytes: the deeper stack of its
// fiber and its connection to a replica.
constexpr std::size_t kServingBytes = 32 * 1024;
// A body that comes more slowly than this, beyond the time for a header, is
// given up. In bytes a second.
constexpr std::size_t kSlowestBody = 32 * 1024;
// Of a caller whose request there is no memory for; what stalls is closed by
// then.
constexpr const char* kRetryAfterSeconds = "1";
// What a caller has sent of a refused request is read for so long, since a
// close with unread bytes would take the refusal from it.
constexpr std::size_t kMaxDiscardedBytes = 256 * 1024;
constexpr auto kDiscardTimeout = std::chrono::milliseconds(300);
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

base::time_point Now() {
  static const base::system_clock clock;
  return clock.Now();
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
                             const bool& closing,
                             memory_budget& budget,
                             memory_share& share,
                             std::size_t held)
    : stream_(stream),
      request_(std::move(request)),
      closing_(closing),
      budget_(budget),
      share_(share),
      held_(held),
      write_timeout_(options.write_timeout),
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

bool http_exchange::HoldAnswer(std::size_t bytes) {
  const bool has_room = budget_.Resize(share_, held_ + bytes, Now());
  if (!has_room && !share_.closed())
    budget_.Report(bound_event::kAnswerNotBuffered);
  return has_room;
}

// A write counts from its start: how much of it was taken isn't known.
template <class Start>
io_result http_exchange::AwaitWrite(Start start) {
  stream_.expires_after(write_timeout_);
  budget_.SetPhase(share_, connection_phase::kWriting, Now());
  const io_result sent = AwaitIo(std::move(start));
  budget_.SetPhase(share_, connection_phase::kServing, {});
  if (sent.error)
    keep_alive_ = false;
  return sent;
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
  AwaitWrite([&](auto done) {
    http::async_write(stream_, response, std::move(done));
  });
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
  AwaitWrite([&](auto done) {
    http::async_write_header(stream_, serializer, std::move(done));
  });
}

bool http_exchange::Write(std::string_view data) {
  if (data.empty())
    return true;
  const auto chunk = http::make_chunk(asio::buffer(data.data(), data.size()));
  return !AwaitWrite([&](auto done) {
            asio::async_write(stream_, chunk, std::move(done));
          }).error;
}

void http_exchange::EndStream() {
  AwaitWrite([&](auto done) {
    asio::async_write(stream_, http::make_chunk_last(), std::move(done));
  });
}

void http_exchange::Abort() {
  answered_ = true;
  keep_alive_ = false;
}

struct http_server::state : std::enable_shared_from_this<state> {
  struct connection {
    explicit connection(tcp_socket socket) : stream(std::move(socket)) {}
    tcp_stream stream;
    std::unique_ptr<memory_share> share;
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
      (*place_)->share.reset();
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
        budget(server_options.budget
                   ? server_options.budget
                   : std::make_shared<memory_budget>(budget_bounds{
                         .connections = server_options.max_connections})),
        handle(std::move(request_handler)) {}

  void Listen(const std::string& address);
  void AcceptLoop();
  void Serve(connection& peer);
  io_result AwaitFirstBytes(connection& peer, beast::flat_buffer& buffer);
  io_result ReadSome(connection& peer,
                     beast::flat_buffer& buffer,
                     std::size_t bytes);
  bool ReadRequest(connection& peer,
                   beast::flat_buffer& buffer,
                   request_reader& reader);
  bool Hold(connection& peer, std::size_t bytes, bool more_comes);
  bool ServeOne(connection& peer, beast::flat_buffer& buffer);
  void Refuse(connection& peer,
              int status,
              const std::string& type,
              const std::string& detail,
              const http_fields& fields = {});
  void Discard(connection& peer);
  void Answer(http_exchange& exchange);

  asio::io_context& loop;
  asio::basic_socket_acceptor<tcp, asio::io_context::executor_type> acceptor;
  http_server_options options;
  std::shared_ptr<memory_budget> budget;
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
      // Out of descriptors, most likely.
      if (!budget->CloseOne(Now()))
        boost::this_fiber::sleep_for(kAcceptRetry);
      continue;
    }
    SetSocketOptions(socket, options.write_timeout);
    if (options.socket_buffer_bytes > 0)
      SetBufferSizes(socket, options.socket_buffer_bytes);
    auto peer = std::make_shared<connection>(std::move(socket));
    peer->share =
        budget->Admit([&closed = *peer] { closed.stream.close(); }, Now());
    if (!peer->share)
      continue;
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

io_result http_server::state::ReadSome(connection& peer,
                                       beast::flat_buffer& buffer,
                                       std::size_t bytes) {
  const io_result read = AwaitIo([&](auto done) {
    peer.stream.async_read_some(buffer.prepare(bytes), std::move(done));
  });
  buffer.commit(read.bytes);
  return read;
}

// Only the wait for the first bytes of a request is idle time.
io_result http_server::state::AwaitFirstBytes(connection& peer,
                                              beast::flat_buffer& buffer) {
  if (!accepting && PeekSocket(peer.stream) != socket_state::kHasBytes)
    return {asio::error::operation_aborted};
  const auto read_some = [&] {
    peer.stream.expires_after(options.idle_timeout);
    return ReadSome(peer, buffer, kFirstReadBytes);
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

// Sets what the connection's request holds, or refuses the request.
bool http_server::state::Hold(connection& peer,
                              std::size_t bytes,
                              bool more_comes) {
  if (budget->Resize(*peer.share, bytes, Now()))
    return true;
  if (peer.share->closed())
    return false;
  budget->Report(bound_event::kRequestRefused);
  Refuse(peer, 503, "overloaded", "no memory for the request",
         {{"Retry-After", kRetryAfterSeconds}});
  if (more_comes)
    Discard(peer);
  return false;
}

// @return whether the request is there whole; otherwise it has been refused, or
//         its connection has ended.
bool http_server::state::ReadRequest(connection& peer,
                                     beast::flat_buffer& buffer,
                                     request_reader& reader) {
  using std::chrono::steady_clock;
  const base::duration patience =
      options.request_timeout > base::duration::zero() ? options.request_timeout
                                                       : options.idle_timeout;
  const auto began = steady_clock::now();
  while (true) {
    const std::size_t room = reader.BytesToParse(buffer.size());
    if (room > memory_budget::kOrdinaryBytes &&
        !Hold(peer, room + buffer.capacity(), true))
      return false;
    reader.Parse(buffer);
    if (reader.error()) {
      if (reader.error()->event)
        budget->Report(*reader.error()->event);
      Refuse(peer, reader.error()->status, "malformed_request",
             reader.error()->detail);
      if (reader.error()->status != 400)
        Discard(peer);
      return false;
    }
    if (reader.is_done())
      return true;
    if (!Hold(peer, reader.held() + buffer.capacity(), true))
      return false;
    budget->SetPhase(*peer.share, connection_phase::kReading, Now());
    const base::duration for_body =
        std::chrono::seconds(1) * (reader.has_header() ? reader.parsed() : 0) /
        kSlowestBody;
    peer.stream.expires_at(
        std::min(steady_clock::now() + patience, began + patience + for_body));
    const io_result read = ReadSome(
        peer, buffer, reader.has_header() ? kBodyReadBytes : kFirstReadBytes);
    if (read.error) {
      if (read.error == beast::error::timeout)
        budget->Report(bound_event::kRequestTooSlow);
      return false;
    }
  }
}

bool http_server::state::ServeOne(connection& peer,
                                  beast::flat_buffer& buffer) {
  if (buffer.size() == 0) {
    // The last request may have needed a larger one.
    if (buffer.capacity() > kFirstReadBytes)
      buffer.shrink_to_fit();
    budget->Resize(*peer.share, 0, {});
    budget->SetPhase(*peer.share, connection_phase::kIdle, Now());
    if (AwaitFirstBytes(peer, buffer).error)
      return false;
  }
  request_reader reader({options.max_header_bytes, options.max_body_bytes});
  if (!ReadRequest(peer, buffer, reader))
    return false;
  const std::size_t held = reader.held() + buffer.capacity() + kServingBytes +
                           2 * options.socket_buffer_bytes;
  if (!Hold(peer, held, false))
    return false;
  budget->SetPhase(*peer.share, connection_phase::kServing, {});
  http_exchange exchange(peer.stream, reader.Release(), options, closing,
                         *budget, *peer.share, held);
  Answer(exchange);
  return exchange.keep_alive();
}

// Answers a request that was not run, and ends its connection.
void http_server::state::Refuse(connection& peer,
                                int status,
                                const std::string& type,
                                const std::string& detail,
                                const http_fields& fields) {
  http_exchange exchange(peer.stream, {}, options, closing, *budget,
                         *peer.share, 0);
  exchange.CloseAfterAnswer();
  exchange.SendWhole(status, "application/problem+json",
                     R"({"type":")" + type +
                         R"(","outcome":"not_run","detail":")" + detail + "\"}",
                     fields);
}

// Reads what the caller goes on sending behind a refusal.
void http_server::state::Discard(connection& peer) {
  beast::error_code ignored;
  peer.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  budget->Resize(*peer.share, 0, {});
  budget->SetPhase(*peer.share, connection_phase::kReading, Now());
  peer.stream.expires_after(kDiscardTimeout);
  beast::flat_buffer discarded;
  std::size_t bytes = 0;
  io_result read;
  while (!read.error && bytes < kMaxDiscardedBytes) {
    read = ReadSome(peer, discarded, kBodyReadBytes);
    discarded.clear();
    bytes += read.bytes;
  }
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

const memory_budget& http_server::budget() const {
  return *state_->budget;
}

}  // namespace flamingoshunt::runtime
