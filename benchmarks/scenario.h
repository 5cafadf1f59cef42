// Defines what a simulated run is made of: the deployment and its demand, the
// fault that strikes it, the strategy that is measured, and what became of each
// request.
#ifndef FLAMINGOSHUNT_BENCHMARKS_SCENARIO_H_
#define FLAMINGOSHUNT_BENCHMARKS_SCENARIO_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "admission/wait_queue.h"
#include "base/clock.h"
#include "routing/policy.h"

namespace flamingoshunt::benchmarks {

using namespace std::chrono_literals;

enum class fault {
  kNone,
  kSlowReplicas,    ///< Three replicas run at a fifth of their speed.
  kPausedReplicas,  ///< Two stand still for ten seconds from each crest on.
  kOldReports,      ///< Load reports are 5 s old.
  kLostDomain,      ///< A third of the replicas dies at the first crest.
  kPartition,       ///< The entry nodes fall into halves before the crests.
  kPlatformOutage   ///< No catalogue news; one entry node is replaced.
};

struct scenario {
  std::string name = "fraser valley";
  int nodes = 13;
  int replicas = 65;
  int slots = 8;
  double load = 0.7;  ///< Of the capacity, outside crests.
  double crest_factor = 3;
  double straggler_factor = 40;
  double straggler_part = 0.02;
  double short_tokens = 64;
  double prompt_tokens = 400;
  int prefix_groups = 0;  ///< Shared prompts; zero for none.
  base::duration short_deadline = 15s;
  base::duration long_deadline = 400s;
  base::duration warm_up = 240s;
  int crests = 4;
  base::duration between_crests = 60s;
  base::duration crest_length = 5s;
  fault broken = fault::kNone;
  std::uint64_t seed = 7;
};

struct strategy {
  std::string name;
  routing::policy_kind policy = routing::policy_kind::kBoundedAffinity;
  admission::queue_kind queue = admission::queue_kind::kFair;
  bool is_product = true;  ///< Forecasts, reserve and engine priorities.
  bool preempts = true;
};

/// What became of one request.
struct outcome {
  base::time_point arrived;
  int workspace = 0;
  bool is_straggler = false;
  bool is_return = false;  ///< Came back after a refusal, as it was told.
  bool is_refused = false;
  bool is_hit = false;
  double cost = 0;
  std::optional<base::time_point> started;  ///< First entry into a batch.
  std::optional<base::time_point> finished;
};

}  // namespace flamingoshunt::benchmarks

#endif  // FLAMINGOSHUNT_BENCHMARKS_SCENARIO_H_
