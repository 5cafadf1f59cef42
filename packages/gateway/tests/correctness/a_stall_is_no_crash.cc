#include <catch2/catch.hpp>

#include "gateway/tests/gateway_harness.h"

namespace flamingoshunt::gateway::testing {

// Guards against streams that are cut, and a request that is refused for
// minutes, since three replicas that ran it were silent for a moment.
TEST_CASE("Replicas that are silent count for no crash of their request") {
  const gateway_harness harness([](gateway_harness& test) {
    constexpr int kCallers = 4;
    const auto count = std::make_shared<int>(0);
    const auto script = [count](runtime::http_exchange& exchange) {
      if ((*count)++ >= kCallers) {
        StreamEvents(exchange, 10);
        return;
      }
      StreamEvents(exchange, 4, 4);
      boost::this_fiber::sleep_for(milliseconds(1100));
      exchange.Abort();
    };
    std::vector<target> replicas;
    for (const char* name : {"a", "b", "c", "d", "e", "f", "g", "i"}) {
      replicas.push_back(test.AddReplica(name, script));
      replicas.back().model = "m";
    }
    test.SetTargets({}, replicas);
    const runtime::http_fields fields = {{"Model", "m"}, {"Output", "20"}};
    int done = 0;
    int whole = 0;
    // All send the same body.
    for (int i = 0; i < kCallers; ++i) {
      runtime::SpawnFiber([&] {
        whole += test.Call("/stream/x", fields).body == AllEvents(10) ? 1 : 0;
        ++done;
      });
    }
    while (done < kCallers)
      boost::this_fiber::sleep_for(milliseconds(20));
    CHECK(whole == kCallers);
    CHECK(test.Call("/stream/x", fields).status == 200);
  });
}

}  // namespace flamingoshunt::gateway::testing
