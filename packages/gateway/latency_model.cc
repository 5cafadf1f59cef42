#include "gateway/latency_model.h"

#include <algorithm>
#include <cmath>

#include "base/milliseconds.h"

namespace flamingoshunt::gateway {
namespace {

constexpr double kTokensPerKilotoken = 1000;
constexpr double kPairsPerMillion = 1e6;

// Time to prefill a prompt, without the decode steps in between.
double PrefillMs(const engine_profile& profile, double tokens) {
  const double pairs = tokens * tokens / 2 / kPairsPerMillion;
  return tokens / profile.prefill_tokens_per_ms +
         pairs * profile.prefill_ms_per_million_pairs;
}

}  // namespace

work_estimate EstimateWork(const engine_profile& profile,
                           double factor,
                           const placed_load& load,
                           std::int64_t prompt_tokens,
                           std::int64_t output_tokens) {
  const double running = std::min(load.running + 1, profile.slots);
  const double context =
      running *
      (profile.usual_prompt_tokens + profile.usual_answer_tokens / 2) /
      kTokensPerKilotoken;
  const double step = profile.step_ms + running * profile.step_per_sequence_ms +
                      context * profile.step_per_kilotoken_ms;
  const double pass_ms = profile.steps_per_pass * step * factor;
  const double pending_prompt_tokens =
      static_cast<double>(load.pending_prompt_tokens);
  const double prefill =
      (PrefillMs(profile, static_cast<double>(prompt_tokens)) +
       pending_prompt_tokens / profile.prefill_tokens_per_ms) *
      factor;
  // A request that finds every slot taken waits for a running one to end.
  const double excess_requests = std::max(0, load.running + 1 - profile.slots);
  const double mean_passes =
      std::max(1.0, profile.usual_answer_tokens / profile.steps_per_pass);
  const double queue_ms =
      excess_requests * mean_passes * pass_ms / profile.slots;
  const double passes =
      std::ceil(static_cast<double>(output_tokens) / profile.steps_per_pass);
  // On average half a pass is left when the request arrives.
  const double first_event_ms = queue_ms + pass_ms / 2 + prefill + pass_ms;
  return {base::FromMilliseconds(first_event_ms),
          base::FromMilliseconds(pass_ms),
          base::FromMilliseconds(first_event_ms +
                                 std::max(0.0, passes - 1) * pass_ms)};
}

}  // namespace flamingoshunt::gateway
