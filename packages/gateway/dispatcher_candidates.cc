// Finds the replicas that a request may be sent to now: those that serve its
// model and are neither leaving, pausing, evacuated, suspected nor tried
// already, and how many requests each still takes.
#include <algorithm>

#include "gateway/dispatcher.h"

namespace flamingoshunt::gateway {

const std::vector<target>* dispatcher::FindTargets(
    const std::string& service) const {
  if (!view_)
    return nullptr;
  const auto it = view_->targets.find(service);
  return it == view_->targets.end() ? nullptr : &it->second;
}

const engine_profile* dispatcher::FindProfile(
    const std::string& service) const {
  if (!view_ || !view_->configuration)
    return nullptr;
  const auto* definition = view_->configuration->FindService(service);
  return definition && definition->engine ? &*definition->engine : nullptr;
}

// @return the requests that the replica takes now: its free slots, as far as
//         its rate limit allows and, while it is cold, this node's turn.
int dispatcher::FreeSlots(const target& replica,
                          const engine_profile* profile,
                          base::time_point now) const {
  const int slots = std::max(1, profile ? profile->slots : replica.slots);
  const int free = std::max(0, slots - TotalLoad(replica.instance).running);
  return std::min({free,
                   limits_.Available(replica.instance, now).value_or(free),
                   cold_.Available(replica.instance, now).value_or(free)});
}

std::optional<double> dispatcher::RateLimit(const base::instance_id& replica,
                                            base::time_point now) const {
  const auto limit = limits_.Limit(replica);
  const auto cold = cold_.Rate(replica, now);
  return limit && cold ? std::min(*limit, *cold) : (cold ? cold : limit);
}

std::vector<const target*> dispatcher::FindCandidates(
    const slot_request& request,
    base::time_point now) const {
  std::vector<const target*> candidates;
  const auto* targets = FindTargets(request.service);
  if (!targets)
    return candidates;
  for (const target& replica : *targets) {
    const auto suspicion = suspected_until_.find(replica.instance);
    const bool suspected =
        suspicion != suspected_until_.end() && suspicion->second > now;
    const bool tried = std::find(request.avoid.begin(), request.avoid.end(),
                                 replica.instance) != request.avoid.end();
    if (replica.model == request.model && !suspected && !tried &&
        AcceptsRequests(replica, now))
      candidates.push_back(&replica);
  }
  return candidates;
}

bool dispatcher::HasAlternative(const std::string& service,
                                const std::string& model,
                                const std::vector<base::instance_id>& avoid,
                                base::time_point now) const {
  slot_request probe;
  probe.service = service;
  probe.model = model;
  probe.avoid = avoid;
  const engine_profile* profile = FindProfile(service);
  const auto candidates = FindCandidates(probe, now);
  return std::any_of(candidates.begin(), candidates.end(),
                     [&](const target* replica) {
                       return FreeSlots(*replica, profile, now) > 0;
                     });
}

bool dispatcher::IsTarget(const base::instance_id& replica) const {
  return std::any_of(
      view_->targets.begin(), view_->targets.end(), [&](const auto& service) {
        return std::any_of(
            service.second.begin(), service.second.end(),
            [&](const target& each) { return each.instance == replica; });
      });
}

void dispatcher::UpdateEvacuated() {
  evacuated_.clear();
  for (const auto& [service, targets] : view_->targets) {
    for (const target& replica : targets) {
      if (replica.evacuated)
        evacuated_.insert(replica.instance);
    }
  }
}

void dispatcher::UpdateCold(base::time_point now) {
  std::set<base::instance_id> cold;
  for (const auto& [name, targets] : view_->targets) {
    const auto* service = view_->configuration
                              ? view_->configuration->FindService(name)
                              : nullptr;
    if (!service || service->cold_requests_per_second <= 0)
      continue;
    for (const target& replica : targets) {
      if (replica.cold_until <= now)
        continue;
      cold.insert(replica.instance);
      cold_.Set(replica.instance,
                {replica.cold_until, service->cold_requests_per_second,
                 view_->known_nodes},
                now, random_);
    }
  }
  cold_.RetainIf(
      [&](const base::instance_id& replica) { return cold.contains(replica); });
}

int dispatcher::RunningInEvacuated() const {
  int running = 0;
  for (const base::instance_id& replica : evacuated_) {
    const auto load = own_loads_.find(replica);
    running += load == own_loads_.end() ? 0 : load->second.running;
  }
  return running;
}

bool dispatcher::MarkLeaving(const replica_process& process) {
  const auto [it, added] =
      leaving_since_start_.try_emplace(process.instance, process.started_ms);
  if (!added && it->second >= process.started_ms)
    return false;
  it->second = process.started_ms;
  return true;
}

bool dispatcher::IsLeaving(const target& replica) const {
  const auto it = leaving_since_start_.find(replica.instance);
  return it != leaving_since_start_.end() && it->second >= replica.started_ms;
}

std::optional<base::time_point> dispatcher::FirstPauseEnd(
    const std::string& service,
    const std::string& model,
    base::time_point now) const {
  std::optional<base::time_point> first;
  const auto* targets = FindTargets(service);
  if (!targets || pauses_.empty())
    return first;
  for (const target& replica : *targets) {
    if (replica.model != model || IsLeaving(replica) || replica.evacuated)
      continue;
    const auto end = pauses_.EndOf(replica, now);
    if (!end)
      return std::nullopt;
    first = first ? std::min(*first, *end) : *end;
  }
  return first;
}

void dispatcher::Suspect(const base::instance_id& replica,
                         base::time_point until) {
  base::time_point& suspected_until = suspected_until_[replica];
  suspected_until = std::max(suspected_until, until);
}

decisions dispatcher::ClearSuspicion(const base::instance_id& replica,
                                     base::time_point now) {
  if (suspected_until_.erase(replica) == 0)
    return {};
  return ProcessQueue(now);
}

}  // namespace flamingoshunt::gateway
