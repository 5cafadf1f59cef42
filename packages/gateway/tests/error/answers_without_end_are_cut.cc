#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <vector>

#include "gateway/tests/gateway_harness.h"
#include "runtime/tests/endless_server.h"

namespace flamingoshunt::gateway::testing {
namespace {

using runtime::endless_server;
using std::chrono::steady_clock;

constexpr std::size_t kFillerBytes = 16 * 1024;
// Far below what the replica sends within the timeout of the routes.
constexpr std::size_t kMaxBytesSent = 3 * 1024 * 1024;
constexpr int kMaxCalls = 30;
// Timeout of the plain routes, and time to end the request.
constexpr milliseconds kLongestCall{600 + 300};

const std::string kChunked =
    "HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n";

struct endless_answer {
  std::string name;
  std::string start;
  std::string filler;
};

target MakeTarget(const std::string& name, const endless_server& server) {
  target replica;
  replica.instance = base::instance_id(name);
  replica.address = server.address();
  replica.slots = 8;
  return replica;
}

void CheckClosed(gateway_harness& test, const endless_server& server) {
  // Let the server observe the close.
  boost::this_fiber::sleep_for(milliseconds(50));
  CHECK(server.open_connections() == 0);
  CHECK(test.gateway().running() == 0);
}

}  // namespace

TEST_CASE("Bytes without end that are no answer are retried on a replica") {
  const std::string filler(kFillerBytes, 'x');
  const std::vector<endless_answer> answers = {
      {"head", "HTTP/1.1 200 OK\r\nName: ", filler},
      {"no protocol", "", filler},
      {"failure", "HTTP/1.1 500 Error\r\nConnection: close\r\n\r\n", filler},
      {"not run",
       "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nConnection: close\r\n\r\n", filler},
      {"unsigned", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", filler},
      {"other answer",
       "HTTP/1.1 200 OK\r\nSignature: s\r\nId: other\r\n"
       "Connection: close\r\n\r\n",
       filler},
      {"chunk header", kChunked + "5;name=", filler},
      {"trailer", kChunked + "0\r\nName: ", filler}};
  for (const endless_answer& answer : answers) {
    INFO(answer.name);
    const gateway_harness harness([&](gateway_harness& test) {
      const endless_server server(test.loop(), answer.start, answer.filler);
      test.SetTargets({MakeTarget("endless", server),
                       test.AddReplica("b", SendValidAnswer)});
      for (int i = 0; i < kMaxCalls && server.connections() == 0; ++i) {
        const auto started_at = steady_clock::now();
        const auto received = test.Call("/safe/x");
        CHECK(received.status == 200);
        CHECK(received.body == "done");
        CHECK(steady_clock::now() - started_at < kLongestCall);
      }
      CHECK(server.connections() == 1);
      CHECK(server.bytes_sent() < kMaxBytesSent);
      CheckClosed(test, server);
    });
  }
}

TEST_CASE("An answer without end is broken off at the deadline") {
  const gateway_harness harness([](gateway_harness& test) {
    const endless_server server(
        test.loop(),
        "HTTP/1.1 200 OK\r\nSignature: s\r\nConnection: close\r\n\r\n",
        std::string(kFillerBytes, 'x'));
    test.SetTargets({MakeTarget("endless", server)});
    const auto started_at = steady_clock::now();
    const auto received = test.Call("/once/x");
    CHECK_FALSE(received.complete);
    CHECK(steady_clock::now() - started_at < kLongestCall);
    CheckClosed(test, server);
  });
}

TEST_CASE("A stream of bytes without an event resumes on another replica") {
  const gateway_harness harness([](gateway_harness& test) {
    const endless_server server(
        test.loop(),
        "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Type: text/event-stream\r\n"
        "Connection: close\r\n\r\nid: 1\ndata: x\n\nid: 2\ndata: ",
        std::string(kFillerBytes, 'x'));
    target endless = MakeTarget("endless", server);
    endless.model = "m";
    target valid = test.AddReplica("b", [](runtime::http_exchange& exchange) {
      StreamEvents(exchange, 10);
    });
    valid.model = "m";
    test.SetTargets({}, {endless, valid});
    for (int i = 0; i < kMaxCalls && server.connections() == 0; ++i) {
      const auto received =
          test.Call("/stream/x", {{"Model", "m"}, {"Output", "20"}});
      CHECK(received.complete);
      CHECK(received.body == AllEvents(10));
    }
    CHECK(server.connections() == 1);
    CHECK(server.bytes_sent() < kMaxBytesSent);
    CheckClosed(test, server);
  });
}

}  // namespace flamingoshunt::gateway::testing
