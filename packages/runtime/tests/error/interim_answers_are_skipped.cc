// Guards against an interim answer (1xx) that is taken for the final one, which
// then never reaches the caller.
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <string>

#include "runtime/http_client.h"
#include "runtime/tests/fiber_fixture.h"

namespace flamingoshunt::runtime {
namespace {

constexpr std::chrono::milliseconds kTimeout{1000};
constexpr char kFinal[] = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";

// Sends one request to a server that answers with @p bytes.
http_reply AnswerOf(boost::asio::io_context& loop, const std::string& bytes) {
  boost::asio::basic_socket_acceptor<tcp,
                                     boost::asio::io_context::executor_type>
      acceptor(loop, {boost::asio::ip::address_v4::loopback(), 0});
  SpawnFiber([&] {
    tcp_socket socket(loop.get_executor());
    AwaitIo([&](auto done) { acceptor.async_accept(socket, std::move(done)); });
    AwaitIo([&](auto done) {
      boost::asio::async_write(socket, boost::asio::buffer(bytes),
                               std::move(done));
    });
    // Until the client closes.
    char byte = 0;
    io_result read;
    while (!read.error) {
      read = AwaitIo([&](auto done) {
        socket.async_read_some(boost::asio::buffer(&byte, 1), std::move(done));
      });
    }
  });
  http_connection connection(loop);
  connection.Connect(FormatAddress(acceptor.local_endpoint()), kTimeout);
  auto request = MakeRequest("GET", "/", "test");
  http_reply reply = Exchange(connection, request, kTimeout);
  CHECK(connection.reusable());
  return reply;
}

}  // namespace

TEST_CASE("The final answer follows interim ones") {
  RunInFibers([](boost::asio::io_context& loop) {
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string hints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    for (const std::string& before : {interim, hints, interim + hints}) {
      const http_reply reply = AnswerOf(loop, before + kFinal);
      CHECK(reply.head.status == 200);
      CHECK(reply.body == "done");
    }
  });
}

TEST_CASE("Interim answers without end, or to another protocol, are errors") {
  RunInFibers([](boost::asio::io_context& loop) {
    std::string endless;
    for (int i = 0; i < 20; ++i)
      endless += "HTTP/1.1 100 Continue\r\n\r\n";
    CHECK_THROWS_AS(AnswerOf(loop, endless + kFinal), transport_error);
    CHECK_THROWS_AS(
        AnswerOf(loop, std::string("HTTP/1.1 101 Switching Protocols\r\n\r\n") +
                           kFinal),
        transport_error);
  });
}

}  // namespace flamingoshunt::runtime
