// Guards against an unexpected error in a completion handler, such as that of a
// timer or a datagram: it ended the process.
#include <boost/asio/post.hpp>
#include <boost/fiber/operations.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <stdexcept>

#include "runtime/tests/fiber_fixture.h"

namespace flamingoshunt::runtime {

TEST_CASE("A handler that fails ends alone") {
  int handled = 0;
  bool fiber_ran = false;
  RunInFibers([&](boost::asio::io_context& loop) {
    for (int i = 0; i < 5; ++i) {
      boost::asio::post(loop, [] { throw std::out_of_range("unexpected"); });
      boost::asio::post(loop, [&] { ++handled; });
    }
    SpawnFiber([&] { fiber_ran = true; });
    boost::this_fiber::sleep_for(std::chrono::milliseconds(20));
  });
  CHECK(handled == 5);
  CHECK(fiber_ran);
}

}  // namespace flamingoshunt::runtime
