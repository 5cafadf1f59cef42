#include <catch2/catch.hpp>

#include "gateway/tests/gateway_harness.h"

namespace flamingoshunt::gateway::testing {
namespace {

std::string Event(int id, const std::string& run) {
  return "id: " + std::to_string(id) + "\ndata: " + run + "\n\n";
}

void StartStream(runtime::http_exchange& exchange) {
  exchange.StartStream(
      200, "text/event-stream",
      {{"Signature", "s"}, {"Id", std::string(exchange.request()["Id"])}});
}

}  // namespace

// Guards against an event of the first attempt, read before that was abandoned,
// in front of a second attempt that resumes before that event.
TEST_CASE("Both attempts of a stream that answer at once give one run") {
  for (const bool second_goes_first : {true, false}) {
    std::string body;
    const gateway_harness harness([&](gateway_harness& test) {
      const auto count = std::make_shared<int>(0);
      const auto second = std::make_shared<runtime::http_exchange*>(nullptr);
      const auto script = [=](runtime::http_exchange& exchange) {
        const bool is_first = (*count)++ == 0;
        StartStream(exchange);
        if (!is_first) {
          *second = &exchange;
          boost::this_fiber::sleep_for(milliseconds(200));
          for (int id = 6; id <= 10; ++id)
            exchange.Write(Event(id, "run2"));
          exchange.EndStream();
          return;
        }
        for (int id = 1; id <= 4; ++id)
          exchange.Write(Event(id, "run1"));
        while (!*second)
          boost::this_fiber::sleep_for(milliseconds(5));
        boost::this_fiber::sleep_for(milliseconds(100));
        runtime::SpawnFiber([=] { (*second)->Write(Event(5, "run2")); });
        if (!second_goes_first)
          boost::this_fiber::yield();
        exchange.Write(Event(5, "run1"));
        boost::this_fiber::sleep_for(milliseconds(50));
        for (int id = 6; id <= 10; ++id)
          exchange.Write(Event(id, "run1"));
        exchange.EndStream();
      };
      std::vector<target> replicas{test.AddReplica("a", script),
                                   test.AddReplica("b", script)};
      for (target& replica : replicas)
        replica.model = "m";
      test.SetTargets({}, replicas);
      const auto answer =
          test.Call("/stream/x", {{"Model", "m"}, {"Output", "20"}});
      CHECK(answer.complete);
      body = answer.body;
    });
    const bool fifth_of_first = body.find(Event(5, "run1")) != body.npos;
    const bool sixth_of_first = body.find(Event(6, "run1")) != body.npos;
    CHECK(fifth_of_first == sixth_of_first);
    CHECK(body.find(Event(10, fifth_of_first ? "run1" : "run2")) != body.npos);
  }
}

}  // namespace flamingoshunt::gateway::testing
