#include <catch2/catch.hpp>

#include <array>
#include <string>

#include "admission/wait_queue.h"
#include "packages/admission/tests/cluster.h"

namespace flamingoshunt::admission {

namespace {

queued_request MakeQueued(int number,
                          int workspace,
                          double weight,
                          double cost,
                          bool is_long = false) {
  queued_request queued;
  queued.request = MakeRequest(std::to_string(number), workspace);
  queued.weight = weight;
  queued.cost = cost;
  queued.is_long = is_long;
  queued.order_time = base::time_point(std::chrono::milliseconds(number));
  return queued;
}

std::optional<queued_request> StartNext(wait_queue& from) {
  std::optional<queued_request> next;
  from.StartOne([&next](const queued_request& queued) {
    next = queued;
    return start_result::kStarted;
  });
  return next;
}

int WorkspaceOf(const queued_request& queued) {
  return queued.request.shape.workspace.str()[1] - '0';
}

}  // namespace

TEST_CASE("Backlogged workspaces are served by weight, whatever they queue") {
  const auto queue = MakeQueue(queue_kind::kFair);
  int number = 0;
  // The first queues most requests, the second has double weight, the third
  // sends large requests.
  for (int i = 0; i < 3'000; ++i)
    queue->Push(MakeQueued(++number, 0, 1, 10));
  for (int i = 0; i < 1'000; ++i)
    queue->Push(MakeQueued(++number, 1, 2, 10));
  for (int i = 0; i < 300; ++i)
    queue->Push(MakeQueued(++number, 2, 1, 100));
  std::array<double, 3> served{};
  for (int i = 0; i < 800; ++i) {
    const auto next = StartNext(*queue);
    REQUIRE(next);
    served.at(static_cast<std::size_t>(WorkspaceOf(*next))) += next->cost;
  }
  const double sum = served[0] + served[1] + served[2];
  CHECK(served[0] / sum == Approx(0.25).margin(0.0125));
  CHECK(served[1] / sum == Approx(0.50).margin(0.0250));
  CHECK(served[2] / sum == Approx(0.25).margin(0.0125));
}

TEST_CASE("A workspace with one request does not wait for a large backlog") {
  const auto queue = MakeQueue(queue_kind::kFair);
  for (int i = 0; i < 1'000; ++i)
    queue->Push(MakeQueued(i, 0, 1, 10));
  for (int i = 0; i < 100; ++i)
    StartNext(*queue);
  queue->Push(MakeQueued(5'000, 1, 1, 10));
  const bool is_early = WorkspaceOf(*StartNext(*queue)) == 1 ||
                        WorkspaceOf(*StartNext(*queue)) == 1;
  CHECK(is_early);
}

TEST_CASE("Short work overtakes long work for a bounded time only") {
  const auto queue = MakeQueue(queue_kind::kFair);
  // Its order time is a minute after its arrival; one short request arrives per
  // second.
  queued_request long_request = MakeQueued(1, 0, 1, 10, true);
  long_request.order_time += 60s;
  queue->Push(long_request);
  int overtaken = 0;
  for (int second = 0; second < 200; ++second) {
    queued_request short_request = MakeQueued(100 + second, 0, 1, 1);
    short_request.order_time = base::time_point(std::chrono::seconds(second));
    queue->Push(short_request);
    if (StartNext(*queue)->is_long)
      break;
    ++overtaken;
  }
  CHECK(overtaken == 61);
}

TEST_CASE("Less urgent classes keep a share of the slots") {
  const auto queue = MakeQueue(queue_kind::kFair);
  for (int i = 0; i < 2'000; ++i) {
    queued_request queued = MakeQueued(i, 0, 1, 10);
    queued.request.work = i % 2 == 0 ? catalogue::work_class::kInteractive
                                     : catalogue::work_class::kBatch;
    queue->Push(queued);
  }
  int batch = 0;
  for (int i = 0; i < 340; ++i)
    batch += StartNext(*queue)->request.work == catalogue::work_class::kBatch;
  CHECK(batch == Approx(340 / 17).margin(2));
}

}  // namespace flamingoshunt::admission
