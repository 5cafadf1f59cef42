// Tests the gateway end to end over the platform's protocol: each kind of
// request, a resumed stream, rejections, a configuration change, a lost member,
// a store outage, a draining replica and a graceful shutdown.
#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

#include "tests/native/native_deployment.h"

namespace flamingoshunt::native {
namespace {

using std::chrono::milliseconds;

native_deployment& Deployment() {
  static auto* deployment = new native_deployment(3);
  return *deployment;
}

const runtime::http_fields kLarge = {{"X-Flamingoshunt-Model", "m0"}};
const runtime::http_fields kSmall = {{"X-Flamingoshunt-Model", "m1"}};

std::string CompleteStream() {
  std::string out;
  for (int event = 1; event <= 20; ++event)
    out += "id: " + std::to_string(event) + "\ndata: token\n\n";
  return out;
}

int CountRuns(const std::string& id) {
  int runs = 0;
  Deployment().RunOnStandIns([&] {
    for (const auto& replica : Deployment().replicas()) {
      const auto it = replica->runs().find(id);
      runs += it == replica->runs().end() ? 0 : it->second;
    }
  });
  return runs;
}

// @return the replica that executes the request @p id, or null.
stand_ins::native_replica* FindRunner(const std::string& id) {
  stand_ins::native_replica* runner = nullptr;
  Deployment().RunOnStandIns([&] {
    for (const auto& replica : Deployment().replicas()) {
      if (replica->runs().contains(id))
        runner = replica.get();
    }
  });
  return runner;
}

}  // namespace

TEST_CASE("Each kind of request is served at every node") {
  for (int node = 0; node < 3; ++node) {
    const std::string suffix = std::to_string(node);
    CHECK(Deployment().Call(node, "/plan/x", "p" + suffix, kLarge).body ==
          CompleteStream());
    CHECK(Deployment().Call(node, "/plan/x", "q" + suffix, kSmall).body ==
          CompleteStream());
    const auto lock = Deployment().Call(node, "/lock/x", "l" + suffix);
    CHECK(lock.status == 200);
    CHECK(lock.body.find(" for w1") != std::string::npos);
    CHECK(CountRuns("l" + suffix) == 1);
    CHECK(Deployment().Call(node, "/check/x", "c" + suffix).status == 200);
  }
}

TEST_CASE(
    "A stream cut by a crash of its head is incomplete, and the group is "
    "replaced") {
  caller_answer answer;
  std::thread caller(
      [&] { answer = Deployment().Call(0, "/plan/x", "crash", kSmall); });
  REQUIRE(Deployment().WaitUntil([] { return FindRunner("crash") != nullptr; },
                                 milliseconds(3000)));
  auto* head = FindRunner("crash");
  std::this_thread::sleep_for(milliseconds(60));
  Deployment().RunOnStandIns([&] { head->Crash(); });
  caller.join();
  // Only one group serves the small model, so the stream cannot resume; it must
  // not look complete. The model is available again within seconds.
  CHECK_FALSE(answer.body == CompleteStream());
  CHECK_FALSE((answer.status == 200 && answer.complete));
  CHECK(Deployment().WaitUntil(
      [&] {
        return Deployment().Call(1, "/plan/x", "after", kSmall).body ==
               CompleteStream();
      },
      milliseconds(6000)));
}

TEST_CASE("Rejected requests get a matching status and are not executed") {
  CHECK(Deployment().Call(0, "/nowhere/x", "r1").status == 404);
  CHECK(Deployment()
            .Call(0, "/lock/x", "r2", {{"Authorization", "Token wrong"}})
            .status == 401);
  Deployment().RunOnStandIns([] {
    for (auto& replica : Deployment().replicas())
      replica->shedding = true;
  });
  CHECK(Deployment().Call(0, "/lock/x", "r3").status == 503);
  Deployment().RunOnStandIns([] {
    for (auto& replica : Deployment().replicas())
      replica->shedding = false;
  });
  CHECK(CountRuns("r1") + CountRuns("r2") + CountRuns("r3") == 0);
}

TEST_CASE("A changed configuration is in force at every node within 2 s") {
  CHECK(Deployment().Call(2, "/extra/x", "e1").status == 404);
  Deployment().Configure(5, true);
  CHECK(Deployment().WaitUntil(
      [] {
        for (int node = 0; node < 3; ++node) {
          if (Deployment().Call(node, "/extra/x", "e2").status != 200)
            return false;
        }
        return true;
      },
      milliseconds(2000)));
  // An older version never comes back into force.
  Deployment().Configure(4, false);
  std::this_thread::sleep_for(milliseconds(300));
  CHECK(Deployment().Call(0, "/extra/x", "e3").status == 200);
}

TEST_CASE("Nodes continue to serve while the store refuses every call") {
  Deployment().RunOnStandIns([] { Deployment().store().refuse_calls = true; });
  std::this_thread::sleep_for(milliseconds(500));
  for (int node = 0; node < 3; ++node)
    CHECK(Deployment()
              .Call(node, "/plan/x", "o" + std::to_string(node), kLarge)
              .body == CompleteStream());
  Deployment().RunOnStandIns([] { Deployment().store().refuse_calls = false; });
}

TEST_CASE("A draining replica gets no new requests within 2 s") {
  stand_ins::native_replica* draining_replica = nullptr;
  Deployment().RunOnStandIns([&] {
    for (auto& replica : Deployment().replicas()) {
      if (replica->id() == "a1")
        draining_replica = replica.get();
    }
    draining_replica->Drain();
  });
  std::this_thread::sleep_for(milliseconds(2000));
  std::size_t before = 0;
  Deployment().RunOnStandIns([&] { before = draining_replica->runs().size(); });
  for (int i = 0; i < 12; ++i)
    CHECK(
        Deployment().Call(i % 3, "/check/x", "d" + std::to_string(i)).status ==
        200);
  std::size_t after = 0;
  Deployment().RunOnStandIns([&] { after = draining_replica->runs().size(); });
  CHECK(after == before);
}

TEST_CASE(
    "A node that shuts down completes its streams, and the others continue") {
  caller_answer answer;
  std::thread caller(
      [&] { answer = Deployment().Call(2, "/plan/x", "stop", kLarge); });
  REQUIRE(Deployment().WaitUntil([] { return FindRunner("stop") != nullptr; },
                                 milliseconds(3000)));
  CHECK(Deployment().node(2).StopGracefully());
  caller.join();
  CHECK(answer.body == CompleteStream());
  CHECK(Deployment().Call(0, "/plan/x", "others", kLarge).body ==
        CompleteStream());
}

}  // namespace flamingoshunt::native
