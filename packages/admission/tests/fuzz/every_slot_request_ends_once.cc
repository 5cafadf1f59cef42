#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <map>
#include <set>

#include "packages/admission/tests/cluster.h"
#include "tests/fixed_seed.h"

namespace flamingoshunt::admission {

namespace {

/// One node under random inputs, with what must hold checked at each step.
class storm {
 public:
  explicit storm(std::uint64_t seed)
      : random_(seed),
        machine_(machine_builder().Self(Place(0)).Seed(seed).Build()) {
    auto all = MakeCatalogue();
    all.entries[kEntry].limit.concurrency = 10;
    all.workspaces[base::workspace_id("w1")].limit.requests_per_second = 5;
    Feed(InForce(all));
    for (int i = 0; i < kReplicas; ++i)
      Serve(i, replica::serving_state::kServing);
  }

  void Step() {
    now_ += std::chrono::milliseconds(Pick(80));
    switch (Pick(10)) {
      case 0:
        Serve(static_cast<int>(Pick(kReplicas)),
              static_cast<replica::serving_state>(Pick(3)));
        break;
      case 1:
        Feed(tick{});
        break;
      case 2:
        if (!waiting_.empty())
          Withdraw();
        break;
      case 3:
      case 4:
      case 5:
        if (!running_.empty())
          End();
        break;
      default:
        Ask();
    }
    RC_ASSERT(machine_.Waiting() == waiting_.size());
    RC_ASSERT(running_.size() <= std::size_t{10});
  }

  /// Ends all that runs until nothing waits any more.
  void Drain() {
    for (int i = 0; i < kReplicas; ++i)
      Serve(i, replica::serving_state::kServing);
    for (int round = 0; round < 5'000; ++round) {
      now_ += 50ms;
      Feed(tick{});
      if (running_.empty() && waiting_.empty())
        return;
      if (!running_.empty())
        End(routing::attempt_result::kCompleted);
    }
    RC_FAIL("work is stuck");
  }

 private:
  static constexpr int kReplicas = 4;

  std::size_t Pick(std::size_t count) {
    return base::RandomIndex(random_, count);
  }

  void Serve(int number, replica::serving_state state) {
    const auto news = Serving(number, 3, state, ++epoch_);
    states_[news.replica.replica] = state;
    Feed(news);
  }

  void Ask() {
    ask made = MakeAsk(std::to_string(++last_), static_cast<int>(Pick(3)));
    made.attempt = Pick(4) == 0 ? 2 : 1;
    if (Pick(3) == 0)
      made.deadline = now_ + std::chrono::milliseconds(Pick(3'000));
    if (Pick(4) == 0)
      made.shape.excluded = {base::replica_id("r" + std::to_string(Pick(4)))};
    made.shape.fingerprint = base::fingerprint(Pick(40));
    made.max_tokens = Pick(2) == 0 ? 0 : 4'000;
    asks_[made.shape.request] = made;
    waiting_.insert(made.shape.request);
    Feed(made);
  }

  void Withdraw() {
    const auto request = *std::next(
        waiting_.begin(), static_cast<std::ptrdiff_t>(Pick(waiting_.size())));
    waiting_.erase(request);
    Feed(withdraw{request});
  }

  void End() {
    constexpr std::size_t kResults = 5;
    End(static_cast<routing::attempt_result>(Pick(kResults)));
  }

  void End(routing::attempt_result result) {
    const auto at = std::next(
        running_.begin(), static_cast<std::ptrdiff_t>(Pick(running_.size())));
    const grant granted = at->second;
    running_.erase(at);
    Feed(MakeRelease(granted, asks_.at(granted.request), result, Pick(500)));
  }

  void Feed(const input& given) {
    for (const auto& each : machine_.Handle(given, now_)) {
      if (const auto* granted = std::get_if<grant>(&each))
        Granted(*granted);
      if (const auto* refused = std::get_if<refusal>(&each))
        RC_ASSERT(waiting_.erase(refused->request) == std::size_t{1});
    }
  }

  void Granted(const grant& granted) {
    // A refused, withdrawn or already running request gets no grant.
    RC_ASSERT(waiting_.erase(granted.request) == std::size_t{1});
    const auto& excluded = asks_.at(granted.request).shape.excluded;
    RC_ASSERT(std::find(excluded.begin(), excluded.end(),
                        granted.place.replica) == excluded.end());
    RC_ASSERT(states_.at(granted.place.replica) ==
              replica::serving_state::kServing);
    running_[granted.request] = granted;
  }

  base::random_engine random_;
  machine machine_;
  base::time_point now_{};
  int last_ = 0;
  std::uint64_t epoch_ = 0;
  std::map<base::replica_id, replica::serving_state> states_;
  std::map<base::request_id, ask> asks_;
  std::set<base::request_id> waiting_;
  std::map<base::request_id, grant> running_;
};

}  // namespace

TEST_CASE("Every ask ends in one grant, refusal or withdrawal") {
  CHECK(tests::Holds(
      [] {
        storm all(*rc::gen::arbitrary<std::uint64_t>());
        for (int step = 0; step < 400; ++step)
          all.Step();
        all.Drain();
      },
      80));
}

}  // namespace flamingoshunt::admission
