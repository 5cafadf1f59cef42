// Measures the service at crests of demand: wait of short work, goodput, shares
// of small workspaces, time of long work and the truth of Retry-After, for the
// product and every baseline, without and with faults. Virtual time, fixed
// seeds.
// Links: base admission routing
#include <algorithm>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "benchmarks/crest_model.h"

namespace flamingoshunt::benchmarks {
namespace {

/// Arrivals from the beginning of a crest to this long after count as its own.
constexpr base::duration kCrestWindow = 10s;
/// A small workspace's work counts as served when it starts this soon after the
/// window.
constexpr base::duration kGrace = 2s;

double Seconds(base::duration value) {
  return std::chrono::duration<double>(value).count();
}

double Percentile(std::vector<double>& values, double part) {
  if (values.empty())
    return 0;
  const auto at =
      static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(at),
                   values.end());
  return values[at];
}

double Mean(const std::vector<double>& values) {
  double sum = 0;
  for (const double each : values)
    sum += each;
  return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

struct figures {
  double steady_p95 = 0;
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  double goodput = 0;      ///< Part of the short work at crests, in time.
  double small_share = 0;  ///< Least of the small workspaces.
  double long_seconds = 0;
  double returned = 0;  ///< Part of the callers that came back admitted.
  int returns = 0;
};

class evaluation {
 public:
  evaluation(const scenario& given, const strategy& how)
      : scenario_(given), model_(given, how), outcomes_(model_.Run()) {}

  figures Evaluate() {
    figures found;
    std::vector<double> steady;
    std::vector<double> crest;
    std::vector<double> longs;
    std::vector<double> in_time;
    std::vector<double> returned;
    for (const auto& each : outcomes_) {
      if (each.is_return) {
        returned.push_back(each.is_refused ? 0 : 1);
        continue;
      }
      if (each.arrived < base::time_point(scenario_.warm_up))
        continue;
      if (each.is_straggler) {
        if (each.finished)
          longs.push_back(Seconds(*each.finished - each.arrived));
        continue;
      }
      if (!InCrest(each.arrived)) {
        if (IsSteady(each.arrived) && each.started)
          steady.push_back(Seconds(*each.started - each.arrived));
        continue;
      }
      if (each.started)
        crest.push_back(Seconds(*each.started - each.arrived));
      in_time.push_back(each.finished && *each.finished - each.arrived <=
                                             scenario_.short_deadline);
    }
    found.steady_p95 = Percentile(steady, 0.95);
    found.p50 = Percentile(crest, 0.50);
    found.p95 = Percentile(crest, 0.95);
    found.p99 = Percentile(crest, 0.99);
    found.goodput = Mean(in_time);
    found.small_share = SmallShare();
    found.long_seconds = Mean(longs);
    found.returned = Mean(returned);
    found.returns = static_cast<int>(returned.size());
    return found;
  }

 private:
  bool InCrest(base::time_point when) const {
    for (int i = 0; i < scenario_.crests; ++i) {
      if (when >= model_.Crest(i) && when < model_.Crest(i) + kCrestWindow)
        return true;
    }
    return false;
  }

  // The last half of the time between two crests.
  bool IsSteady(base::time_point when) const {
    for (int i = 0; i < scenario_.crests; ++i) {
      if (when < model_.Crest(i) &&
          when >= model_.Crest(i) - scenario_.between_crests / 2)
        return true;
    }
    return false;
  }

  // Work that a small workspace offered in the windows and that started, over
  // what it was due: all it offered, or a tenth of the capacity if that is
  // less.
  double SmallShare() const {
    double least = 1;
    for (int workspace = crest_model::kLargeWorkspaces;
         workspace < crest_model::kWorkspaces; ++workspace) {
      double offered = 0;
      double served = 0;
      for (const auto& each : outcomes_) {
        if (each.workspace != workspace || each.is_return ||
            each.is_straggler || !InCrest(each.arrived))
          continue;
        offered += each.cost;
        if (each.started && IsServed(each))
          served += each.cost;
      }
      const double due =
          std::min(offered, model_.Capacity() / crest_model::kWorkspaces *
                                Seconds(kCrestWindow) * scenario_.crests);
      least = std::min(least, due > 0 ? served / due : 1);
    }
    return least;
  }

  bool IsServed(const outcome& each) const {
    for (int i = 0; i < scenario_.crests; ++i) {
      if (each.arrived >= model_.Crest(i) &&
          each.arrived < model_.Crest(i) + kCrestWindow)
        return *each.started < model_.Crest(i) + kCrestWindow + kGrace;
    }
    return false;
  }

  scenario scenario_;
  crest_model model_;
  const std::vector<outcome>& outcomes_;
};

const std::vector<strategy>& Strategies() {
  using routing::policy_kind;
  static const std::vector<strategy> all{
      {"FCFS, round robin", policy_kind::kRoundRobin,
       admission::queue_kind::kFifo, false, false},
      {"FCFS, least outstanding", policy_kind::kLeastOutstanding,
       admission::queue_kind::kFifo, false, false},
      {"FCFS, two random choices", policy_kind::kTwoRandomChoices,
       admission::queue_kind::kFifo, false, false},
      {"product without preemption", policy_kind::kBoundedAffinity,
       admission::queue_kind::kFair, true, false},
      {"product", policy_kind::kBoundedAffinity, admission::queue_kind::kFair,
       true, true},
  };
  return all;
}

void PrintHead(const char* title) {
  std::printf("\n### %s\n\n", title);
  std::printf(
      "| deployment | strategy | steady p95 s | crest p50 s | p95 s | p99 s | "
      "goodput | least small share | long work s | returns admitted |\n");
  std::printf("|---|---|---|---|---|---|---|---|---|---|\n");
}

void PrintRow(const scenario& given, const strategy& how) {
  const figures found = evaluation(given, how).Evaluate();
  std::printf(
      "| %s | %s | %.2f | %.2f | %.2f | %.2f | %.4f | %.3f | %.1f | %.3f of %d "
      "|\n",
      given.name.c_str(), how.name.c_str(), found.steady_p95, found.p50,
      found.p95, found.p99, found.goodput, found.small_share,
      found.long_seconds, found.returned, found.returns);
  std::fflush(stdout);
}

scenario Deployment(bool is_second) {
  scenario given;
  if (is_second) {
    given.name = "vimini";
    given.nodes = 12;
    given.seed = 11;
  }
  return given;
}

void PrintFaultFree() {
  PrintHead("Without faults");
  for (const bool is_second : {false, true}) {
    for (const auto& how : Strategies())
      PrintRow(Deployment(is_second), how);
  }
}

void PrintMixes() {
  PrintHead("Other lengths of the stragglers (10, 20 and 80 times short work)");
  for (const double factor : {10.0, 20.0, 80.0}) {
    scenario given = Deployment(false);
    given.straggler_factor = factor;
    given.name = "stragglers x" + std::to_string(static_cast<int>(factor));
    for (const auto& how : Strategies())
      PrintRow(given, how);
  }
}

// How far a caller can trust Retry-After when many are refused.
void PrintOverload() {
  PrintHead("More demand than the short deadline allows");
  for (const double factor : {6.0, 10.0}) {
    scenario given = Deployment(false);
    given.crest_factor = factor;
    given.name = "crests of x" + std::to_string(static_cast<int>(factor));
    for (const auto& how : Strategies())
      PrintRow(given, how);
  }
  scenario lasting = Deployment(false);
  lasting.name = "load 1.2 throughout";
  lasting.load = 1.2;
  lasting.crest_factor = 1;
  for (const auto& how : Strategies())
    PrintRow(lasting, how);
}

void PrintFaults() {
  PrintHead("With faults");
  const std::vector<std::pair<fault, const char*>> faults{
      {fault::kSlowReplicas, "slow replicas"},
      {fault::kPausedReplicas, "paused replicas"},
      {fault::kOldReports, "reports 5 s old"},
      {fault::kLostDomain, "lost failure domain"},
      {fault::kPartition, "partition of entry nodes"},
      {fault::kPlatformOutage, "platform outage"},
  };
  for (const auto& [kind, name] : faults) {
    scenario given = Deployment(false);
    given.broken = kind;
    given.name = name;
    for (const auto& how : Strategies())
      PrintRow(given, how);
  }
}

}  // namespace
}  // namespace flamingoshunt::benchmarks

// Prints all tables, or the one named: plain, mixes, overload or faults.
int main(int count, char** arguments) {
  using namespace flamingoshunt::benchmarks;
  const std::string only = count > 1 ? arguments[1] : "";
  if (only.empty() || only == "plain")
    PrintFaultFree();
  if (only.empty() || only == "mixes")
    PrintMixes();
  if (only.empty() || only == "overload")
    PrintOverload();
  if (only.empty() || only == "faults")
    PrintFaults();
  return 0;
}
