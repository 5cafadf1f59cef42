// Measures what the replica machine costs one node against fleet size: the
// processor time of a steady second, by part, the memory of its state, and the
// bytes of the allocations that it watches.
// Links: replica
#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <memory>
#include <string>
#include <vector>

#include "replica/machine.h"

namespace flamingoshunt::replica {
namespace {

constexpr int kMembers = 16;
constexpr int kReplicasPerDomain = 16;
constexpr int kSteadySeconds = 20;

// Processor time, so that other work on the machine doesn't count.
double SecondsOf(std::clock_t start) {
  return static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
}

struct domain_made {
  std::vector<endpoint::instance> instances;
  store::object object;
  std::vector<endpoint::report> reports;
};

endpoint::report ReadyReport(const base::instance_id& id,
                             const allocated_replica& replica) {
  endpoint::report report;
  report.instance = id;
  report.replica = replica.id;
  report.epoch = replica.epoch;
  report.entry = replica.entry;
  report.version = replica.version;
  report.state = endpoint::member_state::kReady;
  return report;
}

domain_made MakeDomain(int index, int replicas) {
  domain_made made;
  allocation current;
  current.domain = base::fabric_domain_id("rack-" + std::to_string(index));
  for (int r = 0; r < replicas; ++r) {
    allocated_replica replica;
    replica.epoch = current.TakeEpoch();
    replica.id =
        base::replica_id(current.domain.str() + "-" + std::to_string(r + 1));
    replica.entry = base::entry_name("llm");
    replica.version = "v1";
    for (int m = 0; m < kMembers; ++m) {
      endpoint::instance instance;
      instance.id = base::instance_id(current.domain.str() + "/" +
                                      std::to_string(1000 + r * kMembers + m));
      instance.address = "10.0.0.1:9000";
      instance.fabric_domain = current.domain;
      instance.failure_domain = base::failure_domain_id("zone");
      replica.members.push_back(instance.id);
      made.instances.push_back(instance);
      made.reports.push_back(ReadyReport(instance.id, replica));
    }
    current.replicas.push_back(std::move(replica));
  }
  made.object = {{kAllocationKind, current.domain.str()},
                 base::revision(7),
                 ToJson(current)};
  return made;
}

void Measure(int replicas) {
  std::vector<domain_made> domains;
  for (int made = 0; made < replicas; made += kReplicasPerDomain)
    domains.push_back(
        MakeDomain(made, std::min(kReplicasPerDomain, replicas - made)));
  instances_listed list;
  allocations_listed allocations;
  std::size_t bytes = 0;
  for (const domain_made& each : domains) {
    list.instances.insert(list.instances.end(), each.instances.begin(),
                          each.instances.end());
    allocations.objects.push_back(each.object);
    bytes += each.object.value.size();
  }
  auto snapshot = std::make_shared<catalogue::snapshot>();
  catalogue::entry entry;
  entry.name = base::entry_name("llm");
  entry.version = "v1";
  entry.replicas = replicas;
  entry.members_per_replica = kMembers;
  entry.checks_fencing = true;
  snapshot->entries[entry.name] = entry;

  const std::size_t before = mallinfo2().uordblks;
  machine logic(settings(), base::node_id("n"),
                std::make_shared<repair_policy>(), base::random_engine(1));
  base::time_point now{std::chrono::seconds(1000)};
  logic.Handle(catalogue_changed{snapshot}, now);
  logic.Handle(list, now);
  logic.Handle(allocations, now);
  double ticks = 0;
  double reports = 0;
  std::size_t heard = 0;
  const base::time_point end = now + std::chrono::seconds(kSteadySeconds);
  while (now < end) {
    now = std::max(now, *logic.NextTimer());
    const auto ticking = std::clock();
    effects out = logic.Handle(tick{}, now);
    ticks += SecondsOf(ticking);
    // Each domain's reports come once in a report period.
    if (out.report_queries.empty())
      continue;
    std::vector<const endpoint::report*> due;
    for (const domain_made& each : domains) {
      for (const endpoint::report& report : each.reports) {
        if (std::hash<base::instance_id>()(report.instance) % 4 ==
            std::hash<base::instance_id>()(out.report_queries.front().id) % 4)
          due.push_back(&report);
      }
    }
    const auto hearing = std::clock();
    for (const endpoint::report* report : due)
      logic.Handle(*report, now);
    reports += SecondsOf(hearing);
    heard += due.size();
  }
  const std::uint64_t calls = logic.counters().writes + logic.counters().reads;
  const std::size_t used = mallinfo2().uordblks - before;
  std::printf("%5d %8zu  %8.2f  %8.2f  %8.0f  %8.1f  %8.2f  %llu\n", replicas,
              list.instances.size(), ticks / kSteadySeconds * 100,
              reports / kSteadySeconds * 100, reports / heard * 1e9,
              static_cast<double>(used) / 1e6, static_cast<double>(bytes) / 1e6,
              static_cast<unsigned long long>(calls));
}

}  // namespace
}  // namespace flamingoshunt::replica

int main() {
  std::printf(
      "reps  instances ticks %%core rep. %%core ns/report  MB state "
      "MB JSON  platform calls\n");
  for (const int replicas : {68, 250, 500, 1000, 2000, 3900})
    flamingoshunt::replica::Measure(replicas);
}
