#include "gateway/crash_guard.h"

#include <algorithm>
#include <string>

#include "base/hash.h"

namespace flamingoshunt::gateway {

base::fingerprint crash_guard::Fingerprint(std::string_view workspace,
                                           std::string_view path,
                                           std::string_view body) {
  return base::fingerprint(
      base::Hash64(body, base::Hash64(path, base::Hash64(workspace))));
}

bool crash_guard::Note(const crash_sighting& seen, base::time_point now) {
  Expire(now);
  history& of = histories_[seen.request];
  of.last = now;
  return of.replicas.insert(seen.replica).second;
}

bool crash_guard::Refuses(base::fingerprint request,
                          base::time_point now) const {
  const auto found = histories_.find(request);
  return found != histories_.end() &&
         found->second.replicas.size() >= kCrashes &&
         now - found->second.last < kMemory;
}

void crash_guard::Expire(base::time_point now) {
  if (histories_.size() < kMaxRequests)
    return;
  std::erase_if(histories_, [&](const auto& each) {
    return now - each.second.last >= kMemory;
  });
  while (histories_.size() >= kMaxRequests) {
    histories_.erase(std::min_element(histories_.begin(), histories_.end(),
                                      [](const auto& a, const auto& b) {
                                        return a.second.last < b.second.last;
                                      }));
  }
}

}  // namespace flamingoshunt::gateway
