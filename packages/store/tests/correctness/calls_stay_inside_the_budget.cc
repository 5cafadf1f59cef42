#include <catch2/catch.hpp>

#include "stand_ins/client_fleet.h"

namespace flamingoshunt::store {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr int kNodes = 13;
constexpr double kRate = 20;  // calls a second and node

client_options Options() {
  client_options options;
  options.calls_per_second = kRate;
  options.burst = kRate;
  return options;
}

call Read(call_id_source& ids, call_priority priority) {
  call request;
  request.id = ids.Next();
  request.key = {"entry", "n"};
  request.priority = priority;
  return request;
}

void StartOutage(stand_ins::platform_faults& faults, bool silent) {
  faults.refuse = !silent;
  faults.silent = silent;
}

}  // namespace

TEST_CASE("After an hour's outage the first ten seconds stay in the budget") {
  for (const bool silent : {false, true}) {
    INFO("silent " << silent);
    stand_ins::client_fleet fleet(kNodes, Options(), 1);
    call_id_source ids(call_owner::kControl);
    for (int node = 0; node < kNodes; ++node) {
      for (std::uint64_t kind = 1; kind <= 4; ++kind)
        fleet.Watch(node, watch_id(kind), std::to_string(kind));
    }
    // Each node asks for four times its budget all the time.
    const auto run = [&](base::duration span) {
      for (const auto end = fleet.now() + span; fleet.now() < end;) {
        for (int node = 0; node < kNodes; ++node) {
          for (int i = 0; i < 4 * kRate; ++i)
            fleet.Submit(node, Read(ids, call_priority::kControl));
        }
        fleet.RunFor(seconds(1));
      }
    };
    run(seconds(10));
    StartOutage(fleet.platform.faults, silent);
    run(minutes(2));
    fleet.RunFor(minutes(58));
    fleet.platform.faults = {};
    const auto before = fleet.platform.calls_received();
    run(seconds(10));
    const auto calls = fleet.platform.calls_received() - before;
    CHECK(calls <= kNodes * (10 * kRate + 1));
    CHECK(calls > kNodes * kRate);  // They did come back.
    // The last probe of the outage may have started the longest wait.
    CHECK(Options().backoff_high < seconds(10));
    for (int node = 0; node < kNodes; ++node)
      CHECK(fleet.node(node).available());
  }
}

TEST_CASE("Every call ends once, in time, and the request path goes first") {
  stand_ins::client_fleet fleet(1, Options(), 1);
  call_id_source ids(call_owner::kDelivery);
  std::map<call_id, call_outcome> ended;
  fleet.on_reply = [&](int, const reply& answer) {
    CHECK(ended.emplace(answer.id, answer.outcome).second);
  };
  std::vector<call_id> background;
  std::vector<call_id> urgent;
  for (int i = 0; i < 300; ++i) {
    const call request = Read(ids, call_priority::kBackground);
    background.push_back(request.id);
    fleet.Submit(0, request);
  }
  for (int i = 0; i < 30; ++i) {
    const call request = Read(ids, call_priority::kRequestPath);
    urgent.push_back(request.id);
    fleet.Submit(0, request);
  }
  fleet.RunFor(seconds(3));
  CHECK(ended.size() == background.size() + urgent.size());
  for (const call_id id : urgent)
    CHECK(ended[id] == call_outcome::kNotFound);
  CHECK(ended[background.back()] == call_outcome::kUnavailable);
  CHECK(fleet.node(0).counters().expired > 200);
}

TEST_CASE("A full queue drops the newest of the lowest priority") {
  call_queue queue(2);
  call_id_source ids(call_owner::kDelivery);
  const base::time_point now{};
  const call low = Read(ids, call_priority::kBackground);
  CHECK_FALSE(queue.Add(low, now));
  CHECK_FALSE(queue.Add(Read(ids, call_priority::kControl), now));
  const auto dropped = queue.Add(Read(ids, call_priority::kRequestPath), now);
  REQUIRE(dropped);
  CHECK(dropped->id == low.id);
}

}  // namespace flamingoshunt::store
