// Measures group downtime and stranded instance time of two mend policies over
// the same schedule of faults, in virtual time.
// Links: replica
//
// Group downtime is the time that an entry lacks whole replicas, summed over
// the replicas that it lacks; "broken" is the time that groups are not whole,
// also while others stand in. Stranded time is the time that live instances
// stand in a group which is not whole, summed over instances. Faults are drawn
// once from the seed, as times and ranks of instances, so both policies meet
// the same schedule.
//
//   benchmark_group_downtime [deployment] [hours] [seed] [spares]
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "replica/tests/fleet_builder.h"

namespace flamingoshunt::replica::harness {
namespace {

using std::chrono::hours;
using std::chrono::minutes;

struct deployment {
  const char* name;
  int failure_domains;
  int fabric_domains;  // In each failure domain.
  int spares;          // In each fabric domain.
  int replicas;
  int members;
  int service_replicas;
  bool checks_fencing;
  int failures;      // A day.
  int replacements;  // A day.
  int weight_slots;
  int nodes;
  duration report_period;
};

constexpr deployment kDeployments[] = {
    {"today, checking engines", 3, 2, 2, 65, 4, 3, true, 27, 250, 8, 1,
     seconds(2)},
    {"today, ignoring engines", 3, 2, 2, 65, 4, 3, false, 27, 250, 8, 1,
     seconds(2)},
    {"520 replicas of 16", 10, 6, 4, 520, 16, 0, true, 27, 250, 64, 1,
     seconds(10)},
    {"3900 replicas of 16", 25, 10, 4, 3900, 16, 0, true, 27, 250, 256, 1,
     seconds(30)},
};

struct fault {
  duration at;
  std::size_t victim;  // Index into all instances.
  bool planned;
};

struct result {
  double downtime = 0;  // Replica seconds.
  double broken = 0;    // Replica seconds.
  double stranded = 0;  // Instance seconds.
  int loads = 0;
  double processor = 0;  // Seconds of this machine, harness included.
};

settings SettingsFor(const deployment& chosen) {
  settings out;
  out.report_period = chosen.report_period;
  out.freshness = chosen.report_period * 3;
  out.loss_timeout = chosen.report_period * 4;
  out.weight_slots = chosen.weight_slots;
  return out;
}

fleet_simulation::options OptionsFor(const deployment& chosen, bool product) {
  fleet_simulation::options out;
  out.replica_settings = SettingsFor(chosen);
  out.load_time = seconds(90);
  out.regroup_time = seconds(5);
  out.check = false;
  out.restart_on_join = !product;
  if (product)
    return out;
  out.policy = std::make_shared<rebuild_policy>();
  out.replica_settings.surplus_replicas = 0;
  return out;
}

class day {
 public:
  day(const deployment& chosen, bool product)
      : chosen_(chosen), world_(OptionsFor(chosen, product)) {
    const int domains = chosen.failure_domains * chosen.fabric_domains;
    const int each = (chosen.replicas + domains - 1) / domains;
    for (int i = 0; i < domains; ++i)
      world_.AddInstances("rack-" + std::to_string(100 + i),
                          "zone-" + std::to_string(i % chosen.failure_domains),
                          each * chosen.members + chosen.spares,
                          chosen.checks_fencing);
    std::vector<catalogue::entry> entries = {
        Engine("llm", chosen.replicas, chosen.members, chosen.checks_fencing)};
    if (chosen.service_replicas > 0)
      entries.push_back(Engine("service", chosen.service_replicas, 1, false));
    world_.SetCatalogue(entries);
    for (int i = 0; i < chosen.nodes; ++i)
      world_.AddNode("n" + std::to_string(i));
    for (const auto& [id, instance] : world_.instances())
      ids_.push_back(id);
  }

  result Run(const std::vector<fault>& faults, duration span) {
    const auto wanted = [&] {
      return world_.CompleteReplicas("llm") == chosen_.replicas;
    };
    for (int i = 0; i < 24 * 60 && !wanted(); ++i)
      world_.Run(seconds(30));
    const auto start = std::chrono::steady_clock::now();
    const int loads = world_.completed_loads();
    for (const fault& each : faults)
      Schedule(each);
    result out;
    const duration step = seconds(1);
    for (duration at{}; at < span; at += step) {
      world_.Run(step);
      Sample("llm", chosen_.replicas, out);
      Sample("service", chosen_.service_replicas, out);
      out.stranded += world_.StrandedInstances();
    }
    out.loads = world_.completed_loads() - loads;
    out.processor =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
            .count();
    return out;
  }

