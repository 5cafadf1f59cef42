#include "gateway/crash_guard.h"

#include <algorithm>

#include "base/hash.h"

namespace flamingoshunt::gateway {

base::fingerprint crash_guard::Fingerprint(std::string_view workspace,
                                           std::string_view path,
                                           std::string_view body) {
  return base::fingerprint(
      base::Hash64(body, base::Hash64(path, base::Hash64(workspace))));
}

request_identity crash_guard::Identify(std::string_view workspace,
                                       std::string_view method,
                                       std::string_view target,
                                       std::string_view body) {
  const auto path_end = std::min(target.find('?'), target.size());
  request_identity identity;
  identity.request = Fingerprint(workspace, target.substr(0, path_end), body);
  identity.exact_request = base::fingerprint(base::Hash64(
      target.substr(path_end), base::Hash64(method, identity.request.value())));
  return identity;
}

crash_count crash_guard::Count(const crash_report& report,
                               bool own,
                               base::time_point now) {
  if (!own && report.age > kMaxReportAge)
    return {};
  crash newer = MakeCrash(report, own, now);
  // Without any answer, all requests with the path and body are refused.
  if (report.exact_request)
    newer.keys.push_back(*report.exact_request);
  newer.keys.push_back(report.request);
  const outcome result = RecordCrash(newer, now);
  return {result.counted, result.crashes, result.blamed};
}

bool crash_guard::RecordWholeAnswer(const request_identity& request,
                                    base::time_point now) {
  const bool lifted = RecordAnswer(request.request, now);
  return RecordAnswer(request.exact_request, now) || lifted;
}

bool crash_guard::TakeTrial(const request_identity& request,
                            base::time_point now) {
  std::vector<base::fingerprint> refused;
  for (const base::fingerprint key : {request.request, request.exact_request}) {
    if (!ShouldRefuse(key, now))
      continue;
    if (!IsTrialDue(key, now))
      return false;
    refused.push_back(key);
  }
  for (const base::fingerprint key : refused)
    MarkTried(key);
  return !refused.empty();
}

}  // namespace flamingoshunt::gateway
