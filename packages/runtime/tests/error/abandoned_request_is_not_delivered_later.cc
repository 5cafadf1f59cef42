#include <catch2/catch.hpp>

#include <optional>

#include "runtime/http_client.h"
#include "runtime/tests/fiber_fixture.h"
#include "runtime/tests/unresponsive_server.h"

namespace flamingoshunt::runtime {
namespace {

constexpr auto kTimeout = std::chrono::seconds(5);

// Sends a request that the server doesn't read.
void SendHeldUpRequest(http_connection& connection,
                       const unresponsive_server& server) {
  connection.Connect(server.address(), kTimeout);
  http_request request = MakeRequest(
      "POST", "/", "test", std::string(unresponsive_server::kHeldUpBytes, 'x'));
  connection.Send(request, kTimeout);
}

void CheckWithdrawn(unresponsive_server& server) {
  const io_result received = server.ReadToEnd();
  CHECK(received.error == boost::asio::error::connection_reset);
  CHECK(received.bytes < unresponsive_server::kHeldUpBytes);
}

}  // namespace

TEST_CASE("A request is not delivered after its connection was closed") {
  RunInFibers([](boost::asio::io_context& loop) {
    unresponsive_server server(loop);
    http_connection connection(loop);
    SendHeldUpRequest(connection, server);
    connection.Close();
    REQUIRE(connection.unacknowledged_at_close().value_or(0) > 0);
    CheckWithdrawn(server);
  });
}

TEST_CASE("A request is not delivered after its connection was destroyed") {
  RunInFibers([](boost::asio::io_context& loop) {
    unresponsive_server server(loop);
    {
      http_connection connection(loop);
      SendHeldUpRequest(connection, server);
    }
    CheckWithdrawn(server);
  });
}

}  // namespace flamingoshunt::runtime
