#include "replica/placement.h"

#include <algorithm>
#include <tuple>

namespace flamingoshunt::replica {
namespace {

// Idle instances of each domain that no task has reserved yet.
using idle_counts = std::map<base::fabric_domain_id, std::size_t>;

struct located_replica {
  const domain_status* domain = nullptr;
  const replica_status* status = nullptr;

  const allocated_replica& replica() const { return *status->replica; }
};

// The replicas of one entry, classified by what can be done with them.
struct entry_replicas {
  // Serving, or able to after repair or loading.
  std::vector<located_replica> viable;
  // Lacks members that no spare can replace.
  std::vector<located_replica> unrepairable;
  // Drained: no new work, and none in flight.
  std::vector<located_replica> drained;
  // Draining: work in flight still runs.
  std::vector<located_replica> draining;
  std::size_t ready = 0;  // Viable ones that accept new work.
};

class placement_planner {
 public:
  placement_planner(const fleet_inventory& inventory,
                    const settings& config,
                    placement& out)
      : inventory_(inventory), config_(config), out_(out) {
    for (const auto& [name, domain] : inventory)
      idle_[name] = domain.idle.size();
  }

  void Classify(incomplete_counting counting);
  void FormMissing(const catalogue::entry& entry);
  void AdjustEntry(const catalogue::entry& entry);
  void DrainUnknownEntries(const catalogue::snapshot& catalogue);

 private:
  bool IsOutdated(const located_replica& candidate,
                  const catalogue::entry& entry) const;
  bool IsLoading(const entry_replicas& replicas,
                 const catalogue::entry& entry) const;
  void RecreateDrained(const catalogue::entry& entry,
                       entry_replicas& replicas,
                       int& missing);
  void FormReplicas(const catalogue::entry& entry,
                    const entry_replicas& replicas,
                    int missing);
  bool FormReplica(const catalogue::entry& entry,
                   std::map<base::failure_domain_id, int>& spread);
  void Shrink(const catalogue::entry& entry,
              entry_replicas& replicas,
              int surplus);
  void RollOut(const catalogue::entry& entry, const entry_replicas& replicas);
  void FormSurplus(const catalogue::entry& entry,
                   const entry_replicas& replicas);
  int SurplusTarget(const catalogue::entry& entry) const;
  void StartOperatorDrains(const catalogue::entry& entry,
                           const entry_replicas& replicas);
  bool MayDrain(const catalogue::entry& entry,
                const entry_replicas& replicas,
                const located_replica& candidate) const;
  domain_task& TaskOf(const located_replica& at) {
    return out_.tasks[at.domain->domain];
  }

