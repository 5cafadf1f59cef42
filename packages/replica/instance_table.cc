#include "replica/instance_table.h"

#include <algorithm>

namespace flamingoshunt::replica {
namespace {

bool EqualExceptLoad(const endpoint::report& left,
                     const endpoint::report& right) {
  return left.replica == right.replica && left.epoch == right.epoch &&
         left.state == right.state && left.entry == right.entry &&
         left.version == right.version && left.leaving == right.leaving;
}

}  // namespace

bool instance_state::IsLeaving() const {
  return !listed || info.leaving || (report && report->leaving);
}

bool instance_state::ActiveWithin(base::duration bound,
                                  base::time_point now) const {
  return now - std::max(measured_at, discovered_at) <= bound;
}

bool instance_state::ReportsMembership(const base::replica_id& replica,
                                       base::epoch epoch) const {
  return report && report->replica == replica && report->epoch == epoch;
}

bool instance_state::HoldsWeights(const base::entry_name& entry,
                                  const std::string& version) const {
  return report && report->entry == entry && report->version == version &&
         report->state != endpoint::member_state::kFailed;
}

bool instance_state::HasWork() const {
  return report && (report->load.running > 0 || report->load.queued > 0);
}

void instance_table::ReplaceList(
    const std::vector<endpoint::instance>& instances,
    base::time_point now) {
  for (auto& [id, state] : instances_)
    state.listed = false;
  for (const endpoint::instance& instance : instances)
    ApplyListChange(instance, false, now);
  std::erase_if(instances_, [](const auto& element) {
    const instance_state& state = element.second;
    return !state.listed && !state.allocated && !state.cooling_since;
  });
}

void instance_table::ApplyListChange(const endpoint::instance& instance,
                                     bool gone,
                                     base::time_point now) {
  const auto found = instances_.find(instance.id);
  if (gone) {
    if (found == instances_.end())
      return;
    found->second.listed = false;
    EraseIfUnused(instance.id);
    return;
  }
  if (found == instances_.end() && instances_.size() >= kMaxInstances) {
    ++dropped_;
    return;
  }
  instance_state& state = FindOrAdd(instance.id, now);
  state.info = instance;
  state.listed = true;
}

instance_state& instance_table::FindOrAdd(const base::instance_id& id,
                                          base::time_point now) {
  const auto [at, added] = instances_.try_emplace(id);
  if (added) {
    at->second.info.id = id;
    at->second.discovered_at = now;
  }
  return at->second;
}

void instance_table::EraseIfUnused(const base::instance_id& id) {
  const auto found = instances_.find(id);
  if (found == instances_.end())
    return;
  const instance_state& state = found->second;
  if (!state.listed && !state.allocated && !state.cooling_since)
    instances_.erase(found);
}

void instance_table::SetAllocated(const base::instance_id& id,
                                  bool allocated,
                                  base::time_point now) {
  FindOrAdd(id, now).allocated = allocated;
  EraseIfUnused(id);
}

void instance_table::SetCooling(const base::instance_id& id,
                                bool cooling,
                                base::time_point now) {
  instance_state& state = FindOrAdd(id, now);
  if (!cooling)
    state.cooling_since.reset();
  else if (!state.cooling_since)
    state.cooling_since = now;
  EraseIfUnused(id);
}

void instance_table::SetDrains(const std::vector<base::instance_id>& drained) {
  for (auto& [id, state] : instances_)
    state.drain_requested = false;
  for (const base::instance_id& id : drained)
    SetDrain(id, true);
}

void instance_table::SetDrain(const base::instance_id& instance,
                              bool drain_requested) {
  const auto found = instances_.find(instance);
  if (found != instances_.end())
    found->second.drain_requested = drain_requested;
}

bool instance_table::RecordReport(const endpoint::report& report,
                                  base::time_point now) {
  const auto found = instances_.find(report.instance);
  if (found == instances_.end())
    return false;
  instance_state& state = found->second;
  const base::time_point measured_at = now - report.age;
  if (state.report && measured_at < state.measured_at)
    return false;
  const bool changed =
      !state.report || !EqualExceptLoad(*state.report, report) ||
      state.HasWork() != (report.load.running > 0 || report.load.queued > 0);
  state.report = report;
  state.measured_at = measured_at;
  return changed;
}

const instance_state* instance_table::Find(const base::instance_id& id) const {
  const auto found = instances_.find(id);
  return found == instances_.end() ? nullptr : &found->second;
}

}  // namespace flamingoshunt::replica
