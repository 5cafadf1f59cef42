// Chooses the replica of a request among those that may take it, by its
// expected cost there, and assigns the slot.
#include <algorithm>
#include <cmath>
#include <utility>

#include "base/milliseconds.h"
#include "gateway/dispatcher.h"

namespace flamingoshunt::gateway {
namespace {

// Replicas among which a node chooses for each request that others place at the
// same time; more of them make equal choices rarer.
constexpr std::size_t kChoicesPerPlacement = 2;
// Least rise of a replica's likely cost by a request: costs below that are
// equal.
constexpr double kMinIncrementMs = 0.1;

// Adds a request like @p request to the load of @p state.
void AddTo(replica_state& state, const expected_request& request) {
  state.load += {1, request.prompt_tokens, std::llround(request.output.mean)};
  state.pending_work += state.usual_work;
}

}  // namespace

placed_load dispatcher::TotalLoad(const base::instance_id& instance) const {
  placed_load sum;
  if (const auto own = own_loads_.find(instance); own != own_loads_.end())
    sum += own->second;
  if (const auto peer = peer_loads_.find(instance); peer != peer_loads_.end())
    sum += peer->second;
  return sum;
}

// Whether this node may take a slot for which other nodes have requests queued.
bool dispatcher::MayTakeSlot(const target& replica,
                             const engine_profile* profile,
                             const queue_position& position,
                             base::time_point now) {
  // The nodes take turns at a cold replica.
  if (cold_.IsCold(replica.instance, now))
    return true;
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
  // A cold replica counts as full, so that warm ones are preferred.
  costed.cost = static_cast<double>(candidate.load.running) / replica.slots +
                (cold_.IsCold(replica.instance, now) ? 1 : 0);
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
  const int kept_slots = KeptSlots(request, candidates, now);
  std::erase_if(candidates, [&](const target* replica) {
    return FreeSlots(*replica, profile, now) <= kept_slots ||
           !MayTakeSlot(*replica, profile, position, now);
  });
  if (candidates.empty())
    return std::nullopt;
  return learned_
             ? PlaceByLikelyCost(request, position, profile, candidates, now)
             : PlaceByLoad(request, position, profile, candidates, now);
}

grant dispatcher::PlaceByLoad(const slot_request& request,
                              const queue_position& position,
                              const engine_profile* profile,
                              const std::vector<const target*>& candidates,
                              base::time_point now) {
  // Equal costs are common under low load; a random start keeps the nodes from
  // all choosing the first replica.
  const std::size_t start = base::RandomIndex(random_, candidates.size());
  std::vector<costed_grant> costed;
  costed.reserve(candidates.size());
  for (std::size_t i = 0; i < candidates.size(); ++i)
    costed.push_back(Cost(request, *candidates[(start + i) % candidates.size()],
                          profile, now));
  grant best = Choose(costed, position.pool, now).candidate;
  Assign(request, position, best, request.output_tokens, now);
  return best;
}

expected_request dispatcher::Expect(const slot_request& request) const {
  expected_request expected;
  expected.pool = PoolName(request.traits.route, request.model);
  expected.traits = request.traits;
  expected.prompt_tokens = request.prompt_tokens;
  expected.on_time_deadline = request.on_time_deadline;
  return learned_->Expect(std::move(expected), FindProfile(request.service));
}

// @return the placements that other nodes make before this one learns of them:
//         by Little's law from what runs, or from the own arrivals until the
//         first request has ended.
double dispatcher::CountUnknownPlacements(const slot_request& request,
                                          const std::string& pool,
                                          base::time_point now) const {
  if (view_->live_nodes <= 1)
    return 0;
  const double delay_ms =
      base::Milliseconds(std::max(view_->peer_delay, kPeerUpdateDelay));
  const auto statistics = pool_statistics_by_name_.find(pool);
  if (statistics == pool_statistics_by_name_.end() ||
      statistics->second.mean_service_ms <= 0)
    return FleetArrivalsPerMillisecond(pool, now) * delay_ms;
  int running = 0;
  for (const target* replica : FindCandidates(request, now))
    running += TotalLoad(replica->instance).running;
  return running * delay_ms / statistics->second.mean_service_ms;
}

// @return nothing if the answer is likely not to fit into any replica's memory
//         beside what runs there.
std::optional<grant> dispatcher::PlaceByLikelyCost(
    const slot_request& request,
    const queue_position& position,
    const engine_profile* profile,
    const std::vector<const target*>& candidates,
    base::time_point now) {
  const expected_request expected = Expect(request);
  std::vector<rising_cost> costs;
  costs.reserve(candidates.size());
  const std::size_t start = base::RandomIndex(random_, candidates.size());
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const std::size_t index = (start + i) % candidates.size();
    const target& replica = *candidates[index];
    replica_state state = learned_->StateOf(expected, replica, profile,
                                            TotalLoad(replica.instance), now);
    const placement_cost cost =
        EvaluatePlacement(profile, expected, state, now);
    if (!cost.fits_memory)
      continue;
    AddTo(state, expected);
    const placement_cost next =
        EvaluatePlacement(profile, expected, state, now);
    costs.push_back({index, cost.Sum(),
                     std::max(kMinIncrementMs, next.Sum() - cost.Sum())});
  }
  if (costs.empty())
    return std::nullopt;
  std::sort(costs.begin(), costs.end(),
            [](const rising_cost& a, const rising_cost& b) {
              return a.cost < b.cost;
            });
  const target& chosen = *candidates[ChooseByLevel(
      costs, CountUnknownPlacements(request, position.pool, now), random_)];
  grant placed;
  placed.ticket = request.ticket;
  placed.replica = chosen;
  placed.load = TotalLoad(chosen.instance);
  placed.limited = limits_.Available(chosen.instance, now).has_value();
  const replica_state state =
      learned_->StateOf(expected, chosen, profile, placed.load, now);
  placed.expected = EvaluatePlacement(profile, expected, state, now).expected;
  Assign(request, position, placed, std::llround(expected.output.mean), now);
  learned_->OnPlaced(request.ticket.value(), expected, chosen, profile,
                     placed.load, now);
  return placed;
}

// Takes the slot of @p chosen.
void dispatcher::Assign(const slot_request& request,
                        const queue_position& position,
                        const grant& chosen,
                        std::int64_t output_tokens,
                        base::time_point now) {
  const base::instance_id& replica = chosen.replica.instance;
  if (freed_replica_ == replica)
    freed_replica_.reset();
  else if (const auto share = slot_shares_.find(replica);
           share != slot_shares_.end())
    --share->second.remaining;
  placements_[request.ticket] = {replica,
                                 request.service,
                                 position.pool,
                                 request.prompt_tokens,
                                 output_tokens,
                                 output_tokens,
                                 now};
  limits_.OnSent(replica, now);
  cold_.OnSent(replica, now);
  own_loads_[replica] += {1, request.prompt_tokens, output_tokens};
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

}  // namespace flamingoshunt::gateway
