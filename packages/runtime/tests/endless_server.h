// Defines a server for tests that answers every request with given bytes. They
// don't end until the client closes the connection, or end with it.
#ifndef FLAMINGOSHUNT_RUNTIME_TESTS_ENDLESS_SERVER_H_
#define FLAMINGOSHUNT_RUNTIME_TESTS_ENDLESS_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>

#include <array>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include "runtime/fiber_scheduler.h"
#include "runtime/fiber_wait.h"
#include "runtime/tcp.h"

namespace flamingoshunt::runtime {

class endless_server {
 public:
  /// @param start  the first bytes of each answer.
  /// @param filler follows every @p pause, for ever; if empty, the connection
  ///        is closed instead.
  endless_server(boost::asio::io_context& loop,
                 std::string start,
                 std::string filler,
                 std::chrono::milliseconds pause = std::chrono::milliseconds(1))
      : state_(std::make_shared<state>(loop,
                                       std::move(start),
                                       std::move(filler),
                                       pause)) {
    SpawnFiber([self = state_] { self->Accept(self); });
  }
  ~endless_server() {
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
  }

  std::string address() const {
    return FormatAddress(state_->acceptor.local_endpoint());
  }

  int connections() const { return state_->connections; }
  int open_connections() const { return state_->open; }
  std::size_t bytes_sent() const { return state_->sent; }

 private:
  struct state {
    state(boost::asio::io_context& event_loop,
          std::string first_bytes,
          std::string more_bytes,
          std::chrono::milliseconds wait)
        : loop(event_loop),
          acceptor(event_loop, {boost::asio::ip::address_v4::loopback(), 0}),
          start(std::move(first_bytes)),
          filler(std::move(more_bytes)),
          pause(wait) {}

    void Accept(const std::shared_ptr<state>& self) {
      while (true) {
        auto socket = std::make_shared<tcp::socket>(loop);
        const io_result accepted = AwaitIo([&](auto done) {
          acceptor.async_accept(*socket, std::move(done));
        });
        if (accepted.error)
          return;
        ++connections;
        SpawnFiber([self, socket] { self->Serve(*socket); });
      }
    }

    void Serve(tcp::socket& socket) {
      ++open;
      std::array<char, 4096> request;
      io_result last = AwaitIo([&](auto done) {
        socket.async_read_some(boost::asio::buffer(request), std::move(done));
      });
      const std::string* next = &start;
      while (!last.error) {
        last = AwaitIo([&](auto done) {
          boost::asio::async_write(socket, boost::asio::buffer(*next),
                                   std::move(done));
        });
        sent += last.bytes;
        next = &filler;
        if (filler.empty())
          break;
        boost::this_fiber::sleep_for(pause);
      }
      --open;
      boost::system::error_code ignored;
      socket.close(ignored);
    }

    boost::asio::io_context& loop;
    tcp::acceptor acceptor;
    std::string start;
    std::string filler;
    std::chrono::milliseconds pause;
    int connections = 0;
    int open = 0;
    std::size_t sent = 0;
  };

  std::shared_ptr<state> state_;
};

}  // namespace flamingoshunt::runtime

#endif  // FLAMINGOSHUNT_RUNTIME_TESTS_ENDLESS_SERVER_H_
