#include <catch2/catch.hpp>

#include "gateway/tests/gateway_harness.h"

namespace flamingoshunt::gateway::testing {
namespace {

const runtime::http_fields kModel = {{"Model", "m"}, {"Output", "20"}};
constexpr milliseconds kForGood{3500};

// A route that allows four replicas of one model, eight slots each.
void AllowFourAttempts(gateway_harness& test,
                       const std::vector<target>& replicas) {
  auto view = std::make_shared<fleet_view>();
  route allowing;
  allowing.name = "stream";
  allowing.host = "h";
  allowing.path_prefix = "/stream/";
  allowing.targets = {{"llm", 1}};
  allowing.timeout = milliseconds(3000);
  allowing.first_answer_target = milliseconds(60);
  allowing.event_gap_target = milliseconds(250);
  allowing.max_attempts = 4;
  allowing.stream = true;
  allowing.resumable = true;
  service llm;
  llm.name = "llm";
  llm.engine = engine_profile();
  llm.engine->slots = 8;
  llm.engine->step_ms = 5;
  view->configuration = std::make_shared<configuration>(
      7, std::vector<route>{allowing}, std::vector<service>{llm},
      std::unordered_map<std::string, workspace>{
          {"k1", {base::workspace_id("w1"), std::nullopt}}},
      caller_limits());
  view->targets["llm"] = replicas;
  fleet_update update;
  update.view = view;
  update.allowance = retry_allowance{0.2, 50, std::chrono::seconds(10)};
  test.gateway().ApplyUpdate(update);
}

// @return the answer of a stream whose first replicas behave as @p script says.
caller_answer CallWith(
    const std::function<bool(int, runtime::http_exchange&)>& script,
    int& arrivals) {
  caller_answer answer;
  const gateway_harness harness([&](gateway_harness& test) {
    const auto count = std::make_shared<int>(0);
    std::vector<target> replicas;
    for (const char* name : {"a", "b", "c", "d"}) {
      replicas.push_back(
          test.AddReplica(name, [=](runtime::http_exchange& exchange) {
            if (!script((*count)++, exchange))
              StreamEvents(exchange, 10);
          }));
      replicas.back().model = "m";
    }
    AllowFourAttempts(test, replicas);
    answer = test.Call("/stream/x", kModel);
    arrivals = *count;
  });
  return answer;
}

}  // namespace

// Each case guards against a request that waits for silent replicas until its
// deadline although its route allows another one.
TEST_CASE("A third replica serves when two are silent for good") {
  int arrivals = 0;
  const auto answer = CallWith(
      [](int arrival, runtime::http_exchange&) {
        if (arrival < 2)
          boost::this_fiber::sleep_for(kForGood);
        return arrival < 2;
      },
      arrivals);
  CHECK(answer.status == 200);
  CHECK(answer.body == AllEvents(10));
  CHECK(arrivals == 3);
}

TEST_CASE("A silent second attempt is replaced after the first has ended") {
  int arrivals = 0;
  const auto answer = CallWith(
      [](int arrival, runtime::http_exchange& exchange) {
        if (arrival == 0) {
          boost::this_fiber::sleep_for(milliseconds(150));
          exchange.Abort();
        } else if (arrival == 1) {
          boost::this_fiber::sleep_for(kForGood);
        }
        return arrival < 2;
      },
      arrivals);
  CHECK(answer.status == 200);
  CHECK(answer.body == AllEvents(10));
  CHECK(arrivals == 3);
}

// Guards against retries of the service that are used up by connections that
// were refused.
TEST_CASE("A second attempt that isn't sent costs no retry") {
  const gateway_harness harness([](gateway_harness& test) {
    const auto script = [](runtime::http_exchange& exchange) {
      boost::this_fiber::sleep_for(milliseconds(600));
      StreamEvents(exchange, 10);
    };
    std::vector<target> replicas{test.AddReplica("a", script)};
    for (const char* name : {"x", "y", "z"})
      replicas.push_back(test.MakeUnreachable(name));
    for (target& replica : replicas)
      replica.model = "m";
    AllowFourAttempts(test, replicas);
    fleet_update update;
    // One retry, as four fifths of the allowance count.
    update.allowance = retry_allowance{0, 1.3, std::chrono::seconds(10)};
    test.gateway().ApplyUpdate(update);
    CHECK(test.Call("/stream/x", kModel).body == AllEvents(10));
    // The retry is still there: a broken request gets it.
    const auto count = std::make_shared<int>(0);
    const auto break_first = [count](runtime::http_exchange& exchange) {
      if ((*count)++ == 0)
        exchange.Abort();
      else
        StreamEvents(exchange, 10);
    };
    std::vector<target> others{test.AddReplica("b", break_first),
                               test.AddReplica("c", break_first)};
    for (target& replica : others)
      replica.model = "m";
    AllowFourAttempts(test, others);
    test.gateway().ApplyUpdate(update);
    CHECK(test.Call("/stream/x", kModel).body == AllEvents(10));
  });
}

}  // namespace flamingoshunt::gateway::testing
