// Guards against a body in an unknown transfer encoding that is read as the
// next request of its connection, and run.
#include <boost/fiber/operations.hpp>

#include <catch2/catch.hpp>

#include <string>

#include "runtime/http_client.h"
#include "runtime/http_server.h"
#include "runtime/tests/fiber_fixture.h"

namespace flamingoshunt::runtime {
namespace {

constexpr std::chrono::milliseconds kTimeout{1000};

http_request WithEncodings(std::initializer_list<const char*> encodings) {
  auto request = MakeRequest("POST", "/outer", "test",
                             "GET /inner HTTP/1.1\r\nHost: test\r\n\r\n");
  request.erase(boost::beast::http::field::content_length);
  for (const char* encoding : encodings)
    request.insert(boost::beast::http::field::transfer_encoding, encoding);
  return request;
}

}  // namespace

TEST_CASE(
    "A request in an unknown transfer encoding is refused, its body too") {
  for (const auto encodings :
       std::initializer_list<std::initializer_list<const char*>>{
           {"identity"},
           {"gzip"},
           {"xchunked"},
           {"chunked, identity"},
           {"identity", "gzip"}}) {
    INFO(*encodings.begin());
    int run = 0;
    RunInFibers([&](boost::asio::io_context& loop) {
      http_server server(loop, "127.0.0.1:0", {}, [&](http_exchange& exchange) {
        ++run;
        exchange.SendWhole(200, "text/plain", "done");
      });
      server.Start();
      http_connection connection(loop);
      connection.Connect(server.address(), kTimeout);
      auto request = WithEncodings(encodings);
      CHECK(Exchange(connection, request, kTimeout).head.status == 400);
      CHECK_FALSE(connection.reusable());
      boost::this_fiber::sleep_for(std::chrono::milliseconds(20));
      CHECK(server.connections() == 0);
      server.CloseAll();
    });
    CHECK(run == 0);
  }
}

TEST_CASE("A request in chunks is served") {
  RunInFibers([](boost::asio::io_context& loop) {
    std::string body;
    http_server server(loop, "127.0.0.1:0", {}, [&](http_exchange& exchange) {
      body = exchange.request().body();
      exchange.SendWhole(200, "text/plain", "done");
    });
    server.Start();
    http_connection connection(loop);
    connection.Connect(server.address(), kTimeout);
    auto request = MakeRequest("POST", "/", "test", "in chunks");
    request.chunked(true);
    CHECK(Exchange(connection, request, kTimeout).head.status == 200);
    CHECK(body == "in chunks");
    server.CloseAll();
  });
}

}  // namespace flamingoshunt::runtime
