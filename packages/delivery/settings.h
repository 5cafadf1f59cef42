// Defines the settings of delivery: stall timeouts, attempts of a request, how
// much of an answer is stored, and how claims of Idempotency-Keys are written,
// used and expired. Fields that operators see keep their outer names: "silence"
// holds the stall timeouts.
#ifndef FLAMINGOSHUNT_DELIVERY_SETTINGS_H_
#define FLAMINGOSHUNT_DELIVERY_SETTINGS_H_

#include <cstdint>

#include "base/clock.h"

namespace flamingoshunt::delivery {

/// Time that an attempt may make no progress before it counts as stalled.
struct stall_settings {
  base::duration head = std::chrono::seconds(10);         ///< Engines.
  base::duration first_token = std::chrono::seconds(20);  ///< After the head.
  base::duration between_tokens = std::chrono::seconds(8);
  /// Until the head, and between pieces.
  base::duration service = std::chrono::seconds(60);
  /// A timer that fires later than this indicates that this process was paused:
  /// what the endpoint sent meanwhile is read before the attempt counts as
  /// stalled.
  base::duration pause_tolerance = std::chrono::seconds(1);
};

struct attempt_settings {
  int max_attempts = 6;  ///< Of one request, on all replicas together.
  /// How long a request that was admitted once waits for another slot.
  base::duration readmission_timeout = std::chrono::seconds(30);
  base::duration readmission_pause = std::chrono::milliseconds(250);
  std::uint64_t progress_step = 32;  ///< Tokens between reports to admission.
};

/// Sizes in bytes.
struct answer_settings {
  std::size_t max_resume_text = std::size_t{256} << 10;
  std::size_t max_service_buffer = std::size_t{1} << 20;
};

struct claim_settings {
  /// How long a key is stored; a repeat after that is a new call.
  base::duration term = std::chrono::hours(24);
  /// A claim older than this without a result is reported as unknown.
  base::duration in_progress = std::chrono::minutes(10);
  /// A claim confirmed later than this after its write was sent is not used,
  /// because the node may have been paused in between.
  base::duration use_within = std::chrono::seconds(10);
  base::duration call_timeout = std::chrono::seconds(2);
  base::duration retry_pause = std::chrono::milliseconds(200);
  /// Reads of an uncertain claim before the call is refused.
  int max_reads = 4;
  int max_takes = 3;  ///< Writes that try to acquire one claim.
  /// How long the write of the outcome is retried after the caller's answer.
  base::duration closing_timeout = std::chrono::seconds(60);
  /// Largest stored answer, in bytes.
  std::size_t stored_answer = std::size_t{64} << 10;
};

struct settings {
  stall_settings silence;
  attempt_settings attempts;
  answer_settings answers;
  claim_settings claims;
};

/// @throws settings_error naming the first setting that is out of range.
void Check(const settings& settings);

}  // namespace flamingoshunt::delivery

#endif  // FLAMINGOSHUNT_DELIVERY_SETTINGS_H_
