// Guards against keepalive settings whose idle time and probes exceed the
// configured timeout: dead watch connections were closed too late.
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <catch2/catch.hpp>

#include "runtime/tcp.h"
#include "runtime/tests/fiber_fixture.h"

namespace flamingoshunt::runtime {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

int OptionOf(tcp_socket& socket, int option) {
  int value = 0;
  socklen_t size = sizeof(value);
  REQUIRE(getsockopt(socket.native_handle(), IPPROTO_TCP, option, &value,
                     &size) == 0);
  return value;
}

}  // namespace

TEST_CASE("Keepalive probes end within the bound on silence") {
  for (milliseconds bound{500}; bound <= seconds(60);
       bound += milliseconds(100)) {
    INFO(bound.count() << " ms");
    const keepalive probes = KeepaliveWithin(bound);
    const auto given_up = probes.idle + probes.interval * probes.count;
    CHECK(given_up <= std::max<milliseconds>(bound, seconds(2)));
    CHECK(given_up * 2 > bound);
    CHECK(probes.idle >= seconds(1));
    CHECK(probes.interval >= seconds(1));
    CHECK(probes.count >= (bound >= seconds(3) ? 2 : 1));
  }
}

TEST_CASE("A socket gets the probes of its bound") {
  RunInFibers([](boost::asio::io_context& loop) {
    tcp_socket socket(loop.get_executor(), tcp::v4());
    SetSocketOptions(socket, seconds(3));
    CHECK(OptionOf(socket, TCP_KEEPIDLE) == 1);
    CHECK(OptionOf(socket, TCP_KEEPINTVL) == 1);
    CHECK(OptionOf(socket, TCP_KEEPCNT) == 2);
    CHECK(OptionOf(socket, TCP_USER_TIMEOUT) == 3000);
  });
}

}  // namespace flamingoshunt::runtime
