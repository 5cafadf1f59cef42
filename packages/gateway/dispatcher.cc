#include "gateway/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/milliseconds.h"

namespace flamingoshunt::gateway {
namespace {

using std::chrono::milliseconds;

// Weight of the newest completed request in the moving average of its pool.
constexpr double kNewestWeight = 0.1;
// Longest interval between evaluations of a non-empty queue.
constexpr milliseconds kQueueCheckPeriod{50};

// Time until the peers learn of a placement: the network delay between two
// nodes and the scheduling of small processes.
constexpr milliseconds kPeerUpdateDelay{20};

// Replicas among which a node chooses for each request that others place at the
// same time; more of them make equal choices rarer.
constexpr std::size_t kChoicesPerPlacement = 2;

}  // namespace

std::string PoolName(const std::string& service, const std::string& model) {
  return model.empty() ? service : service + '/' + model;
}

const char* NameOf(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kNoReplica:
      return "no_replica";
    case refusal_reason::kPaused:
      return "paused";
    case refusal_reason::kWaitTooLong:
      return "wait_too_long";
    case refusal_reason::kQueueFull:
      return "line_full";
    case refusal_reason::kUnknownService:
      return "unknown_service";
  }
  return "unknown";
}

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

placed_load dispatcher::TotalLoad(const base::instance_id& instance) const {
  placed_load sum;
  if (const auto own = own_loads_.find(instance); own != own_loads_.end())
    sum += own->second;
  if (const auto peer = peer_loads_.find(instance); peer != peer_loads_.end())
    sum += peer->second;
  return sum;
}

// @return the requests that the replica takes now: its free slots, as far as
//         its rate limit allows.
int dispatcher::FreeSlots(const target& replica,
                          const engine_profile* profile,
                          base::time_point now) const {
  const int slots = std::max(1, profile ? profile->slots : replica.slots);
  const int free = std::max(0, slots - TotalLoad(replica.instance).running);
  return std::min(free,
                  limits_.Available(replica.instance, now).value_or(free));
}

