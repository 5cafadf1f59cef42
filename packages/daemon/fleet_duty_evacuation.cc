// How a node learns which failure domains are evacuated, and what follows.
#include <utility>

#include "base/milliseconds.h"
#include "daemon/fleet_duty.h"
#include "telemetry/log.h"

namespace flamingoshunt::daemon {

bool fleet_duty::FollowsEvacuations() const {
  return settings_.gateway->evacuate.has_value();
}

void fleet_duty::TakeEvacuation(const store::object& object, bool deleted) {
  if (deleted) {
    evacuations_.OnDeleted(base::failure_domain_id(object.key.name));
    return;
  }
  if (auto domain = wire_.ReadEvacuation(object.key.name, object.value)) {
    evacuations_.OnPut(std::move(*domain));
    return;
  }
  telemetry::LogChange(
      "fleet", "evacuation_unusable",
      {{"name", object.key.name}, {"revision", object.version.value()}},
      telemetry::log_level::kWarning);
}

void fleet_duty::TakeEvacuationBookmark(const store::watch_event& event) {
  const auto told = evacuations_.own();
  if (evacuations_.OnBookmark(event.platform_era.value_or(0),
                              event.changed.version))
    ApplyEvacuations(kFromStore);
  const auto& own = evacuations_.own();
  const bool changed =
      told ? told->domains != own->domains : !own->domains.empty();
  if (changed)
    outbox_.RequestChanges();
}

void fleet_duty::TakePeerEvacuations(const fleet::peer_status& news) {
  if (!FollowsEvacuations() || !news.evacuated)
    return;
  if (evacuations_.OnPeerState(*news.evacuated))
    ApplyEvacuations(news.node.str());
}

// Compares the evacuated failure domains with those in effect here.
void fleet_duty::ApplyEvacuations(std::string_view source) {
  const auto now = clock_.Now();
  const fleet::evacuation_state& state = *evacuations_.current();
  const auto log = [&](const char* event,
                       const base::failure_domain_id& domain) {
    std::size_t replicas = 0;
    for (const auto& [id, replica] : replicas_.replicas())
      replicas += replica.failure_domain == domain ? 1 : 0;
    telemetry::LogChange("fleet", event,
                         {{"failure_domain", domain.str()},
                          {"revision", state.revision.value()},
                          {"source", source},
                          {"replicas", replicas}});
  };
  for (auto it = evacuated_.begin(); it != evacuated_.end();) {
    if (state.domains.contains(it->first)) {
      ++it;
      continue;
    }
    log("evacuation_ended", it->first);
    // Its replicas may have become cold just before.
    cold_periods_.OnReturned(it->first, EntryDelay(), now);
    it = evacuated_.erase(it);
  }
  // What the first state names may have been evacuated long ago.
  const auto since =
      std::exchange(evacuations_known_, true) ? now : base::time_point::min();
  for (const base::failure_domain_id& domain : state.domains) {
    if (evacuated_.try_emplace(domain, since).second)
      log("evacuated", domain);
  }
  evacuated_domains_.Set(static_cast<std::int64_t>(evacuated_.size()));
  for (auto& [name, of] : services_)
    of->planner.SetEvacuated(state.domains);
  view_due_ = true;
}

// @return whether requests have to wait: a node that starts may not know yet
//         what is evacuated. A list that doesn't come stops no service.
bool fleet_duty::AwaitsEvacuations() {
  if (!FollowsEvacuations() || evacuations_known_)
    return false;
  const auto waited = clock_.Now() - started_at_;
  if (waited < *settings_.gateway->evacuate)
    return true;
  if (!std::exchange(evacuations_missing_logged_, true))
    telemetry::LogChange("fleet", "evacuations_unknown",
                         {{"waited_ms", base::WholeMilliseconds(waited)}},
                         telemetry::log_level::kWarning);
  return false;
}

void fleet_duty::MarkEvacuated(std::vector<gateway::target>& targets) {
  if (evacuated_.empty())
    return;
  const auto next = fleet::MarkEvacuated(
      targets, evacuated_, *settings_.gateway->evacuate, clock_.Now());
  if (next)
    next_view_ = std::min(next_view_, *next);
}

}  // namespace flamingoshunt::daemon
