#include "fleet/cold_periods.h"

#include <algorithm>
#include <utility>

namespace flamingoshunt::fleet {

bool cold_periods::OnListed(const replica& entry, base::time_point now) {
  if (entry.cold_remaining <= base::duration::zero()) {
    listed_until_.erase(entry.id);
    new_.erase(entry.id);
    return false;
  }
  base::time_point& known = listed_until_[entry.id];
  const bool was_cold = known > now;
  known = now + std::min(entry.cold_remaining, kLongest);
  if (!was_cold)
    new_.insert(entry.id);
  return !was_cold;
}

bool cold_periods::OnPeerReport(const cold_report& report,
                                base::time_point now) {
  const base::time_point until = now + std::min(report.remaining, kLongest);
  const auto listed = listed_until_.find(report.replica);
  const bool is_listed = listed != listed_until_.end() && listed->second >= now;
  base::time_point& known = named_until_[report.replica];
  const bool was_cold = is_listed || known > now;
  known = std::max(known, until);
  return !was_cold && until > now;
}

void cold_periods::OnReturned(const base::failure_domain_id& domain,
                              base::duration entries_late,
                              base::time_point now) {
  returned_until_[domain] = now + entries_late;
}

base::time_point cold_periods::EndOf(const replica& entry) const {
  base::time_point end{};
  for (const end_map* ends : {&listed_until_, &named_until_}) {
    if (const auto known = ends->find(entry.id); known != ends->end())
      end = std::max(end, known->second);
  }
  if (const auto returned = returned_until_.find(entry.failure_domain);
      returned != returned_until_.end())
    end = std::max(end, returned->second);
  return end;
}

std::vector<cold_report> cold_periods::TakeNew(base::time_point now) {
  std::vector<cold_report> reports;
  for (const base::instance_id& replica : std::exchange(new_, {})) {
    const auto known = listed_until_.find(replica);
    if (known != listed_until_.end() && known->second > now)
      reports.push_back({replica, known->second - now});
  }
  return reports;
}

std::vector<cold_report> cold_periods::TakeAll(base::time_point now) {
  const auto ended = [&](const auto& each) { return each.second <= now; };
  std::erase_if(listed_until_, ended);
  std::erase_if(named_until_, ended);
  std::erase_if(returned_until_, ended);
  new_.clear();
  std::vector<cold_report> reports;
  for (const auto& [replica, until] : listed_until_)
    reports.push_back({replica, until - now});
  return reports;
}

}  // namespace flamingoshunt::fleet
