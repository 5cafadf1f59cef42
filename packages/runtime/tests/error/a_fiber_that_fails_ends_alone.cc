// Tests that an unexpected error in one request's fiber doesn't end the
// process.
#include <boost/fiber/operations.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <stdexcept>

#include "runtime/tests/fiber_fixture.h"

namespace flamingoshunt::runtime {

TEST_CASE("A fiber that fails ends alone") {
  bool other_ran = false;
  RunInFibers([&](boost::asio::io_context&) {
    SpawnFiber([] { throw std::runtime_error("unexpected"); });
    SpawnFiber([&] { other_ran = true; });
    boost::this_fiber::sleep_for(std::chrono::milliseconds(20));
  });
  CHECK(other_ran);
}

}  // namespace flamingoshunt::runtime
