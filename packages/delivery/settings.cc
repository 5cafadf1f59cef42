#include "delivery/settings.h"

#include <string>

#include "delivery/errors.h"

namespace flamingoshunt::delivery {
namespace {

// With base64 and the other fields of the claim, the value must stay below the
// platform's limit of 1 MiB.
constexpr std::size_t kMaxStoredAnswer = std::size_t{512} << 10;  // bytes

void CheckPositive(const char* name, base::duration value) {
  if (value <= base::duration::zero())
    throw settings_error(std::string(name) + ": " +
                         std::to_string(value.count()) +
                         " ns: must be above zero");
}

void CheckAtLeastOne(const char* name, int value) {
  if (value < 1)
    throw settings_error(std::string(name) + ": " + std::to_string(value) +
                         ": must be at least 1");
}

}  // namespace

void Check(const settings& settings) {
  CheckPositive("silence.head", settings.silence.head);
  CheckPositive("silence.first_token", settings.silence.first_token);
  CheckPositive("silence.between_tokens", settings.silence.between_tokens);
  CheckPositive("silence.service", settings.silence.service);
  CheckPositive("silence.pause_tolerance", settings.silence.pause_tolerance);
  CheckPositive("attempts.readmission_pause",
                settings.attempts.readmission_pause);
  CheckPositive("claims.term", settings.claims.term);
  CheckPositive("claims.in_progress", settings.claims.in_progress);
  CheckPositive("claims.use_within", settings.claims.use_within);
  CheckPositive("claims.call_timeout", settings.claims.call_timeout);
  CheckPositive("claims.retry_pause", settings.claims.retry_pause);
  CheckAtLeastOne("attempts.max_attempts", settings.attempts.max_attempts);
  CheckAtLeastOne("claims.max_reads", settings.claims.max_reads);
  CheckAtLeastOne("claims.max_takes", settings.claims.max_takes);
  if (settings.claims.in_progress > settings.claims.term)
    throw settings_error("claims.in_progress: must not exceed claims.term");
  if (settings.claims.stored_answer > kMaxStoredAnswer)
    throw settings_error("claims.stored_answer: " +
                         std::to_string(settings.claims.stored_answer) +
                         ": must be at most " +
                         std::to_string(kMaxStoredAnswer));
}

}  // namespace flamingoshunt::delivery
