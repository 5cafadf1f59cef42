// Guards against a stop that closes a connection as idle although its next
// request has arrived or has been read already: the request ran, and its answer
// was written to a closed socket.
#include <boost/asio/post.hpp>
#include <boost/fiber/operations.hpp>

#include <catch2/catch.hpp>

#include <string>

#include "runtime/http_client.h"
#include "runtime/http_server.h"
#include "runtime/tests/fiber_fixture.h"

namespace flamingoshunt::runtime {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{2000};

void AnswerOk(http_exchange& exchange) {
  exchange.SendWhole(200, "text/plain", "done");
}

int StatusOfNext(http_connection& connection,
                 const std::function<void()>& stop) {
  auto request = MakeRequest("GET", "/second", "test");
  connection.Send(request, kTimeout);
  stop();
  try {
    return connection.ReadHead(kTimeout).status;
  } catch (const transport_error&) {
    return 0;
  }
}

}  // namespace

TEST_CASE(
    "A request that lies in the socket when the server stops is answered") {
  RunInFibers([](boost::asio::io_context& loop) {
    http_server server(loop, "127.0.0.1:0", {}, AnswerOk);
    server.Start();
    http_connection connection(loop);
    connection.Connect(server.address(), kTimeout);
    auto first = MakeRequest("GET", "/first", "test");
    CHECK(Exchange(connection, first, kTimeout).head.status == 200);
    CHECK(StatusOfNext(connection, [&] { server.StopAccepting(); }) == 200);
    boost::this_fiber::sleep_for(milliseconds(20));
    CHECK(server.connections() == 0);
  });
}

// The stop comes at each point of the loop between the arrival of the request
// and the turn of its fiber.
TEST_CASE("A request that was just read when the server stops is answered") {
  for (int turns = 0; turns < 6; ++turns) {
    INFO(turns << " turns of the loop before the stop");
    RunInFibers([turns](boost::asio::io_context& loop) {
      http_server server(loop, "127.0.0.1:0", {}, AnswerOk);
      server.Start();
      http_connection connection(loop);
      connection.Connect(server.address(), kTimeout);
      auto first = MakeRequest("GET", "/first", "test");
      CHECK(Exchange(connection, first, kTimeout).head.status == 200);
      CHECK(StatusOfNext(connection, [&] {
              for (int i = 0; i < turns; ++i)
                loop.poll_one();
              server.StopAccepting();
            }) == 200);
    });
  }
}

TEST_CASE("Idle connections are closed when the server stops") {
  RunInFibers([](boost::asio::io_context& loop) {
    http_server server(loop, "127.0.0.1:0", {}, AnswerOk);
    server.Start();
    http_connection connection(loop);
    connection.Connect(server.address(), kTimeout);
    auto first = MakeRequest("GET", "/first", "test");
    CHECK(Exchange(connection, first, kTimeout).head.status == 200);
    server.StopAccepting();
    boost::this_fiber::sleep_for(milliseconds(20));
    CHECK(server.connections() == 0);
    CHECK_FALSE(connection.quiet());
  });
}

}  // namespace flamingoshunt::runtime
