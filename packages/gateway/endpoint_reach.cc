#include "gateway/endpoint_reach.h"

namespace flamingoshunt::gateway {

void endpoint_reach::OnReached(const std::string& address,
                               base::time_point now) {
  std::erase(last_reached_, address);
  last_reached_.push_back(address);
  if (last_reached_.size() > kProbedAgain)
    last_reached_.erase(last_reached_.begin());
  reached_at_ = now;
  failed_ = false;
}

std::optional<base::time_point> endpoint_reach::NextProbe() const {
  if (probing_ || (!cut_off_ && !failed_))
    return std::nullopt;
  if (!probed_at_)
    return base::time_point::min();
  return *probed_at_ + (cut_off_ ? kProbePeriod : kVerifyPeriod);
}

bool endpoint_reach::StartProbe(base::time_point now) {
  const auto due = NextProbe();
  if (!due || now < *due)
    return false;
  probing_ = true;
  probed_at_ = now;
  return true;
}

void endpoint_reach::OnProbed(const probe_result& result,
                              base::time_point now) {
  probing_ = false;
  // Whatever this round doesn't decide, the next failure asks again.
  failed_ = false;
  const std::size_t reached = result.reached.size();
  for (const std::string& address : result.reached)
    OnReached(address, now);
  if (cut_off_) {
    cut_off_ =
        reached < kReachedUntilConnected && (reached == 0 || result.failed > 0);
    return;
  }
  const std::size_t failures =
      reached == 0 ? kFailedUntilCutOff : kFailedBesideOne;
  cut_off_ = reached < kReachedUntilConnected && result.failed >= failures;
}

}  // namespace flamingoshunt::gateway