  void Sample(const char* entry, int wanted, result& out) const {
    const int whole = world_.CompleteReplicas(entry);
    out.downtime += std::max(0, wanted - whole);
    out.broken += std::max(world_.AllocatedReplicas(entry), wanted) - whole;
  }

  std::size_t size() const { return ids_.size(); }

 private:
  // A failed instance is back, empty, after ten minutes. A replaced one gives
  // notice, goes once its work is over, and its successor comes at that time.
  void Schedule(const fault& each) {
    const base::instance_id id = ids_[each.victim];
    world_.After(each.at, [this, id, planned = each.planned] {
      fake_instance& victim = world_.instance(id);
      if (!victim.alive || victim.leaving_since)
        return;
      if (!planned) {
        world_.Kill(id);
        world_.After(minutes(10), [this, id] { world_.Restart(id); });
        return;
      }
      world_.Leave(id);
      world_.After(minutes(5), [this, id] { world_.Kill(id); });
      world_.After(minutes(7), [this, id] {
        world_.Restart(id);
        world_.List(id);
      });
    });
  }

  deployment chosen_;
  fleet_simulation world_;
  std::vector<base::instance_id> ids_;
};

std::vector<fault> Draw(const deployment& chosen,
                        std::size_t instances,
                        duration span,
                        std::uint64_t seed) {
  base::random_engine random(seed);
  const double share = std::chrono::duration<double>(span) / hours(24);
  std::vector<fault> faults;
  const auto add = [&](int a_day, bool planned) {
    for (int i = 0; i < a_day * share; ++i)
      faults.push_back({duration(static_cast<duration::rep>(
                            base::RandomUnit(random) * span.count())),
                        base::RandomIndex(random, instances), planned});
  };
  add(chosen.failures, false);
  add(chosen.replacements, true);
  return faults;
}

void Report(const char* policy, const result& seen) {
  std::printf(
      "  %-8s downtime %8.0f, broken %8.0f replica s, stranded %8.0f instance "
      "s, "
      "%5d loads, ran %.1f s\n",
      policy, seen.downtime, seen.broken, seen.stranded, seen.loads,
      seen.processor);
  std::fflush(stdout);
}

void Compare(const deployment& chosen, duration span, std::uint64_t seed) {
  day baseline(chosen, false);
  const auto faults = Draw(chosen, baseline.size(), span, seed);
  std::printf(
      "%s: %zu instances, %d spares a rack, %zu faults in %.1f h, "
      "seed %llu\n",
      chosen.name, baseline.size(), chosen.spares, faults.size(),
      std::chrono::duration<double>(span) / hours(1),
      static_cast<unsigned long long>(seed));
  const result before = baseline.Run(faults, span);
  Report("rebuild", before);
  day product(chosen, true);
  const result after = product.Run(faults, span);
  Report("repair", after);
  std::printf("  repair/rebuild: downtime %.3f, stranded %.3f\n",
              after.downtime / before.downtime,
              after.stranded / before.stranded);
}

}  // namespace
}  // namespace flamingoshunt::replica::harness

int main(int argc, char** argv) {
  using namespace flamingoshunt::replica::harness;
  const std::size_t index = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 0;
  const double span = argc > 2 ? std::strtod(argv[2], nullptr) : 24;
  const std::uint64_t seed = argc > 3 ? std::strtoul(argv[3], nullptr, 10) : 1;
  if (index >= std::size(kDeployments)) {
    std::fprintf(stderr, "deployment %zu: must be below %zu\n", index,
                 std::size(kDeployments));
    return 1;
  }
  deployment chosen = kDeployments[index];
  if (argc > 4)
    chosen.spares = std::atoi(argv[4]);
  Compare(chosen,
          std::chrono::duration_cast<flamingoshunt::base::duration>(
              std::chrono::duration<double, std::ratio<3600>>(span)),
          seed);
}
