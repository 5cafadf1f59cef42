#include "runtime/http_client.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <utility>

namespace flamingoshunt::runtime {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t kReadBytes = 16 * 1024;
constexpr std::uint32_t kMaxAnswerHeaderBytes = 32 * 1024;
// Bounds what the parser can't use yet: a chunk's header or the trailer may
// come without end.
constexpr std::size_t kMaxUnparsedBytes = 128 * 1024;
// Interim answers before the final one.
constexpr int kMaxInterimAnswers = 8;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kSwitchingProtocols = 101;
constexpr std::size_t kMaxIdlePerAddress = 64;  // connections
constexpr auto kSilenceBound = std::chrono::seconds(10);
constexpr int kHttpVersion = 11;  // HTTP/1.1 as Beast counts
// An idle connection is given up so long before the other end would close it:
// a request that crosses the close is lost.
constexpr auto kIdleMargin = std::chrono::milliseconds(700);

// @return the timeout of a Keep-Alive field, in whole seconds.
base::duration AnnouncedIdle(const http::response_header<>& header) {
  const auto value = header[http::field::keep_alive];
  const std::string text(value.data(), value.size());
  const auto at = text.find("timeout=");
  if (at == std::string::npos)
    return {};
  long seconds = 0;
  const char* begin = text.data() + at + std::strlen("timeout=");
  std::from_chars(begin, text.data() + text.size(), seconds);
  return std::chrono::seconds(std::max(0L, seconds));
}

transport_failure FailureOf(const boost::system::error_code& error) {
  if (error == beast::error::timeout)
    return transport_failure::kTimeout;
  const auto& parser_category =
      http::make_error_code(http::error::bad_version).category();
  const bool from_parser = error.category() == parser_category;
  const bool early_end = error == http::error::end_of_stream ||
                         error == http::error::partial_message;
  return from_parser && !early_end ? transport_failure::kMalformed
                                   : transport_failure::kClosed;
}

http_response_head HeadOf(const http::response_header<>& header) {
  http_response_head head;
  head.status = static_cast<int>(header.result_int());
  const auto type = header[http::field::content_type];
  head.content_type.assign(type.data(), type.size());
  for (const auto& field : header) {
    const auto name = field.name_string();
    const auto value = field.value();
    head.fields.emplace_back(std::string(name.data(), name.size()),
                             std::string(value.data(), value.size()));
  }
  return head;
}

// @throws transport_error (kRefused) if @p address is not IP:port.
tcp::endpoint EndpointOf(const std::string& address) {
  try {
    return ParseAddress(address);
  } catch (const base::user_error& error) {
    throw transport_error(transport_failure::kRefused, error.what());
  }
}

}  // namespace

http_connection::http_connection(boost::asio::io_context& loop)
    : stream_(loop.get_executor()), buffer_(kMaxUnparsedBytes) {}

http_connection::~http_connection() {
  Close();
}

void http_connection::Fail(const boost::system::error_code& error) {
  const std::string detail = address_ + ": " + error.message();
  Close();
  throw transport_error(FailureOf(error), detail,
                        error == boost::asio::error::timed_out);
}

void http_connection::Connect(const std::string& address,
                              base::duration timeout) {
  address_ = address;
  const tcp::endpoint endpoint = EndpointOf(address);
  stream_.expires_after(timeout);
  const io_result connected = AwaitIo(
      [&](auto done) { stream_.async_connect(endpoint, std::move(done)); });
  if (connected.error || closed_) {
    Close();
    const bool refused =
        connected.error == boost::asio::error::connection_refused;
    throw transport_error(
        refused ? transport_failure::kRefused : transport_failure::kConnect,
        address + ": " + connected.error.message());
  }
  SetSocketOptions(stream_, kSilenceBound);
}

void http_connection::BoundSilence(base::duration silence) {
  SetSocketOptions(stream_, silence);
}

void http_connection::Send(http_request& request, base::duration timeout) {
  reusable_ = false;
  request_may_have_left_ = false;
  if (closed_)
    throw transport_error(transport_failure::kClosed, address_ + ": closed");
  StartParser();
  request_may_have_left_ = true;
  awaiting_answer_ = true;
  stream_.expires_after(timeout);
  const io_result sent = AwaitIo(
      [&](auto done) { http::async_write(stream_, request, std::move(done)); });
  if (sent.error)
    Fail(sent.error);
}

void http_connection::StartParser() {
  parser_.emplace();
  parser_->header_limit(kMaxAnswerHeaderBytes);
  parser_->body_limit(boost::none);
}

http_response_head http_connection::ReadHead(base::duration timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  for (int interim = 0; interim <= kMaxInterimAnswers; ++interim) {
    stream_.expires_at(deadline);
    const io_result read = AwaitIo([&](auto done) {
      http::async_read_header(stream_, buffer_, *parser_, std::move(done));
    });
    if (read.error)
      Fail(read.error);
    const unsigned status = parser_->get().result_int();
    if (status >= kFirstFinalStatus) {
      announced_idle_ = AnnouncedIdle(parser_->get());
      return HeadOf(parser_->get());
    }
    // No request asks for another protocol.
    if (status == kSwitchingProtocols)
      break;
    StartParser();
  }
  Fail(http::error::bad_status);
}

