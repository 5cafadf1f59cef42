// Defines the TCP stream type of the product, how addresses are parsed, and the
// socket options that bound how long a silent connection goes unnoticed.
#ifndef FLAMINGOSHUNT_RUNTIME_TCP_H_
#define FLAMINGOSHUNT_RUNTIME_TCP_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/basic_stream.hpp>

#include <chrono>
#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>

#include "base/clock.h"
#include "base/errors.h"

namespace flamingoshunt::runtime {

using tcp = boost::asio::ip::tcp;
using tcp_socket =
    boost::asio::basic_stream_socket<tcp,
                                     boost::asio::io_context::executor_type>;
using tcp_stream =
    boost::beast::basic_stream<tcp, boost::asio::io_context::executor_type>;

/// Of a step that its caller ends by closing the connection.
inline constexpr base::duration kNoTimeout = base::duration::zero();

/// What went wrong with a connection.
enum class transport_failure {
  kConnect,
  kRefused,  ///< Nobody listens at the address.
  kTimeout,
  kClosed,
  kMalformed
};

class transport_error : public std::runtime_error {
 public:
  /// @param host_silent see host_silent().
  transport_error(transport_failure failure,
                  const std::string& detail,
                  bool host_silent = false)
      : std::runtime_error(detail),
        failure_(failure),
        host_silent_(host_silent) {}
  transport_failure failure() const { return failure_; }
  /// @return whether the kernel gave the connection up because the other host
  ///         acknowledged nothing for the bound that SetSocketOptions set.
  bool host_silent() const { return host_silent_; }

 private:
  transport_failure failure_;
  bool host_silent_;
};

/// Parses "IP:port", with brackets around an IPv6 address.
/// @throws base::user_error naming @p text when it is neither.
tcp::endpoint ParseAddress(const std::string& text);

/// @return "IP:port".
std::string FormatAddress(const tcp::endpoint& endpoint);

/// What a read of a socket would give, without taking it.
enum class socket_state {
  kQuiet,      ///< Nothing has arrived.
  kHasBytes,   ///< Bytes are there to read.
  kPeerClosed  ///< The other end has closed or reset the connection.
};
socket_state PeekSocket(tcp_stream& stream);

/// @return how long ago the last bytes arrived, read or not; empty where the
///         system doesn't measure it.
std::optional<base::duration> SinceLastArrival(tcp_stream& stream);

/// @return the bytes sent that the other end has not acknowledged; nothing
/// where
///         the system doesn't tell.
std::optional<std::size_t> UnacknowledgedBytes(tcp_stream& stream);

/// Probes of a connection on which nothing arrives; the kernel gives it up
/// after the idle time and one interval for each of them.
struct keepalive {
  std::chrono::seconds idle{};
  std::chrono::seconds interval{};
  int count = 0;
};

/// @return probes that give a connection up within @p silence, or within two
///         seconds if that is shorter: the kernel counts in whole seconds.
keepalive KeepaliveWithin(base::duration silence);

/// Sets no-delay, keepalive and TCP_USER_TIMEOUT, so that the kernel gives up
/// a connection whose other end stopped acknowledging within @p silence.
void SetSocketOptions(tcp_socket& socket, base::duration silence);
void SetSocketOptions(tcp_stream& stream, base::duration silence);

/// Bounds what the kernel keeps of what has arrived and isn't read, and of what
/// the other end hasn't taken, each.
void SetBufferSizes(tcp_socket& socket, std::size_t bytes);

}  // namespace flamingoshunt::runtime

#endif  // FLAMINGOSHUNT_RUNTIME_TCP_H_
