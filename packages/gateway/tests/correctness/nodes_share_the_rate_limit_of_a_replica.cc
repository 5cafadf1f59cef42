// Guards against a replica that gets what it can take from each node instead of
// from all: every node has queued requests, and each would send them as soon as
// the limit allows one.
#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>

#include "gateway/tests/dispatch_fixture.h"

namespace flamingoshunt::gateway::testing {
namespace {

constexpr int kNodes = 12;
constexpr int kHeads = 2;
constexpr int kSlots = 5;
constexpr double kLimit = 6;  // requests a second
constexpr int kDayMs = 20'000;
constexpr int kArrivalsPerSecond = 40;
constexpr int kServiceMs = 300;
constexpr int kPeerUpdateMs = 10;
constexpr int kTickMs = 20;
// Bound of the deployment's rules, without the five requests that it allows for
// those under way.
constexpr int kWindowMs = 4'000;
constexpr double kTolerance = 1.5;

const base::instance_id kLimited("h0");

class limited_fleet {
 public:
  explicit limited_fleet(std::uint64_t seed) : random_(seed) {
    for (std::uint64_t i = 0; i < kNodes; ++i) {
      nodes_.emplace_back(base::random_engine(seed * kNodes + i));
      nodes_.back().SetView(MakeView(kHeads, kSlots, kNodes), At(0));
    }
    nodes_.front().RecordLimit(kLimited, kLimit, At(0));
  }

  void Run() {
    for (now_ = 0; now_ < kDayMs; ++now_) {
      if (now_ % (1000 / kArrivalsPerSecond) == 0)
        Arrive();
      while (!running_.empty() && running_.front().ends_at <= now_) {
        const run ended = running_.front();
        running_.pop_front();
        Take(ended.node,
             nodes_[ended.node].Release(ended.ticket, true, At(now_)));
      }
      for (std::size_t i = 0; i < kNodes; ++i) {
        if ((now_ + static_cast<int>(i)) % kTickMs == 0)
          Take(i, nodes_[i].Tick(At(now_)));
      }
      if (now_ % kPeerUpdateMs == 0)
        Exchange();
    }
  }

  /// @return the most requests that reached the limited head in a window.
  int MostInWindow() const {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < arrivals_ms_.size(); ++last) {
      while (arrivals_ms_[last] - arrivals_ms_[first] > kWindowMs)
        ++first;
      most = std::max(most, last - first + 1);
    }
    return static_cast<int>(most);
  }

  int Total() const { return static_cast<int>(arrivals_ms_.size()); }

 private:
  struct run {
    std::size_t node = 0;
    ticket_id ticket;
    int ends_at = 0;
  };

  // Half of the callers use the first nodes, so that demand is uneven.
  void Arrive() {
    const std::size_t nodes =
        base::RandomUnit(random_) < 0.5 ? kNodes / 4 : kNodes;
    const std::size_t node = base::RandomIndex(random_, nodes);
    Take(node,
         nodes_[node].Submit(MakeStreamRequest(++tickets_, now_), At(now_)));
  }

  void Take(std::size_t node, const decisions& result) {
    for (const grant& granted : result.grants) {
      running_.push_back({node, granted.ticket, now_ + kServiceMs});
      if (granted.replica.instance == kLimited)
        arrivals_ms_.push_back(now_);
    }
  }

  void Exchange() {
    for (std::size_t to = 0; to < kNodes; ++to) {
      load_map loads;
      for (int head = 0; head < kHeads; ++head)
        loads[base::instance_id("h" + std::to_string(head))] = {};
      queue_length_map queue_lengths;
      for (std::size_t from = 0; from < kNodes; ++from) {
        if (from == to)
          continue;
        for (const auto& [head, load] : nodes_[from].own_loads())
          loads[head] += load;
        for (const auto& [pool, waiting] : nodes_[from].own_queue_lengths())
          queue_lengths[pool] += waiting;
        nodes_[to].ApplyPeerLimits(base::node_id("n" + std::to_string(from)),
                                   nodes_[from].own_limits(), At(now_));
      }
      nodes_[to].SetPeerQueueLengths(queue_lengths);
      Take(to, nodes_[to].UpdatePeerLoads(loads, At(now_)));
    }
  }

  base::random_engine random_;
  int now_ = 0;
  std::uint64_t tickets_ = 0;
  std::vector<dispatcher> nodes_;
  std::deque<run> running_;
  std::vector<int> arrivals_ms_;
};

}  // namespace

TEST_CASE("All nodes together keep to the limit of a replica, and use it") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    limited_fleet fleet(seed);
    fleet.Run();
    CHECK(fleet.MostInWindow() <= kTolerance * kLimit * kWindowMs / 1000);
    CHECK(fleet.Total() >= kLimit * kDayMs / 1000 * 0.8);
  }
}

}  // namespace flamingoshunt::gateway::testing