bool http_connection::quiet() {
  if (closed_ || buffer_.size() != 0)
    return false;
  return PeekSocket(stream_) == socket_state::kQuiet;
}

void http_connection::ExpectAnother() {
  reusable_ = false;
  awaiting_answer_ = true;
  StartParser();
}

void http_connection::ReadRest(std::string& out,
                               std::size_t max_bytes,
                               base::duration timeout) {
  using std::chrono::steady_clock;
  const auto deadline = steady_clock::now() + timeout;
  while (true) {
    const base::duration remaining = deadline - steady_clock::now();
    if (remaining <= base::duration::zero())
      Fail(beast::error::timeout);
    if (!ReadSome(out, remaining))
      return;
    if (out.size() > max_bytes)
      Fail(http::error::body_limit);
  }
}

bool http_connection::ReadSome(std::string& out, base::duration timeout) {
  std::array<char, kReadBytes> bytes;
  while (!parser_->is_done()) {
    auto& body = parser_->get().body();
    body.data = bytes.data();
    body.size = bytes.size();
    if (timeout == kNoTimeout)
      stream_.expires_never();
    else
      stream_.expires_after(timeout);
    const io_result read = AwaitIo([&](auto done) {
      http::async_read_some(stream_, buffer_, *parser_, std::move(done));
    });
    if (read.error && read.error != http::error::need_buffer)
      Fail(read.error);
    const std::size_t produced = bytes.size() - body.size;
    if (produced > 0) {
      out.append(bytes.data(), produced);
      return true;
    }
  }
  awaiting_answer_ = false;
  reusable_ = !closed_ && parser_->get().keep_alive() && buffer_.size() == 0;
  return false;
}

void http_connection::Close() {
  if (!closed_ && awaiting_answer_) {
    unacknowledged_at_close_ = UnacknowledgedBytes(stream_);
    // Without a linger time, closing discards the send buffer and resets.
    boost::system::error_code ignored;
    stream_.socket().set_option(boost::asio::socket_base::linger(true, 0),
                                ignored);
  }
  closed_ = true;
  reusable_ = false;
  stream_.close();
}

std::unique_ptr<http_connection> connection_pool::TakeIdle(
    const std::string& address) {
  const auto found = idle_.find(address);
  if (found == idle_.end())
    return nullptr;
  const auto now = std::chrono::steady_clock::now();
  while (!found->second.empty()) {
    idle_connection last = std::move(found->second.back());
    found->second.pop_back();
    const base::duration kept = last.connection->announced_idle();
    const bool expired =
        kept > base::duration::zero() && now - last.since > kept - kIdleMargin;
    if (!expired && last.connection->quiet())
      return std::move(last.connection);
  }
  return nullptr;
}

std::unique_ptr<http_connection> connection_pool::Open(
    const std::string& address,
    base::duration timeout) {
  auto connection = std::make_unique<http_connection>(loop_);
  connection->Connect(address, timeout);
  return connection;
}

void connection_pool::Return(std::unique_ptr<http_connection> connection) {
  if (!connection || !connection->reusable())
    return;
  auto& idle = idle_[connection->address()];
  if (idle.size() < kMaxIdlePerAddress)
    idle.push_back({std::move(connection), std::chrono::steady_clock::now()});
}

void connection_pool::Forget(const std::string& address) {
  idle_.erase(address);
}

http_reply Exchange(http_connection& connection,
                    http_request& request,
                    base::duration timeout) {
  http_reply reply;
  connection.Send(request, timeout);
  reply.head = connection.ReadHead(timeout);
  connection.ReadRest(reply.body, kMaxReplyBytes, timeout);
  return reply;
}

http_reply Fetch(connection_pool& pool,
                 const std::string& address,
                 http_request request,
                 base::duration timeout) {
  auto connection = pool.TakeIdle(address);
  bool fresh = !connection;
  while (true) {
    if (fresh)
      connection = pool.Open(address, timeout);
    try {
      http_reply reply = Exchange(*connection, request, timeout);
      pool.Return(std::move(connection));
      return reply;
    } catch (const transport_error&) {
      if (fresh)
        throw;
      pool.Forget(address);
      fresh = true;
    }
  }
}

http_request MakeRequest(std::string_view method,
                         std::string_view target,
                         std::string_view host,
                         std::string body,
                         std::string_view content_type) {
  http_request request;
  request.version(kHttpVersion);
  request.method_string({method.data(), method.size()});
  request.target({target.data(), target.size()});
  request.set(http::field::host, {host.data(), host.size()});
  if (!content_type.empty())
    request.set(http::field::content_type,
                {content_type.data(), content_type.size()});
  request.body() = std::move(body);
  request.prepare_payload();
  return request;
}

}  // namespace flamingoshunt::runtime
