#include "gateway/retry_budget.h"

namespace flamingoshunt::gateway {
namespace {

// Windows slide, and nodes briefly disagree on how many of them share the
// slack, so a node spends less than its exact share.
constexpr double kSafetyFactor = 0.8;

}  // namespace

void retry_budget::Expire(history& counted, base::time_point now) const {
  const base::time_point oldest = now - allowance_.window;
  while (!counted.requests.empty() && counted.requests.front() < oldest)
    counted.requests.pop_front();
  while (!counted.retries.empty() && counted.retries.front() < oldest)
    counted.retries.pop_front();
}

void retry_budget::RecordRequest(const std::string& service,
                                 base::time_point now) {
  history& counted = services_[service];
  Expire(counted, now);
  counted.requests.push_back(now);
}

bool retry_budget::TryRetry(const std::string& service, base::time_point now) {
  history& counted = services_[service];
  Expire(counted, now);
  const double allowed =
      kSafetyFactor *
      (allowance_.ratio * static_cast<double>(counted.requests.size()) +
       allowance_.slack / nodes_);
  if (static_cast<double>(counted.retries.size()) + 1 > allowed)
    return false;
  counted.retries.push_back(now);
  return true;
}

}  // namespace flamingoshunt::gateway
