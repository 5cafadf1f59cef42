#include "gateway/latency_model.h"

#include <algorithm>
#include <cmath>

#include "base/milliseconds.h"

namespace flamingoshunt::gateway {
namespace {

constexpr double kTokensPerKilotoken = 1000;
constexpr double kPairsPerMillion = 1e6;

// Time to read a prompt, without the token steps it is read between.
double ReadMs(const engine_pace& pace, double tokens) {
  const double pairs = tokens * tokens / 2 / kPairsPerMillion;
  return tokens / pace.read_tokens_per_ms + pairs * pace.read_pairs_per_ms;
}

}  // namespace

work_estimate EstimateWork(const engine_pace& pace,
                           double factor,
                           const placed_load& load,
                           std::int64_t prompt_tokens,
                           std::int64_t output_tokens) {
  const double running = std::min(load.running + 1, pace.slots);
  const double context = running * (pace.usual_prompt + pace.usual_answer / 2) /
                         kTokensPerKilotoken;
  const double step = pace.step_ms + running * pace.step_per_sequence_ms +
                      context * pace.step_per_kilotoken_ms;
  const double pass = pace.steps_per_pass * step * factor;
  const double unread = static_cast<double>(load.unread);
  const double read = (ReadMs(pace, static_cast<double>(prompt_tokens)) +
                       unread / pace.read_tokens_per_ms) *
                      factor;
  // A request that finds every slot taken waits for one to end.
  const double over = std::max(0, load.running + 1 - pace.slots);
  const double mean_passes =
      std::max(1.0, pace.usual_answer / pace.steps_per_pass);
  const double queued = over * mean_passes * pass / pace.slots;
  const double passes =
      std::ceil(static_cast<double>(output_tokens) / pace.steps_per_pass);
  // On average half a pass is left when the request arrives.
  const double first = queued + pass / 2 + read + pass;
  return {base::FromMilliseconds(first), base::FromMilliseconds(pass),
          base::FromMilliseconds(first + std::max(0.0, passes - 1) * pass)};
}

}  // namespace flamingoshunt::gateway
