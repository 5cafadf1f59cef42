#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <map>
#include <set>

#include "packages/admission/tests/cluster.h"
#include "tests/fixed_seed.h"

namespace flamingoshunt::admission {

namespace {

/// One node under random inputs; the invariants are checked after each step.
class random_workload {
 public:
  explicit random_workload(std::uint64_t seed)
      : random_(seed),
        controller_(
            controller_builder().Self(LocationOf(0)).Seed(seed).Build()) {
    auto snapshot = MakeCatalogue();
    snapshot.entries[kEntry].limit.concurrency = 10;
    snapshot.workspaces[base::workspace_id("w1")].limit.requests_per_second = 5;
    Handle(InForce(snapshot));
    for (int i = 0; i < kReplicas; ++i)
      SetServing(i, replica::serving_state::kServing);
  }

  void Step() {
    now_ += std::chrono::milliseconds(RandomIndex(80));
    switch (RandomIndex(10)) {
      case 0:
        SetServing(static_cast<int>(RandomIndex(kReplicas)),
                   static_cast<replica::serving_state>(RandomIndex(3)));
        break;
      case 1:
        Handle(tick{});
        break;
      case 2:
        if (!queued_.empty())
          WithdrawOne();
        break;
      case 3:
      case 4:
      case 5:
        if (!running_.empty())
          FinishOne();
        break;
      default:
        SendRequest();
    }
    RC_ASSERT(controller_.QueuedRequests() == queued_.size());
    RC_ASSERT(running_.size() <= std::size_t{10});
  }

  /// Finishes running attempts until no request is queued or running.
  void Drain() {
    for (int i = 0; i < kReplicas; ++i)
      SetServing(i, replica::serving_state::kServing);
    for (int round = 0; round < 5'000; ++round) {
      now_ += 50ms;
      Handle(tick{});
      if (running_.empty() && queued_.empty())
        return;
      if (!running_.empty())
        FinishOne(routing::attempt_result::kCompleted);
    }
    RC_FAIL("requests are left after draining");
  }

 private:
  static constexpr int kReplicas = 4;

  std::size_t RandomIndex(std::size_t count) {
    return base::RandomIndex(random_, count);
  }

  void SetServing(int number, replica::serving_state state) {
    const auto change = Serving(number, 3, state, ++epoch_);
    states_[change.replica.replica] = state;
    Handle(change);
  }

  void SendRequest() {
    slot_request request = MakeRequest(std::to_string(++last_id_),
                                       static_cast<int>(RandomIndex(3)));
    request.attempt = RandomIndex(4) == 0 ? 2 : 1;
    if (RandomIndex(3) == 0)
      request.deadline = now_ + std::chrono::milliseconds(RandomIndex(3'000));
    if (RandomIndex(4) == 0)
      request.shape.excluded = {
          base::replica_id("r" + std::to_string(RandomIndex(4)))};
    request.shape.fingerprint = base::fingerprint(RandomIndex(40));
    request.max_tokens = RandomIndex(2) == 0 ? 0 : 4'000;
    requests_[request.shape.request] = request;
    queued_.insert(request.shape.request);
    Handle(request);
  }

  void WithdrawOne() {
    const auto request =
        *std::next(queued_.begin(),
                   static_cast<std::ptrdiff_t>(RandomIndex(queued_.size())));
    queued_.erase(request);
    Handle(withdrawal{request});
  }

  void FinishOne() {
    constexpr std::size_t kResults = 5;
    FinishOne(static_cast<routing::attempt_result>(RandomIndex(kResults)));
  }

  void FinishOne(routing::attempt_result result) {
    const auto it =
        std::next(running_.begin(),
                  static_cast<std::ptrdiff_t>(RandomIndex(running_.size())));
    const grant slot_grant = it->second;
    running_.erase(it);
    Handle(MakeRelease(slot_grant, requests_.at(slot_grant.request), result,
                       RandomIndex(500)));
  }

  void Handle(const input& message) {
    for (const auto& effect : controller_.Handle(message, now_)) {
      if (const auto* slot_grant = std::get_if<grant>(&effect))
        OnGrant(*slot_grant);
      if (const auto* slot_refusal = std::get_if<refusal>(&effect))
        RC_ASSERT(queued_.erase(slot_refusal->request) == std::size_t{1});
    }
  }

  void OnGrant(const grant& slot_grant) {
    // A refused, withdrawn or already running request gets no grant.
    RC_ASSERT(queued_.erase(slot_grant.request) == std::size_t{1});
    const auto& excluded = requests_.at(slot_grant.request).shape.excluded;
    RC_ASSERT(std::find(excluded.begin(), excluded.end(),
                        slot_grant.place.replica) == excluded.end());
    RC_ASSERT(states_.at(slot_grant.place.replica) ==
              replica::serving_state::kServing);
    running_[slot_grant.request] = slot_grant;
  }

  base::random_engine random_;
  controller controller_;
  base::time_point now_{};
  int last_id_ = 0;
  std::uint64_t epoch_ = 0;
  std::map<base::replica_id, replica::serving_state> states_;
  std::map<base::request_id, slot_request> requests_;
  std::set<base::request_id> queued_;
  std::map<base::request_id, grant> running_;
};

}  // namespace

TEST_CASE("Every slot request ends in one grant, refusal or withdrawal") {
  CHECK(tests::Holds(
      [] {
        random_workload workload(*rc::gen::arbitrary<std::uint64_t>());
        for (int step = 0; step < 400; ++step)
          workload.Step();
        workload.Drain();
      },
      80));
}

}  // namespace flamingoshunt::admission
