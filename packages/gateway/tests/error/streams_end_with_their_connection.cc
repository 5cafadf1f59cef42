#include <catch2/catch.hpp>

#include <string>

#include "gateway/tests/gateway_harness.h"
#include "runtime/tests/endless_server.h"

namespace flamingoshunt::gateway::testing {
namespace {

using runtime::endless_server;

constexpr int kMaxCalls = 30;

/// Serves streams until one request reached a replica that answers with @p
/// body, without a length or chunks, and closes the connection.
class undelimited_stream {
 public:
  explicit undelimited_stream(const std::string& body) {
    const gateway_harness harness([&](gateway_harness& test) {
      const endless_server server(test.loop(),
                                  "HTTP/1.1 200 OK\r\nSignature: s\r\n"
                                  "Content-Type: text/event-stream\r\n\r\n" +
                                      body,
                                  "");
      target undelimited;
      undelimited.instance = base::instance_id("a");
      undelimited.address = server.address();
      undelimited.slots = 8;
      test.SetTargets(
          {}, {undelimited,
               test.AddReplica("b", [&](runtime::http_exchange& exchange) {
                 resumed_after = std::string(exchange.request()["Last"]);
                 StreamEvents(exchange, 3);
               })});
      for (int i = 0; i < kMaxCalls && server.connections() == 0; ++i) {
        resumed_after.reset();
        answer = test.Call("/stream/x");
      }
    });
  }

  caller_answer answer;
  std::optional<std::string> resumed_after;  ///< Empty if not retried.
};

}  // namespace

TEST_CASE("A stream may end with its connection") {
  const undelimited_stream stream(AllEvents(3));
  CHECK(stream.answer.complete);
  CHECK(stream.answer.body == AllEvents(3));
  CHECK_FALSE(stream.resumed_after);
}

TEST_CASE("A stream whose connection ends inside an event is resumed") {
  const undelimited_stream stream(AllEvents(1) + "id: 2\nda");
  CHECK(stream.answer.complete);
  CHECK(stream.answer.body == AllEvents(3));
  CHECK(stream.resumed_after == "1");
}

// Guards against taking the crash of a replica that has just begun its answer
// for an empty stream.
TEST_CASE("A stream whose connection ends before the first event is retried") {
  const undelimited_stream stream("");
  CHECK(stream.answer.complete);
  CHECK(stream.answer.body == AllEvents(3));
  CHECK(stream.resumed_after == "");
}

}  // namespace flamingoshunt::gateway::testing
