// Defines a server for tests that accepts connections but reads only when the
// test calls it, so that what is sent to it waits in the sender's buffer.
#ifndef FLAMINGOSHUNT_RUNTIME_TESTS_UNRESPONSIVE_SERVER_H_
#define FLAMINGOSHUNT_RUNTIME_TESTS_UNRESPONSIVE_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstddef>
#include <string>

#include "runtime/fiber_wait.h"
#include "runtime/tcp.h"

namespace flamingoshunt::runtime {

class unresponsive_server {
 public:
  /// Bytes that surely exceed what the server's system receives unread.
  static constexpr std::size_t kHeldUpBytes = 256 * 1024;

  explicit unresponsive_server(boost::asio::io_context& loop)
      : acceptor_(loop), socket_(loop) {
    acceptor_.open(tcp::v4());
    acceptor_.set_option(
        boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    acceptor_.bind({boost::asio::ip::address_v4::loopback(), 0});
    acceptor_.listen();
  }

  std::string address() const {
    return FormatAddress(acceptor_.local_endpoint());
  }

  /// Accepts the first connection and reads until it ends.
  /// @return the number of bytes read, and how the connection ended.
  io_result ReadToEnd() {
    AwaitIo(
        [&](auto done) { acceptor_.async_accept(socket_, std::move(done)); });
    io_result total;
    std::array<char, 4096> bytes;
    while (!total.error) {
      const io_result read = AwaitIo([&](auto done) {
        socket_.async_read_some(boost::asio::buffer(bytes), std::move(done));
      });
      total.error = read.error;
      total.bytes += read.bytes;
    }
    return total;
  }

 private:
  static constexpr int kReceiveBufferBytes = 4096;

  tcp::acceptor acceptor_;
  tcp::socket socket_;
};

}  // namespace flamingoshunt::runtime

#endif  // FLAMINGOSHUNT_RUNTIME_TESTS_UNRESPONSIVE_SERVER_H_
