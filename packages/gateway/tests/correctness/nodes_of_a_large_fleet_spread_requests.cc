// Replays the start of traffic in a large fleet: many nodes place a little each
// on a hundred heads, and learn of the others' placements with a delay. Guards
// against all of them choosing the same head, which overran it while others
// were idle.
#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>

#include "gateway/tests/dispatch_fixture.h"

namespace flamingoshunt::gateway::testing {
namespace {

constexpr int kNodes = 195;
constexpr int kHeads = 100;
constexpr int kSlots = 13;
constexpr int kDelayMs = 60;
constexpr int kServiceMs = 700;
constexpr int kDurationMs = 4000;
constexpr double kArrivalsPerMs = 0.96;
// Busiest head against the mean.
constexpr double kMostOfMean = 4;

struct running_request {
  int ends_at_ms = 0;
  int node = 0;
  ticket_id ticket;
  base::instance_id head;
};

struct outcome {
  int most_at_a_head = 0;  ///< Requests that ran at once.
  int beyond_slots = 0;    ///< Requests placed on a head without a free slot.
  int placed = 0;
  int refused = 0;
};

/// Nodes whose loads reach the others after a delay.
class fleet {
 public:
  explicit fleet(base::duration peer_delay) {
    auto view = std::make_shared<fleet_view>(*MakeView(kHeads, kSlots, kNodes));
    view->peer_delay = peer_delay;
    for (int i = 0; i < kNodes; ++i) {
      nodes_.push_back(std::make_unique<dispatcher>(
          base::random_engine(static_cast<std::uint64_t>(i) + 1)));
      nodes_.back()->SetView(view, At(0));
    }
  }

  outcome Run() {
    double due = 0;
    for (now_ms_ = 0; now_ms_ < kDurationMs; ++now_ms_) {
      End();
      if (now_ms_ % kDelayMs == 0)
        Inform();
      for (due += kArrivalsPerMs; due >= 1; due -= 1)
        Arrive();
    }
    return outcome_;
  }

 private:
  void Arrive() {
    const int node = static_cast<int>(base::RandomIndex(random_, kNodes));
    Take(node, nodes_[static_cast<std::size_t>(node)]->Submit(
                   MakeStreamRequest(++last_ticket_, now_ms_), At(now_ms_)));
  }

  void End() {
    while (!running_.empty() && running_.front().ends_at_ms <= now_ms_) {
      const running_request ended = running_.front();
      running_.pop_front();
      --at_head_[ended.head];
      Take(ended.node, nodes_[static_cast<std::size_t>(ended.node)]->Release(
                           ended.ticket, true, At(now_ms_)));
    }
  }

  void Take(int node, const decisions& made) {
    outcome_.refused += static_cast<int>(made.refusals.size());
    for (const grant& granted : made.grants) {
      const int running = ++at_head_[granted.replica.instance];
      ++outcome_.placed;
      outcome_.beyond_slots += running > kSlots ? 1 : 0;
      outcome_.most_at_a_head = std::max(outcome_.most_at_a_head, running);
      nodes_[static_cast<std::size_t>(node)]->OnFirstEvent(granted.ticket);
      running_.push_back({now_ms_ + kServiceMs, node, granted.ticket,
                          granted.replica.instance});
    }
  }

  // Each node learns what the others have placed by now.
  void Inform() {
    load_map sums;
    for (int head = 0; head < kHeads; ++head)
      sums[base::instance_id("h" + std::to_string(head))] = {};
    for (const auto& node : nodes_) {
      for (const auto& [head, load] : node->own_loads())
        sums[head] += load;
    }
    for (int i = 0; i < kNodes; ++i) {
      dispatcher& node = *nodes_[static_cast<std::size_t>(i)];
      load_map others = sums;
      for (const auto& [head, load] : node.own_loads())
        others[head] -= load;
      Take(i, node.UpdatePeerLoads(others, At(now_ms_)));
    }
  }

  std::vector<std::unique_ptr<dispatcher>> nodes_;
  base::random_engine random_{42};
  std::deque<running_request> running_;
  std::map<base::instance_id, int> at_head_;
  std::uint64_t last_ticket_ = 0;
  int now_ms_ = 0;
  outcome outcome_;
};

}  // namespace

TEST_CASE("Nodes of a large fleet spread requests that they place at once") {
  const outcome spread = fleet(milliseconds(kDelayMs)).Run();
  const outcome cheapest = fleet(milliseconds(0)).Run();
  INFO("most " << spread.most_at_a_head << ", beyond " << spread.beyond_slots
               << " of " << spread.placed << "; all on the cheapest: most "
               << cheapest.most_at_a_head << ", beyond "
               << cheapest.beyond_slots);
  const double mean = kArrivalsPerMs * kServiceMs / kHeads;
  CHECK(spread.most_at_a_head <= kMostOfMean * mean);
  CHECK(spread.beyond_slots * 10 <= cheapest.beyond_slots);
  CHECK(spread.refused == 0);
}

}  // namespace flamingoshunt::gateway::testing
