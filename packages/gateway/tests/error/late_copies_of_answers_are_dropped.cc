// Guards against a late copy of an answer, without the id of its request, that
// is taken for the answer to the next request on the connection.
#include <boost/fiber/operations.hpp>

#include <catch2/catch.hpp>

#include "gateway/tests/gateway_harness.h"

namespace flamingoshunt::gateway::testing {
namespace {

// Answers the second request on a connection with a copy that names no request,
// and then as it should.
void AnswerAfterCopy(runtime::http_exchange& exchange,
                     int status,
                     const runtime::http_fields& copied_fields) {
  exchange.SendWhole(status, "text/plain", "of another request", copied_fields);
  exchange.SendWhole(
      200, "text/plain", "own",
      {{"Signature", "s"}, {"Id", std::string(exchange.request()["Id"])}});
}

}  // namespace

TEST_CASE("A copy without an id on a used connection is no answer") {
  for (const int status : {200, 404, 500}) {
    INFO(status);
    int received = 0;
    const gateway_harness harness([&](gateway_harness& test) {
      test.SetTargets({test.AddReplica("a", [&](auto& exchange) {
        if (++received == 1)
          SendValidAnswer(exchange);
        else
          AnswerAfterCopy(exchange, status, {{"Signature", "s"}});
      })});
      CHECK(test.Call("/safe/x").body == "done");
      const caller_answer second = test.Call("/safe/y");
      CHECK(second.status == 200);
      CHECK(second.body == "own");
    });
  }
}

TEST_CASE("A rejection without an id counts for the request that waits") {
  int received = 0;
  const gateway_harness harness([&](gateway_harness& test) {
    test.SetTargets({test.AddReplica("a", [&](auto& exchange) {
      if (++received == 1)
        SendValidAnswer(exchange);
      else
        exchange.SendWhole(503, "", "", {{"Not-Run", "1"}});
    })});
    CHECK(test.Call("/safe/x").status == 200);
    CHECK(test.Call("/safe/y").status == 503);
  });
}

}  // namespace flamingoshunt::gateway::testing
