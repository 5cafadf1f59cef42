#include "fleet/departure_reports.h"

#include <algorithm>
#include <utility>

namespace flamingoshunt::fleet {

void departure_reports::Add(const gateway::replica_process& process,
                            base::time_point now) {
  reports_.push_back({process, now});
  if (reports_.size() > kMaxNamed)
    reports_.pop_front();
  new_reports_ = std::min(new_reports_ + 1, reports_.size());
}

std::vector<gateway::replica_process> departure_reports::TakeNew() {
  std::vector<gateway::replica_process> named;
  const std::size_t first = reports_.size() - std::exchange(new_reports_, 0);
  for (std::size_t i = first; i < reports_.size(); ++i)
    named.push_back(reports_[i].process);
  return named;
}

std::vector<gateway::replica_process> departure_reports::TakeAll(
    base::time_point now) {
  while (!reports_.empty() && now - reports_.front().added_at > kRepeated)
    reports_.pop_front();
  new_reports_ = reports_.size();
  return TakeNew();
}

}  // namespace flamingoshunt::fleet
