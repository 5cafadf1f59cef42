// Measures what the request machine itself costs: processor time for each
// streamed chunk and each request, without sockets, and the memory that one
// request in flight holds.
// Links: base store endpoint catalogue admission caller delivery
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "delivery/request_machine.h"

namespace flamingoshunt::benchmarks {
namespace {

constexpr int kRounds = 5;  // The best one counts; others share the machine.
constexpr int kRequests = 2000;
constexpr int kChunks = 350;  // Tokens of a usual answer, one in each chunk.
constexpr int kPromptBytes = 2048;

class driven_request {
 public:
  driven_request(const delivery::settings& settings, delivery::id_source& ids)
      : machine_(delivery::request_machine::builder()
                     .WithSettings(settings)
                     .WithIds(ids)
                     .AcceptedAt({})
                     .Build()) {}

  void Begin() {
    caller::request request;
    request.body = std::string(kPromptBytes, 'p');
    request.stream = true;
    machine_.Handle(delivery::request_accepted{std::move(request)}, now_);
    for (const auto& effect : machine_.Handle(admission::grant{}, now_))
      if (const auto* start = std::get_if<delivery::start_attempt>(&effect))
        attempt_ = start->attempt.id;
    machine_.Handle(endpoint::answer_head{attempt_, 200, "text/event-stream"},
                    now_);
  }

  void Stream(int chunks) {
    for (int i = 0; i < chunks; ++i) {
      now_ += std::chrono::milliseconds(30);
      machine_.Handle(endpoint::answer_chunk{attempt_, offset_++, 1, " room"},
                      now_);
    }
  }

  void End() {
    machine_.Handle(endpoint::answer_end{attempt_, offset_, "stop"}, now_);
  }

 private:
  delivery::request_machine machine_;
  base::attempt_id attempt_;
  std::uint64_t offset_ = 0;
  base::time_point now_;
};

double NanosecondsEach(int count, const auto& action) {
  double best = 1e18;
  for (int round = 0; round < kRounds; ++round) {
    const auto start = std::chrono::steady_clock::now();
    action();
    const std::chrono::duration<double, std::nano> spent =
        std::chrono::steady_clock::now() - start;
    best = std::min(best, spent.count() / count);
  }
  return best;
}

void Run() {
  const delivery::settings settings;
  delivery::id_source ids("benchmark");
  const double request = NanosecondsEach(kRequests, [&] {
    for (int i = 0; i < kRequests; ++i) {
      driven_request each(settings, ids);
      each.Begin();
      each.End();
    }
  });
  const double chunk = NanosecondsEach(kRequests * kChunks, [&] {
    for (int i = 0; i < kRequests; ++i) {
      driven_request each(settings, ids);
      each.Begin();
      each.Stream(kChunks);
      each.End();
    }
  });
  std::vector<std::unique_ptr<driven_request>> held;
  const auto before = mallinfo2().uordblks;
  for (int i = 0; i < kRequests; ++i) {
    held.push_back(std::make_unique<driven_request>(settings, ids));
    held.back()->Begin();
    held.back()->Stream(kChunks);
  }
  const auto bytes = (mallinfo2().uordblks - before) / kRequests;
  std::printf("request without chunks   %8.0f ns\n", request);
  std::printf("chunk                    %8.0f ns\n", chunk);
  std::printf("request in flight, %d-byte body, %d tokens   %zu bytes\n",
              kPromptBytes, kChunks, static_cast<std::size_t>(bytes));
}

}  // namespace
}  // namespace flamingoshunt::benchmarks

int main() {
  flamingoshunt::benchmarks::Run();
}
