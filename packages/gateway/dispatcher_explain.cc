// Explains where a request would go now, on a copy of the dispatcher.
#include <algorithm>

#include "gateway/dispatcher.h"
#include "gateway/placement_explanation.h"

namespace flamingoshunt::gateway {
namespace {

// No ticket of a real request: those count up from 1.
constexpr ticket_id kExplained(0);

}  // namespace

// @return why a replica that takes no request now is left out.
std::string dispatcher::ReasonOut(const target& replica,
                                  const engine_profile* profile,
                                  bool is_candidate,
                                  base::time_point now) const {
  if (IsLeaving(replica))
    return "leaving";
  if (pauses_.EndOf(replica, now))
    return "paused";
  const auto suspicion = suspected_until_.find(replica.instance);
  if (suspicion != suspected_until_.end() && suspicion->second > now)
    return "suspected";
  if (!is_candidate)
    return "closed";
  if (FreeSlots(replica, profile, now) > 0)
    return "";
  const auto available = limits_.Available(replica.instance, now);
  return available && *available == 0 ? "limited" : "full";
}

placement_explanation dispatcher::Explain(slot_request request,
                                          base::time_point now) const {
  placement_explanation result;
  request.ticket = kExplained;
  result.service = request.service;
  result.pool = PoolName(request.service, request.model);
  const queue_length_map queued = own_queue_lengths();
  if (const auto own = queued.find(result.pool); own != queued.end())
    result.queued_here = own->second;
  result.queued_at_peers = PeerQueueLength(result.pool);
  result.expected_output_tokens = static_cast<double>(request.output_tokens);
  const engine_profile* profile = FindProfile(request.service);
  expected_request expected;
  if (learned_) {
    expected = Expect(request);
    if (profile)
      result.expected_output_tokens = expected.output.mean;
  }
  const auto candidates = FindCandidates(request, now);
  const auto* targets = FindTargets(request.service);
  const std::vector<target> none;
  // The candidates point into the same targets.
  for (const target& replica : targets ? *targets : none) {
    if (replica.model != request.model)
      continue;
    explained_candidate& each = result.candidates.emplace_back();
    each.instance = replica.instance;
    each.group = replica.group;
    each.load = TotalLoad(replica.instance);
    each.free_slots = FreeSlots(replica, profile, now);
    const bool is_candidate = std::find(candidates.begin(), candidates.end(),
                                        &replica) != candidates.end();
    each.out = ReasonOut(replica, profile, is_candidate, now);
    if (learned_) {
      each.cost = EvaluatePlacement(
          profile, expected,
          learned_->StateOf(expected, replica, profile, each.load, now), now);
      if (each.out.empty() && !each.cost.fits_memory)
        each.out = "memory";
    } else {
      const costed_grant costed = Cost(request, replica, profile, now);
      each.cost.own_ms = costed.cost;
      each.cost.expected = costed.candidate.expected;
    }
  }
  // What is decided, without a trace in this node.
  dispatcher trial(*this);
  const decisions decided = trial.Submit(std::move(request), now);
  for (const grant& each : decided.grants) {
    if (each.ticket == kExplained)
      result.granted = each;
  }
  for (const refusal& each : decided.refusals) {
    if (each.ticket == kExplained)
      result.refused = each;
  }
  return result;
}

}  // namespace flamingoshunt::gateway
