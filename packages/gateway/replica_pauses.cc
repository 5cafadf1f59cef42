#include "gateway/replica_pauses.h"

#include <algorithm>

namespace flamingoshunt::gateway {

void replica_pauses::Record(const replica_process& process,
                            base::time_point until,
                            base::time_point now) {
  std::erase_if(pauses_,
                [&](const auto& entry) { return entry.second.until <= now; });
  const auto [it, added] =
      pauses_.try_emplace(process.instance, pause{process.started_ms, until});
  pause& known = it->second;
  if (added || process.started_ms < known.started_ms)
    return;
  if (process.started_ms > known.started_ms)
    known = {process.started_ms, until};
  else
    known.until = std::max(known.until, until);
}

std::optional<base::time_point> replica_pauses::EndOf(
    const target& replica,
    base::time_point now) const {
  const auto it = pauses_.find(replica.instance);
  if (it == pauses_.end() || it->second.started_ms < replica.started_ms ||
      it->second.until <= now)
    return std::nullopt;
  return it->second.until;
}

}  // namespace flamingoshunt::gateway
