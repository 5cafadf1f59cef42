#include "gateway/retry_budget.h"

namespace flamingoshunt::gateway {
namespace {

// Windows slide, and nodes briefly disagree on how many of them share the
// slack, so a node spends less than its exact share.
constexpr double kSafetyFactor = 0.8;

}  // namespace

void retry_budget::Expire(history& service_history,
                          base::time_point now) const {
  const base::time_point oldest = now - allowance_.window;
  while (!service_history.requests.empty() &&
         service_history.requests.front() < oldest)
    service_history.requests.pop_front();
  while (!service_history.retries.empty() &&
         service_history.retries.front() < oldest)
    service_history.retries.pop_front();
}

void retry_budget::RecordRequest(const std::string& service,
                                 base::time_point now) {
  history& service_history = services_[service];
  Expire(service_history, now);
  service_history.requests.push_back(now);
}

retry_usage retry_budget::Usage(const std::string& service,
                                base::time_point now) {
  history& service_history = services_[service];
  Expire(service_history, now);
  retry_usage usage;
  usage.requests = service_history.requests.size();
  usage.retries = service_history.retries.size();
  usage.allowed =
      kSafetyFactor * (allowance_.ratio * static_cast<double>(usage.requests) +
                       allowance_.slack / nodes_);
  return usage;
}

bool retry_budget::TryRetry(const std::string& service, base::time_point now) {
  if (Usage(service, now).is_exhausted())
    return false;
  services_[service].retries.push_back(now);
  return true;
}

void retry_budget::Refund(const std::string& service) {
  auto& retries = services_[service].retries;
  if (!retries.empty())
    retries.pop_back();
}

}  // namespace flamingoshunt::gateway
