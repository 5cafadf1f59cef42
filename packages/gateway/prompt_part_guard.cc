#include "gateway/prompt_part_guard.h"

namespace flamingoshunt::gateway {

// Which node observed the crash makes no difference here.
std::optional<base::fingerprint> prompt_part_guard::RecordCrash(
    const crash_report& report,
    base::time_point now) {
  crash newer = MakeCrash(report, true, now);
  newer.keys = report.prompt_parts;
  return crash_attribution::RecordCrash(newer, now).blamed;
}

}  // namespace flamingoshunt::gateway
