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

// Running requests beside which a new one runs on average: half of those that
// end before it are replaced.
constexpr double kReplacedShare = 0.5;

// Time of a pass that only decodes.
double PassMs(const engine_profile& profile, double factor, double running) {
  const double context =
      running *
      (profile.usual_prompt_tokens + profile.usual_answer_tokens / 2) /
      kTokensPerKilotoken;
  const double step = profile.step_ms + running * profile.step_per_sequence_ms +
                      context * profile.step_per_kilotoken_ms;
  return profile.steps_per_pass * step * factor;
}

// Time until a request that finds every slot taken gets the slot of a running
// one.
double SlotWaitMs(const engine_profile& profile,
                  const placed_load& load,
                  double pass_ms) {
  const double excess_requests = std::max(0, load.running + 1 - profile.slots);
  const double mean_passes =
      std::max(1.0, profile.usual_answer_tokens / profile.steps_per_pass);
  return excess_requests * mean_passes * pass_ms / profile.slots;
}

}  // namespace

work_estimate EstimateWork(const engine_profile& profile,
                           double factor,
                           const placed_load& load,
                           std::int64_t prompt_tokens,
                           std::int64_t output_tokens) {
  const double running = std::min(load.running + 1, profile.slots);
  const double pass_ms = PassMs(profile, factor, running);
  const double pending_prompt_tokens =
      static_cast<double>(load.pending_prompt_tokens);
  const double prefill =
      (PrefillMs(profile, static_cast<double>(prompt_tokens)) +
       pending_prompt_tokens / profile.prefill_tokens_per_ms) *
      factor;
  const double queue_ms = SlotWaitMs(profile, load, pass_ms);
  const double passes =
      std::ceil(static_cast<double>(output_tokens) / profile.steps_per_pass);
  // On average half a pass is left when the request arrives.
  const double first_event_ms = queue_ms + pass_ms / 2 + prefill + pass_ms;
  return {base::FromMilliseconds(first_event_ms),
          base::FromMilliseconds(pass_ms),
          base::FromMilliseconds(first_event_ms +
                                 std::max(0.0, passes - 1) * pass_ms)};
}

double MaxPrefillPerPass(const engine_profile& profile) {
  return std::max(1.0, static_cast<double>(profile.prefill_chunk_tokens) *
                           profile.steps_per_pass);
}

double MeanPendingOutput(const placed_load& load) {
  return load.running > 0
             ? static_cast<double>(load.pending_output_tokens) / load.running
             : 0;
}

base::duration EstimatePrefill(const engine_profile& profile,
                               double factor,
                               double prompt_tokens) {
  return base::FromMilliseconds(factor * PrefillMs(profile, prompt_tokens));
}

base::duration EstimatePause(const engine_profile& profile,
                             double factor,
                             int running,
                             double pending_prompt_tokens) {
  const double prefilled =
      std::min(MaxPrefillPerPass(profile), pending_prompt_tokens);
  return base::FromMilliseconds(
      PassMs(profile, factor, std::min(running, profile.slots)) +
      factor * prefilled / profile.prefill_tokens_per_ms);
}

work_estimate EstimateQueuedWork(const engine_profile& profile,
                                 double factor,
                                 const placed_load& load,
                                 std::int64_t prompt_tokens,
                                 double output_tokens) {
  const double output = std::max(1.0, output_tokens);
  const double running = std::min(load.running, profile.slots - 1);
  const double lasting = std::min(1.0, MeanPendingOutput(load) / output);
  const double beside =
      running * (kReplacedShare + (1 - kReplacedShare) * lasting);
  const double now_ms = PassMs(profile, factor, running + 1);
  const double pass_ms = PassMs(profile, factor, beside + 1);
  const double pending = static_cast<double>(load.pending_prompt_tokens);
  const double own = static_cast<double>(prompt_tokens);
  const double read_ms = factor * (PrefillMs(profile, own) +
                                   pending / profile.prefill_tokens_per_ms);
  const double read_passes =
      std::max(1.0, std::ceil((pending + own) / MaxPrefillPerPass(profile)));
  // On average half a pass is left when the request arrives.
  const double first_event_ms = SlotWaitMs(profile, load, now_ms) + now_ms / 2 +
                                read_ms + read_passes * now_ms;
  const double passes = std::ceil(output / profile.steps_per_pass);
  return {base::FromMilliseconds(first_event_ms),
          base::FromMilliseconds(now_ms),
          base::FromMilliseconds(first_event_ms + (passes - 1) * pass_ms)};
}

}  // namespace flamingoshunt::gateway
