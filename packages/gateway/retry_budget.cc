#include "gateway/retry_budget.h"

namespace flamingoshunt::gateway {
namespace {

// Windows slide and nodes disagree for a moment about how many share the
// slack, so a node spends less than its exact part.
constexpr double kSafety = 0.8;

}  // namespace

void retry_budget::Expire(history& of, base::time_point now) const {
  const base::time_point oldest = now - allowance_.window;
  while (!of.requests.empty() && of.requests.front() < oldest)
    of.requests.pop_front();
  while (!of.repeats.empty() && of.repeats.front() < oldest)
    of.repeats.pop_front();
}

void retry_budget::NoteRequest(const std::string& service,
                               base::time_point now) {
  history& of = services_[service];
  Expire(of, now);
  of.requests.push_back(now);
}

bool retry_budget::TryRepeat(const std::string& service, base::time_point now) {
  history& of = services_[service];
  Expire(of, now);
  const double allowed =
      kSafety * (allowance_.ratio * static_cast<double>(of.requests.size()) +
                 allowance_.slack / nodes_);
  if (static_cast<double>(of.repeats.size()) + 1 > allowed)
    return false;
  of.repeats.push_back(now);
  return true;
}

}  // namespace flamingoshunt::gateway
