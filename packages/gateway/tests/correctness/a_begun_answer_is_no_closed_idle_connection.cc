#include <catch2/catch.hpp>

#include "gateway/tests/gateway_harness.h"

namespace flamingoshunt::gateway::testing {

// Guards against taking the crash of a replica that has begun its answer for
// the close of an idle connection, after which the request is sent again to the
// same replica.
TEST_CASE("A request whose answer had begun is not sent again to its replica") {
  int received = 0;
  const gateway_harness harness([&](gateway_harness& test) {
    auto replica = test.AddReplica("a", [&](runtime::http_exchange& exchange) {
      if (++received == 1) {
        StreamEvents(exchange, 1);
        return;
      }
      exchange.StartStream(
          200, "text/event-stream",
          {{"Signature", "s"}, {"Id", std::string(exchange.request()["Id"])}});
      exchange.Abort();
    });
    test.SetTargets({}, {replica});
    CHECK(test.Call("/stream/x").status == 200);
    CHECK(test.Call("/stream/y").status == 502);
    CHECK(received == 2);
  });
}

}  // namespace flamingoshunt::gateway::testing
