#include "runtime/tcp.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstdint>

namespace flamingoshunt::runtime {
namespace {

void SetOptions(int socket, base::duration silence) {
  const auto milliseconds = static_cast<unsigned>(
      std::chrono::duration_cast<std::chrono::milliseconds>(silence).count());
  const int enabled = 1;
  const keepalive probes = KeepaliveWithin(silence);
  const auto idle_seconds = static_cast<int>(probes.idle.count());
  const auto interval_seconds = static_cast<int>(probes.interval.count());
  // A socket that refuses an option still works; only its silence is noticed
  // later, by the progress bounds of the layers above.
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof(enabled));
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds,
             sizeof(milliseconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &idle_seconds,
             sizeof(idle_seconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &interval_seconds,
             sizeof(interval_seconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes.count,
             sizeof(probes.count));
}

}  // namespace

keepalive KeepaliveWithin(base::duration silence) {
  constexpr std::chrono::seconds kShortest{2};  // One second and one probe.
  constexpr std::int64_t kMaxProbes = 3;
  const auto bound = std::max(
      kShortest, std::chrono::duration_cast<std::chrono::seconds>(silence));
  keepalive chosen;
  chosen.idle = bound / 2;
  const std::int64_t left = (bound - chosen.idle).count();
  chosen.count = static_cast<int>(std::min(kMaxProbes, left));
  chosen.interval = std::chrono::seconds(left / chosen.count);
  return chosen;
}

tcp::endpoint ParseAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos)
    throw base::user_error("address \"" + text + "\": must be IP:port");
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    host = host.substr(1, host.size() - 2);
  unsigned short port = 0;
  const char* begin = text.data() + colon + 1;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(begin, end, port);
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(host, error);
  if (error || parsed.ec != std::errc() || parsed.ptr != end)
    throw base::user_error("address \"" + text + "\": must be IP:port");
  return {address, port};
}

std::string FormatAddress(const tcp::endpoint& endpoint) {
  const std::string host = endpoint.address().to_string();
  const std::string port = std::to_string(endpoint.port());
  return endpoint.address().is_v6() ? "[" + host + "]:" + port
                                    : host + ":" + port;
}

socket_state PeekSocket(tcp_stream& stream) {
  char peeked = 0;
  const auto count = ::recv(stream.socket().native_handle(), &peeked, 1,
                            MSG_PEEK | MSG_DONTWAIT);
  if (count > 0)
    return socket_state::kHasBytes;
  const bool quiet = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return quiet ? socket_state::kQuiet : socket_state::kPeerClosed;
}

std::optional<base::duration> SinceLastArrival(tcp_stream& stream) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(stream.socket().native_handle(), IPPROTO_TCP, TCP_INFO,
                   &info, &size) != 0)
    return std::nullopt;
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

std::optional<std::size_t> UnacknowledgedBytes(tcp_stream& stream) {
  int bytes = 0;
  if (::ioctl(stream.socket().native_handle(), SIOCOUTQ, &bytes) != 0 ||
      bytes < 0)
    return std::nullopt;
  return static_cast<std::size_t>(bytes);
}

void SetSocketOptions(tcp_socket& socket, base::duration silence) {
  SetOptions(socket.native_handle(), silence);
}

void SetSocketOptions(tcp_stream& stream, base::duration silence) {
  SetOptions(stream.socket().native_handle(), silence);
}

void SetBufferSizes(tcp_socket& socket, std::size_t bytes) {
  boost::system::error_code ignored;
  const int size = static_cast<int>(bytes);
  socket.set_option(boost::asio::socket_base::receive_buffer_size(size),
                    ignored);
  socket.set_option(boost::asio::socket_base::send_buffer_size(size), ignored);
}

}  // namespace flamingoshunt::runtime
