#include <catch2/catch.hpp>

#include <chrono>

#include "runtime/http_client.h"
#include "runtime/tests/endless_server.h"
#include "runtime/tests/fiber_fixture.h"

namespace flamingoshunt::runtime {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kTimeout{200};
// The head and the body each have the timeout.
constexpr milliseconds kLongestFetch{1000};
constexpr std::size_t kMaxBytesSent = 4 * 1024 * 1024;

// Fetches from a server whose answer begins with @p start and never ends.
void CheckFetchFails(const std::string& start,
                     const std::string& filler,
                     milliseconds pause) {
  RunInFibers([&](boost::asio::io_context& loop) {
    const endless_server server(loop, start, filler, pause);
    connection_pool pool(loop);
    const auto started_at = steady_clock::now();
    CHECK_THROWS_AS(Fetch(pool, server.address(),
                          MakeRequest("GET", "/", "test"), kTimeout),
                    transport_error);
    CHECK(steady_clock::now() - started_at < kLongestFetch);
    CHECK(server.bytes_sent() < kMaxBytesSent);
    // Let the server observe the close.
    boost::this_fiber::sleep_for(milliseconds(50));
    CHECK(server.open_connections() == 0);
  });
}

const std::string kBodyStart = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
const std::string kChunkedStart =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

}  // namespace

TEST_CASE("A body whose bytes trickle without end is cut at the timeout") {
  CheckFetchFails(kBodyStart, "x", milliseconds(5));
}

TEST_CASE("A body that flows without end is cut at the timeout") {
  CheckFetchFails(kBodyStart, std::string(8192, 'x'), milliseconds(1));
}

TEST_CASE("A head that flows without end is cut at its size limit") {
  CheckFetchFails("HTTP/1.1 200 OK\r\n",
                  "Name: " + std::string(8192, 'x') + "\r\n", milliseconds(1));
}

TEST_CASE("A head that trickles without end is cut at the timeout") {
  CheckFetchFails("HTTP/1.1 200 OK\r\nName: ", "x", milliseconds(5));
}

TEST_CASE("A chunk header without end is cut at its size limit") {
  CheckFetchFails(kChunkedStart + "5;name=", std::string(8192, 'x'),
                  milliseconds(1));
}

TEST_CASE("A trailer without end is cut at its size limit") {
  CheckFetchFails(kChunkedStart + "0\r\nName: ", std::string(8192, 'x'),
                  milliseconds(1));
}

}  // namespace flamingoshunt::runtime
