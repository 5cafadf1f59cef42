// Measures what prefix affinity brings: hit rate and waits with affinity off,
// on whatever the load, and bounded by load, in virtual time.
// Links: base admission routing
#include <algorithm>
#include <cstdio>
#include <vector>

#include "benchmarks/crest_model.h"

namespace flamingoshunt::benchmarks {
namespace {

double Seconds(base::duration value) {
  return std::chrono::duration<double>(value).count();
}

double Percentile95(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values.empty() ? 0 : values[values.size() * 95 / 100];
}

void PrintRow(int groups, routing::policy_kind kind) {
  scenario given;
  given.prefix_groups = groups;
  given.prompt_tokens = 4'000;
  given.warm_up = 120s;
  given.crests = 2;
  strategy how;
  how.policy = kind;
  crest_model model(given, how);
  std::vector<double> steady;
  std::vector<double> crest;
  double hits = 0;
  double started = 0;
  for (const auto& each : model.Run()) {
    if (each.arrived < base::time_point(given.warm_up) || !each.started)
      continue;
    started += 1;
    hits += each.is_hit ? 1 : 0;
    if (each.is_straggler)
      continue;
    bool is_crest = false;
    for (int i = 0; i < given.crests; ++i)
      is_crest |=
          each.arrived >= model.Crest(i) && each.arrived < model.Crest(i) + 10s;
    (is_crest ? crest : steady)
        .push_back(Seconds(*each.started - each.arrived));
  }
  std::printf("| %d | %s | %.3f | %.2f | %.2f |\n", groups,
              std::string(routing::Name(kind)).c_str(), hits / started,
              Percentile95(steady), Percentile95(crest));
}

}  // namespace
}  // namespace flamingoshunt::benchmarks

int main() {
  using namespace flamingoshunt::benchmarks;
  using flamingoshunt::routing::policy_kind;
  std::printf(
      "| prompts shared | affinity | hit rate | p95 wait outside crests s "
      "| p95 wait at crests s |\n|---|---|---|---|---|\n");
  for (const int groups : {50, 1'000, 4'000}) {
    for (const auto kind :
         {policy_kind::kNoAffinity, policy_kind::kUnboundedAffinity,
          policy_kind::kBoundedAffinity})
      PrintRow(groups, kind);
  }
  return 0;
}
