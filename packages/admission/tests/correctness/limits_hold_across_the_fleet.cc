#include <catch2/catch.hpp>

#include <map>

#include "packages/admission/tests/cluster.h"

namespace flamingoshunt::admission {

namespace {

constexpr double kRate = 200;  // Requests a second.
constexpr int kConcurrency = 12;

catalogue::snapshot CatalogueWithLimit(double rate, int concurrency) {
  auto snapshot = MakeCatalogue();
  snapshot.entries[kEntry].limit.requests_per_second = rate;
  snapshot.entries[kEntry].limit.concurrency = concurrency;
  return snapshot;
}

void StartServing(simulated_cluster& cluster) {
  cluster.HandleEverywhere(Serving(0, 100'000));
  cluster.HandleEverywhere(cluster.Roster(1));
  cluster.Advance(2s);
}

/// Sends 20 requests per step to each node in [0, senders) for @p length.
/// @return the number of granted requests.
int Flood(simulated_cluster& cluster, int senders, base::duration length) {
  static int next = 0;
  int granted = 0;
  for (auto remaining = length; remaining > base::duration::zero();
       remaining -= 50ms) {
    for (int node = 0; node < senders; ++node) {
      for (int i = 0; i < 20; ++i) {
        ++next;
        const auto done =
            cluster.Handle(node, MakeRequest(std::to_string(next), next % 3));
        granted += static_cast<int>(EffectsOf<grant>(done).size());
      }
    }
    cluster.Advance(50ms);
  }
  return granted;
}

}  // namespace

TEST_CASE("Demand at a single node gets at least 95 % of a rate limit") {
  simulated_cluster cluster(13, CatalogueWithLimit(kRate, 0));
  StartServing(cluster);
  Flood(cluster, 1, 5s);
  const double used = Flood(cluster, 1, 20s) / (kRate * 20);
  CAPTURE(used);
  CHECK(used >= 0.95);
  CHECK(used <= 1.0 + 1.0 / 20);
}

TEST_CASE("A partition never lets the fleet exceed a rate limit") {
  simulated_cluster cluster(13, CatalogueWithLimit(kRate, 0));
  StartServing(cluster);
  Flood(cluster, 1, 5s);
  cluster.can_deliver = [](int from, int to) { return (from < 6) == (to < 6); };
  // The bound is the rate, plus the burst of one second that the buckets may
  // have accumulated.
  CHECK(Flood(cluster, 13, 20s) <= kRate * (20 + 1));
  cluster.can_deliver = [](int, int) { return true; };
  CHECK(Flood(cluster, 13, 20s) <= kRate * (20 + 1));
}

TEST_CASE("Concurrency is never exceeded during restarts and partitions") {
  const auto catalogue = CatalogueWithLimit(0, kConcurrency);
  simulated_cluster cluster(4, catalogue);
  StartServing(cluster);
  base::random_engine random(5);
  std::map<std::string, std::pair<int, grant>> running;
  const auto record_grants = [&](int node, const std::vector<grant>& grants) {
    for (const auto& slot_grant : grants)
      running[slot_grant.request.str()] = {node, slot_grant};
  };
  std::uint64_t version = 1;
  for (int step = 0; step < 3'000; ++step) {
    // Most demand is at one node, which then holds most of the points.
    const int node =
        std::max(0, static_cast<int>(base::RandomIndex(random, 12)) - 8);
    const auto choice = base::RandomIndex(random, 200);
    if (choice == 0) {
      const bool is_split = base::RandomIndex(random, 2) == 0;
      cluster.can_deliver = [is_split](int from, int to) {
        return !is_split || (from < 2) == (to < 2);
      };
    } else if (choice == 1) {
      const auto roster = cluster.Roster(++version);
      for (int i = 0; i < 4; ++i)
        cluster.Handle(i, roster);
    } else if (choice < 100 || running.empty()) {
      const std::string id = std::to_string(step);
      record_grants(node,
                    EffectsOf<grant>(cluster.Handle(node, MakeRequest(id))));
    } else {
      const auto it = std::next(running.begin(),
                                static_cast<std::ptrdiff_t>(
                                    base::RandomIndex(random, running.size())));
      const auto [granting_node, granted] = it->second;
      running.erase(it);
      record_grants(
          granting_node,
          EffectsOf<grant>(cluster.Handle(
              granting_node,
              MakeRelease(granted, MakeRequest(granted.request.str())))));
    }
    for (const auto& [granting_node, effect] : cluster.Advance(50ms)) {
      if (const auto* granted = std::get_if<grant>(&effect))
        record_grants(granting_node, {*granted});
    }
    REQUIRE(static_cast<int>(running.size()) <= kConcurrency);
  }
  // After recovery, one node can use 95 % of the limit of 12, rounded down.
  cluster.can_deliver = [](int, int) { return true; };
  cluster.HandleEverywhere(cluster.Roster(++version));
  for (const auto& [id, running_grant] : running)
    cluster.Handle(running_grant.first,
                   MakeRelease(running_grant.second, MakeRequest(id)));
  for (int i = 0; i < 4; ++i) {
    for (int queued = 0; queued < 3'000; ++queued)
      cluster.Handle(i, withdrawal{base::request_id(std::to_string(queued))});
  }
  int used = 0;
  for (int i = 0; i < 20; ++i) {
    used += static_cast<int>(
        EffectsOf<grant>(
            cluster.Handle(0, MakeRequest("late" + std::to_string(i))))
            .size());
  }
  for (const auto& [granting_node, effect] : cluster.Advance(10s))
    used += std::holds_alternative<grant>(effect) ? 1 : 0;
  CHECK(used >= 11);
  CHECK(used <= kConcurrency);
}

}  // namespace flamingoshunt::admission
