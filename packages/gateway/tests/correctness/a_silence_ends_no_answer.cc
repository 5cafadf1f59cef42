#include <catch2/catch.hpp>

#include "gateway/peer_request.h"
#include "gateway/tests/gateway_harness.h"

namespace flamingoshunt::gateway::testing {
namespace {

// A sound replica may be silent for so long and go on.
constexpr milliseconds kSilence{1100};

const runtime::http_fields kModel = {{"Model", "m"}, {"Output", "20"}};

target AddEngine(gateway_harness& test,
                 const std::string& name,
                 gateway_harness::replica_script script) {
  target replica = test.AddReplica(name, std::move(script));
  replica.model = "m";
  return replica;
}

// Streams ten events with a silence after the fourth.
void StreamWithSilence(runtime::http_exchange& exchange) {
  StreamEvents(exchange, 4, 4);
  boost::this_fiber::sleep_for(kSilence);
  for (int id = 5; id <= 10; ++id)
    exchange.Write("id: " + std::to_string(id) + "\ndata: x\n\n");
  exchange.EndStream();
}

void StreamAfterSilence(runtime::http_exchange& exchange) {
  boost::this_fiber::sleep_for(kSilence);
  StreamEvents(exchange, 10);
}

void AnswerAfterSilence(runtime::http_exchange& exchange) {
  boost::this_fiber::sleep_for(milliseconds(400));
  SendValidAnswer(exchange);
}

void AllowNoRetries(gateway_harness& test) {
  fleet_update update;
  update.allowance = retry_allowance{0, 0, std::chrono::seconds(10)};
  test.gateway().ApplyUpdate(update);
}

}  // namespace

// Each case guards against giving up an attempt whose replica is only silent
// before another one has begun to answer.

TEST_CASE(
    "A stream whose silent replica has no alternative in budget goes on") {
  const gateway_harness harness([](gateway_harness& test) {
    test.SetTargets({}, {AddEngine(test, "a", StreamWithSilence),
                         AddEngine(test, "b", StreamWithSilence)});
    AllowNoRetries(test);
    const auto answer = test.Call("/stream/x", kModel);
    CHECK(answer.complete);
    CHECK(answer.body == AllEvents(10));
    CHECK(test.arrivals["a"] + test.arrivals["b"] == 1);
  });
}

TEST_CASE("A stream that hasn't begun waits for its silent replica") {
  const gateway_harness harness([](gateway_harness& test) {
    test.SetTargets({}, {AddEngine(test, "a", StreamAfterSilence),
                         AddEngine(test, "b", StreamAfterSilence)});
    AllowNoRetries(test);
    const auto answer = test.Call("/stream/x", kModel);
    CHECK(answer.status == 200);
    CHECK(answer.body == AllEvents(10));
  });
}

TEST_CASE("A plain request waits for its silent replica") {
  const gateway_harness harness([](gateway_harness& test) {
    test.SetTargets({test.AddReplica("a", AnswerAfterSilence),
                     test.AddReplica("b", AnswerAfterSilence)});
    AllowNoRetries(test);
    const auto answer = test.Call("/safe/x");
    CHECK(answer.status == 200);
    CHECK(answer.body == "done");
  });
}

// The alternative ends the connection after a while; the first replica
// continues.
TEST_CASE("A stream outlives an alternative that breaks off") {
  const gateway_harness harness([](gateway_harness& test) {
    const auto count = std::make_shared<int>(0);
    const auto script = [count](runtime::http_exchange& exchange) {
      if ((*count)++ == 0) {
        StreamWithSilence(exchange);
        return;
      }
      boost::this_fiber::sleep_for(milliseconds(200));
      exchange.Abort();
    };
    test.SetTargets(
        {}, {AddEngine(test, "a", script), AddEngine(test, "b", script)});
    const auto answer = test.Call("/stream/x", kModel);
    CHECK(answer.complete);
    CHECK(answer.body == AllEvents(10));
    CHECK(*count == 2);
  });
}

TEST_CASE("A plain request outlives an alternative that breaks off") {
  const gateway_harness harness([](gateway_harness& test) {
    const auto count = std::make_shared<int>(0);
    const auto script = [count](runtime::http_exchange& exchange) {
      if ((*count)++ == 0)
        AnswerAfterSilence(exchange);
      else
        exchange.Abort();
    };
    test.SetTargets(
        {test.AddReplica("a", script), test.AddReplica("b", script)});
    const auto answer = test.Call("/safe/x");
    CHECK(answer.status == 200);
    CHECK(*count == 2);
  });
}

TEST_CASE("A silent replica that speaks first keeps its stream") {
  const gateway_harness harness([](gateway_harness& test) {
    const auto ended = std::make_shared<bool>(false);
    const auto count = std::make_shared<int>(0);
    const auto script = [count, ended](runtime::http_exchange& exchange) {
      if ((*count)++ == 0) {
        StreamWithSilence(exchange);
        return;
      }
      exchange.WatchCaller([ended] { *ended = true; });
      for (int i = 0; i < 300 && !*ended; ++i)
        boost::this_fiber::sleep_for(milliseconds(10));
      exchange.Abort();
    };
    test.SetTargets(
        {}, {AddEngine(test, "a", script), AddEngine(test, "b", script)});
    const auto answer = test.Call("/stream/x", kModel);
    CHECK(answer.complete);
    CHECK(answer.body == AllEvents(10));
    CHECK(*count == 2);
    // The alternative stops its work.
    boost::this_fiber::sleep_for(milliseconds(50));
    CHECK(*ended);
    CHECK(test.gateway().CollectUpdate().loads.empty());
  });
}

TEST_CASE("A caller that leaves ends both attempts") {
  const gateway_harness harness([](gateway_harness& test) {
    const auto ended = std::make_shared<int>(0);
    const auto script = [ended](runtime::http_exchange& exchange) {
      const auto left = std::make_shared<bool>(false);
      exchange.WatchCaller([left] { *left = true; });
      for (int i = 0; i < 300 && !*left; ++i)
        boost::this_fiber::sleep_for(milliseconds(10));
      *ended += *left ? 1 : 0;
      exchange.Abort();
    };
    test.SetTargets(
        {}, {AddEngine(test, "a", script), AddEngine(test, "b", script)});
    {
      runtime::http_connection caller(test.loop());
      caller.Connect(test.address(), milliseconds(500));
      auto request = test.MakeCall("/stream/x", kModel);
      caller.Send(request, milliseconds(500));
      boost::this_fiber::sleep_for(milliseconds(1000));
    }
    boost::this_fiber::sleep_for(milliseconds(100));
    CHECK(test.arrivals["a"] == 1);
    CHECK(test.arrivals["b"] == 1);
    CHECK(*ended == 2);
    CHECK(test.gateway().running() == 0);
    CHECK(test.gateway().CollectUpdate().loads.empty());
  });
}

// A peer that stops takes no more requests, but completes those it has.
TEST_CASE("A request stays at a peer that stops if nobody else has a place") {
  const gateway_harness harness([](gateway_harness& test) {
    std::vector<target> replicas;
    for (const char* name : {"x", "y", "z"})
      replicas.push_back(test.MakeUnreachable(name));
    test.SetTargets(replicas);
    const auto answer_late = [](runtime::http_exchange& exchange) {
      boost::this_fiber::sleep_for(milliseconds(300));
      exchange.SendWhole(200, "text/plain", "from a peer",
                         {{"Signature", "s"}});
    };
    const target peer = test.AddReplica("p", answer_late);
    test.SetPeers({peer});
    runtime::SpawnFiber([&] {
      boost::this_fiber::sleep_for(milliseconds(150));
      test.SetPeers({});
    });
    const auto answer = test.Call("/safe/x");
    CHECK(answer.status == 200);
    CHECK(answer.body == "from a peer");
    CHECK(test.arrivals["p"] == 1);
  });
}

}  // namespace flamingoshunt::gateway::testing
