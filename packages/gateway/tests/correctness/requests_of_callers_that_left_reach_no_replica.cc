#include <catch2/catch.hpp>

#include <string>

#include "gateway/tests/gateway_harness.h"
#include "runtime/tests/unresponsive_server.h"

namespace flamingoshunt::gateway::testing {

// Guards against requests that reach a replica after their callers have left,
// since the network held their bytes up.
TEST_CASE("A request held up in the network is withdrawn with its caller") {
  const gateway_harness harness([](gateway_harness& test) {
    runtime::unresponsive_server server(test.loop());
    target replica;
    replica.instance = base::instance_id("unresponsive");
    replica.address = server.address();
    replica.model = "m";
    replica.slots = 8;
    test.SetTargets({}, {replica});
    {
      runtime::http_connection caller(test.loop());
      caller.Connect(test.address(), milliseconds(500));
      auto request = test.MakeCall("/stream/x", {{"Model", "m"}});
      request.body().assign(runtime::unresponsive_server::kHeldUpBytes, 'x');
      request.prepare_payload();
      caller.Send(request, milliseconds(500));
      boost::this_fiber::sleep_for(milliseconds(100));
      REQUIRE(test.gateway().running() == 1);
    }
    boost::this_fiber::sleep_for(milliseconds(100));
    REQUIRE(test.gateway().running() == 0);
    const runtime::io_result received = server.ReadToEnd();
    CHECK(received.error == boost::asio::error::connection_reset);
    CHECK(received.bytes < runtime::unresponsive_server::kHeldUpBytes);
  });
}

}  // namespace flamingoshunt::gateway::testing