// Whether this node may take a slot for which other nodes have requests queued.
bool dispatcher::MayTakeSlot(const target& replica,
                             const engine_profile* profile,
                             const queue_position& position,
                             base::time_point now) {
  const bool alone = position.peer_length == 0;
  const bool shared =
      profile || limits_.Available(replica.instance, now).has_value();
  if (!shared || alone || freed_replica_ == replica.instance)
    return true;
  slot_share& share = slot_shares_[replica.instance];
  if (now >= share.expires_at) {
    const double fair_share =
        static_cast<double>(FreeSlots(replica, profile, now)) *
        position.own_length / (position.own_length + position.peer_length);
    // The fraction is rounded randomly, so that the nodes together take all
    // free slots.
    const double whole_slots = std::floor(fair_share);
    share.remaining =
        static_cast<int>(whole_slots) +
        (base::RandomUnit(random_) < fair_share - whole_slots ? 1 : 0);
    share.expires_at = now + kPeerUpdateDelay;
  }
  return share.remaining > 0;
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

dispatcher::costed_grant dispatcher::Cost(const slot_request& request,
                                          const target& replica,
                                          const engine_profile* profile,
                                          base::time_point now) const {
  costed_grant costed;
  grant& candidate = costed.candidate;
  candidate.ticket = request.ticket;
  candidate.replica = replica;
  candidate.load = TotalLoad(replica.instance);
  candidate.limited = limits_.Available(replica.instance, now).has_value();
  costed.cost = static_cast<double>(candidate.load.running) / replica.slots;
  if (!profile)
    return costed;
  candidate.expected =
      EstimateWork(*profile, replica.time_factor, candidate.load,
                   request.prompt_tokens, request.output_tokens);
  costed.cost = base::Milliseconds(candidate.expected.total) +
                base::Milliseconds(candidate.expected.first_event);
  return costed;
}

// @return the requests for @p pool that the fleet places before its nodes learn
//         of each other's.
std::size_t dispatcher::CountConcurrentPlacements(const std::string& pool,
                                                  base::time_point now) const {
  return static_cast<std::size_t>(FleetArrivalsPerMillisecond(pool, now) *
                                  base::Milliseconds(view_->peer_delay));
}

// Chooses the cheapest replica. If other nodes choose before they learn of this
// placement, chooses at random among enough of the cheapest for all of them.
const dispatcher::costed_grant& dispatcher::Choose(
    std::vector<costed_grant>& costed,
    const std::string& pool,
    base::time_point now) {
  const std::size_t choices =
      std::min(costed.size(),
               1 + kChoicesPerPlacement * CountConcurrentPlacements(pool, now));
  std::partial_sort(
      costed.begin(), costed.begin() + static_cast<std::ptrdiff_t>(choices),
      costed.end(), [](const costed_grant& a, const costed_grant& b) {
        return a.cost < b.cost;
      });
  return costed[base::RandomIndex(random_, choices)];
}

std::optional<grant> dispatcher::TryPlace(const slot_request& request,
                                          const queue_position& position,
                                          base::time_point now) {
  const engine_profile* profile = FindProfile(request.service);
  auto candidates = FindCandidates(request, now);
  std::erase_if(candidates, [&](const target* replica) {
    return FreeSlots(*replica, profile, now) == 0 ||
           !MayTakeSlot(*replica, profile, position, now);
  });
  if (candidates.empty())
    return std::nullopt;
  // Equal costs are common under low load; a random start keeps the nodes from
  // all choosing the first replica.
  const std::size_t start = base::RandomIndex(random_, candidates.size());
  std::vector<costed_grant> costed;
  costed.reserve(candidates.size());
  for (std::size_t i = 0; i < candidates.size(); ++i)
    costed.push_back(Cost(request, *candidates[(start + i) % candidates.size()],
                          profile, now));
  const grant best = Choose(costed, position.pool, now).candidate;
  if (freed_replica_ == best.replica.instance)
    freed_replica_.reset();
  else if (const auto share = slot_shares_.find(best.replica.instance);
           share != slot_shares_.end())
    --share->second.remaining;
  placements_[request.ticket] = {best.replica.instance, position.pool,
                                 request.prompt_tokens, request.output_tokens,
                                 now};
  limits_.OnSent(best.replica.instance, now);
  own_loads_[best.replica.instance] +=
      {1, request.prompt_tokens, request.output_tokens};
  return best;
}

decisions dispatcher::Submit(slot_request request, base::time_point now) {
  // Callers may name any model; statistics are kept only for those served,
  // which bounds the memory.
  if (!FindCandidates(request, now).empty())
    RecordArrival(request, now);
  waiting_.push_back(std::move(request));
  return ProcessQueue(now);
}

std::optional<grant> dispatcher::PlaceNow(const slot_request& request,
                                          base::time_point now) {
  std::erase_if(suspected_until_,
                [&](const auto& entry) { return entry.second <= now; });
  queue_position position;
  position.pool = PoolName(request.service, request.model);
  const queue_length_map queue_lengths = own_queue_lengths();
  const auto queued = queue_lengths.find(position.pool);
  const int own_length = queued == queue_lengths.end() ? 0 : queued->second;
  if (own_length > 0 && !request.has_begun)
    return std::nullopt;
  position.own_length = own_length + 1;
  position.peer_length = PeerQueueLength(position.pool);
  return TryPlace(request, position, now);
}

int dispatcher::PeerQueueLength(const std::string& pool) const {
  const auto queue = peer_queue_lengths_.find(pool);
  return queue == peer_queue_lengths_.end() ? 0 : queue->second;
}

void dispatcher::Cancel(ticket_id ticket) {
  waiting_.remove_if(
      [&](const slot_request& request) { return request.ticket == ticket; });
}

void dispatcher::OnFirstEvent(ticket_id ticket) {
  const auto it = placements_.find(ticket);
  if (it == placements_.end())
    return;
  own_loads_[it->second.instance].pending_prompt_tokens -=
      std::exchange(it->second.pending_prompt_tokens, 0);
}

decisions dispatcher::Release(ticket_id ticket,
                              bool complete,
                              base::time_point now) {
  const auto it = placements_.find(ticket);
  if (it == placements_.end())
    return {};
  const placement& old_placement = it->second;
  placed_load& load = own_loads_[old_placement.instance];
  load.running -= 1;
  load.pending_prompt_tokens -= old_placement.pending_prompt_tokens;
  load.pending_output_tokens -= old_placement.pending_output_tokens;
  if (load.running <= 0)
    own_loads_.erase(old_placement.instance);
  if (complete) {
    double& mean_ms =
        pool_statistics_by_name_[old_placement.pool].mean_service_ms;
    const double service_ms = base::Milliseconds(now - old_placement.placed_at);
    mean_ms = mean_ms <= 0 ? service_ms
                           : mean_ms + kNewestWeight * (service_ms - mean_ms);
  }
  freed_replica_ = old_placement.instance;
  placements_.erase(it);
  decisions result = ProcessQueue(now);
  freed_replica_.reset();
  return result;
}

decisions dispatcher::SetView(fleet_view_ptr view, base::time_point now) {
  view_ = std::move(view);
  if (!limits_.empty())
    limits_.RetainIf(
        [&](const base::instance_id& replica) { return IsTarget(replica); },
        now);
  std::erase_if(leaving_since_start_,
                [&](const auto& entry) { return !IsTarget(entry.first); });
  return ProcessQueue(now);
}

bool dispatcher::IsTarget(const base::instance_id& replica) const {
  return std::any_of(
      view_->targets.begin(), view_->targets.end(), [&](const auto& service) {
        return std::any_of(
            service.second.begin(), service.second.end(),
            [&](const target& each) { return each.instance == replica; });
      });
}

decisions dispatcher::UpdatePeerLoads(const load_map& loads,
                                      base::time_point now) {
  for (const auto& [instance, load] : loads) {
    if (load.running > 0)
      peer_loads_[instance] = load;
    else
      peer_loads_.erase(instance);
  }
  return ProcessQueue(now);
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
    if (replica.model != model || IsLeaving(replica))
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

decisions dispatcher::ProcessQueue(base::time_point now) {
  decisions result;
  if (waiting_.empty())
    return result;
  std::erase_if(suspected_until_,
                [&](const auto& entry) { return entry.second <= now; });
  SortQueue(now);
  std::erase_if(slot_shares_, [&](const auto& entry) {
    return entry.second.expires_at <= now;
  });
  const queue_length_map queue_lengths = own_queue_lengths();
  queue_length_map ahead_by_pool;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    queue_position position;
    position.pool = PoolName(it->service, it->model);
    position.requests_ahead = ahead_by_pool[position.pool];
    position.own_length = queue_lengths.at(position.pool);
    position.peer_length = PeerQueueLength(position.pool);
    if (auto granted = TryPlace(*it, position, now)) {
      result.grants.push_back(std::move(*granted));
      it = waiting_.erase(it);
    } else if (auto refused = EvaluateWait(*it, position, now)) {
      result.refusals.push_back(*refused);
      it = waiting_.erase(it);
    } else {
      ++ahead_by_pool[position.pool];
      ++it;
    }
  }
  return result;
}

queue_length_map dispatcher::own_queue_lengths() const {
  queue_length_map queue_lengths;
  for (const slot_request& request : waiting_)
    ++queue_lengths[PoolName(request.service, request.model)];
  return queue_lengths;
}

base::duration dispatcher::EstimatePrefillTime(
    const std::string& service,
    const base::instance_id& replica) const {
  const engine_profile* profile = FindProfile(service);
  const auto* targets = FindTargets(service);
  if (!profile || !targets)
    return {};
  double factor = 1;
  for (const target& candidate : *targets) {
    if (candidate.instance == replica)
      factor = candidate.time_factor;
  }
  const double max_tokens_per_pass =
      static_cast<double>(profile->prefill_chunk_tokens) *
      static_cast<double>(profile->steps_per_pass);
  const double pending_prompt_tokens =
      std::min(max_tokens_per_pass,
               static_cast<double>(TotalLoad(replica).pending_prompt_tokens));
  return base::FromMilliseconds(factor * pending_prompt_tokens /
                                profile->prefill_tokens_per_ms);
}

decisions dispatcher::Tick(base::time_point now) {
  return ProcessQueue(now);
}

std::optional<base::time_point> dispatcher::NextTimer(
    base::time_point now) const {
  if (waiting_.empty())
    return std::nullopt;
  return now + (slot_shares_.empty() ? kQueueCheckPeriod : kPeerUpdateDelay);
}

}  // namespace flamingoshunt::gateway