  const fleet_inventory& inventory_;
  const settings& config_;
  placement& out_;
  idle_counts idle_;
  std::map<base::entry_name, entry_replicas> replicas_by_entry_;
  // Some entry lacks replicas that cannot be formed.
  bool has_unformed_replicas_ = false;
};

void placement_planner::Classify(incomplete_counting counting) {
  std::vector<located_replica> incomplete;
  for (const auto& [name, domain] : inventory_) {
    for (const replica_status& status : domain.replicas) {
      const located_replica located{&domain, &status};
      entry_replicas& replicas = replicas_by_entry_[located.replica().entry];
      const bool draining = located.replica().draining && !status.IsReplacing();
      if (draining && status.drain_complete) {
        replicas.drained.push_back(located);
      } else if (draining) {
        replicas.draining.push_back(located);
      } else if (status.DepartingCount() > 0 &&
                 counting == incomplete_counting::kIfRepairable) {
        incomplete.push_back(located);
      } else {
        replicas.viable.push_back(located);
        replicas.ready += status.ready && status.leaving.empty();
      }
    }
  }
  std::stable_sort(
      incomplete.begin(), incomplete.end(),
      [](const located_replica& left, const located_replica& right) {
        return left.status->DepartingCount() < right.status->DepartingCount();
      });
  for (const located_replica& located : incomplete) {
    const std::size_t vacant = located.status->DepartingCount();
    std::size_t& idle = idle_[located.domain->domain];
    entry_replicas& replicas = replicas_by_entry_[located.replica().entry];
    if (idle + located.replica().incoming.size() < vacant) {
      replicas.unrepairable.push_back(located);
      continue;
    }
    idle -= std::min(idle, vacant);
    replicas.viable.push_back(located);
  }
}

bool placement_planner::IsOutdated(const located_replica& candidate,
                                   const catalogue::entry& entry) const {
  return candidate.replica().version != entry.version ||
         static_cast<int>(candidate.replica().members.size()) !=
             entry.members_per_replica;
}

bool placement_planner::IsLoading(const entry_replicas& replicas,
                                  const catalogue::entry& entry) const {
  return std::any_of(replicas.viable.begin(), replicas.viable.end(),
                     [&](const located_replica& candidate) {
                       return !candidate.status->ready &&
                              !IsOutdated(candidate, entry);
                     });
}

// Forms missing replicas of all entries before any instance is used for
// rollouts or surplus replicas.
void placement_planner::FormMissing(const catalogue::entry& entry) {
  entry_replicas& replicas = replicas_by_entry_[entry.name];
  int missing = entry.replicas - static_cast<int>(replicas.viable.size());
  if (missing > 0)
    RecreateDrained(entry, replicas, missing);
  for (const located_replica& candidate : replicas.drained)
    TaskOf(candidate).release.insert(candidate.replica().id);
  if (missing > 0)
    FormReplicas(entry, replicas, missing);
  if (missing <= 0) {
    for (const located_replica& candidate : replicas.unrepairable) {
      if (candidate.status->drain_complete || !candidate.status->IsComplete())
        TaskOf(candidate).release.insert(candidate.replica().id);
    }
  }
}

int placement_planner::SurplusTarget(const catalogue::entry& entry) const {
  const bool is_allowed = entry.kind == catalogue::entry_kind::kEngine &&
                          entry.replicas > 0 && !has_unformed_replicas_;
  return is_allowed ? config_.surplus_replicas : 0;
}

void placement_planner::AdjustEntry(const catalogue::entry& entry) {
  entry_replicas& replicas = replicas_by_entry_[entry.name];
  const int beyond = static_cast<int>(replicas.viable.size()) - entry.replicas;
  const int surplus = SurplusTarget(entry);
  if (beyond > surplus)
    Shrink(entry, replicas, beyond - surplus);
  if (beyond >= 0 && beyond <= surplus && replicas.draining.empty())
    RollOut(entry, replicas);
  if (beyond >= 0 && beyond < surplus && replicas.draining.empty())
    FormSurplus(entry, replicas);
  StartOperatorDrains(entry, replicas);
}

void placement_planner::FormSurplus(const catalogue::entry& entry,
                                    const entry_replicas& replicas) {
  std::map<base::failure_domain_id, int> spread;
  for (const located_replica& candidate : replicas.viable) {
    ++spread[candidate.status->failure_domain];
    if (IsOutdated(candidate, entry) || !candidate.status->IsComplete())
      return;
  }
  FormReplica(entry, spread);
}

void placement_planner::RecreateDrained(const catalogue::entry& entry,
                                        entry_replicas& replicas,
                                        int& missing) {
  const auto can_recreate = [&](const located_replica& candidate) {
    const replica_status& status = *candidate.status;
    const std::size_t vacant = status.lost.size() + status.leaving.size() +
                               status.drain_requested.size();
    return static_cast<int>(status.replica->members.size()) ==
               entry.members_per_replica &&
           vacant <= idle_[candidate.domain->domain];
  };
  std::erase_if(replicas.drained, [&](const located_replica& candidate) {
    if (missing <= 0 || !can_recreate(candidate))
      return false;
    --missing;
    TaskOf(candidate).recreate.insert(candidate.replica().id);
    return true;
  });
}

void placement_planner::FormReplicas(const catalogue::entry& entry,
                                     const entry_replicas& replicas,
                                     int missing) {
  std::map<base::failure_domain_id, int> spread;
  for (const located_replica& candidate : replicas.viable)
    ++spread[candidate.status->failure_domain];
  while (missing-- > 0) {
    if (FormReplica(entry, spread))
      continue;
    has_unformed_replicas_ = true;
    return;
  }
}

// Picks the failure domain with the fewest replicas of the entry and, within
// it, the fabric domain with the most idle instances.
bool placement_planner::FormReplica(
    const catalogue::entry& entry,
    std::map<base::failure_domain_id, int>& spread) {
  const auto members = static_cast<std::size_t>(entry.members_per_replica);
  const domain_status* best = nullptr;
  for (const auto& [name, domain] : inventory_) {
    if (idle_[name] < members)
      continue;
    const auto rank = [&](const domain_status& candidate) {
      return std::tuple(-spread[candidate.failure_domain],
                        idle_[candidate.domain]);
    };
    if (!best || rank(domain) > rank(*best))
      best = &domain;
  }
  if (!best)
    return false;
  idle_[best->domain] -= members;
  ++spread[best->failure_domain];
  ++out_.tasks[best->domain].replicas_to_form[entry.name];
  return true;
}

// A replica that accepts new work, or might do so while this node lacks reports
// of it, may drain only while enough other replicas are ready.
bool placement_planner::MayDrain(const catalogue::entry& entry,
                                 const entry_replicas& replicas,
                                 const located_replica& candidate) const {
  const bool serves =
      candidate.status->ready || candidate.status->has_unreported_member;
  if (!serves || !candidate.status->leaving.empty())
    return true;
  const int floor = entry.replicas == 0
                        ? 0
                        : std::max(1, entry.replicas - config_.max_unavailable);
  return static_cast<int>(replicas.ready) - 1 >= floor;
}

void placement_planner::Shrink(const catalogue::entry& entry,
                               entry_replicas& replicas,
                               int surplus) {
  std::map<base::failure_domain_id, int> spread;
  for (const located_replica& candidate : replicas.viable)
    ++spread[candidate.status->failure_domain];
  // Drains outdated replicas first, then those not ready, then those in the
  // failure domain with the most replicas.
  const auto rank = [&](const located_replica& candidate) {
    return std::tuple(IsOutdated(candidate, entry), !candidate.status->ready,
                      spread[candidate.status->failure_domain],
                      candidate.replica().epoch.value());
  };
  while (surplus-- > 0 && !replicas.viable.empty()) {
    const auto worst = std::max_element(
        replicas.viable.begin(), replicas.viable.end(),
        [&](const located_replica& a, const located_replica& b) {
          return rank(a) < rank(b);
        });
    const located_replica taken = *worst;
    const bool must_wait = taken.status->ready && IsOutdated(taken, entry) &&
                           IsLoading(replicas, entry);
    if (must_wait || !MayDrain(entry, replicas, taken))
      return;
    TaskOf(taken).drain.insert(taken.replica().id);
    --spread[taken.status->failure_domain];
    replicas.ready -= taken.status->ready && taken.status->leaving.empty();
    replicas.viable.erase(worst);
  }
}

// Forms a replica of the new version before an old one is drained, if idle
// instances suffice; otherwise replaces old ones in place, few at a time.
void placement_planner::RollOut(const catalogue::entry& entry,
                                const entry_replicas& replicas) {
  std::vector<located_replica> outdated;
  std::copy_if(replicas.viable.begin(), replicas.viable.end(),
               std::back_inserter(outdated),
               [&](const located_replica& candidate) {
                 return IsOutdated(candidate, entry);
               });
  if (outdated.empty() || IsLoading(replicas, entry))
    return;
  std::map<base::failure_domain_id, int> spread;
  for (const located_replica& candidate : outdated)
    --spread[candidate.status->failure_domain];
  if (FormReplica(entry, spread))
    return;
  const auto not_ready = std::find_if(
      outdated.begin(), outdated.end(), [](const located_replica& candidate) {
        return !candidate.status->ready &&
               !candidate.status->has_unreported_member;
      });
  const located_replica selected =
      not_ready == outdated.end() ? outdated.front() : *not_ready;
  if (MayDrain(entry, replicas, selected))
    TaskOf(selected).drain.insert(selected.replica().id);
  else
    out_.blocked.insert(entry.name);
}

// An operator's drain starts only when the replacements have loaded their
// weights, or at once if there are no spares.
void placement_planner::StartOperatorDrains(const catalogue::entry& entry,
                                            const entry_replicas& replicas) {
  for (const located_replica& candidate : replicas.viable) {
    const replica_status& status = *candidate.status;
    if (status.drain_requested.empty() || status.replica->draining)
      continue;
    const bool can_start = status.IsReplacing()
                               ? status.incoming_ready
                               : idle_[candidate.domain->domain] == 0;
    if (!can_start)
      continue;
    if (MayDrain(entry, replicas, candidate)) {
      TaskOf(candidate).drain.insert(candidate.replica().id);
      return;
    }
    out_.blocked.insert(entry.name);
  }
}

void placement_planner::DrainUnknownEntries(
    const catalogue::snapshot& catalogue) {
  for (auto& [name, replicas] : replicas_by_entry_) {
    if (catalogue.entries.contains(name))
      continue;
    for (const located_replica& candidate : replicas.viable)
      TaskOf(candidate).drain.insert(candidate.replica().id);
    for (const located_replica& candidate : replicas.drained)
      TaskOf(candidate).release.insert(candidate.replica().id);
    for (const located_replica& candidate : replicas.unrepairable)
      TaskOf(candidate).release.insert(candidate.replica().id);
  }
}

}  // namespace

placement PlanPlacement(const fleet_inventory& inventory,
                        const catalogue::snapshot& catalogue,
                        const settings& config,
                        incomplete_counting counting) {
  placement out;
  placement_planner planner(inventory, config, out);
  planner.Classify(counting);
  planner.DrainUnknownEntries(catalogue);
  for (const auto& [name, entry] : catalogue.entries)
    planner.FormMissing(entry);
  for (const auto& [name, entry] : catalogue.entries)
    planner.AdjustEntry(entry);
  return out;
}

}  // namespace flamingoshunt::replica
