#include "gateway/dispatcher.h"

#include <algorithm>
#include <utility>

#include "base/milliseconds.h"

namespace flamingoshunt::gateway {
namespace {

using std::chrono::milliseconds;

// Weight of the newest completed request in the moving average of its pool.
constexpr double kNewestWeight = 0.1;
// Longest interval between evaluations of a non-empty queue.
constexpr milliseconds kQueueCheckPeriod{50};
// Expected output is reported in this many steps as it is written: the peers
// need no datagram for each event.
constexpr std::int64_t kOutputSteps = 4;

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

decisions dispatcher::Submit(slot_request request, base::time_point now) {
  // Callers may name any model; statistics are kept only for those served,
  // which bounds the memory.
  if (!FindCandidates(request, now).empty())
    RecordArrival(request, now);
  waiting_.push_back(MakeQueued(std::move(request), now));
  return ProcessQueue(now);
}

int dispatcher::PeerQueueLength(const std::string& pool) const {
  const auto queue = peer_queue_lengths_.find(pool);
  return queue == peer_queue_lengths_.end() ? 0 : queue->second;
}

void dispatcher::Cancel(ticket_id ticket) {
  waiting_.remove_if([&](const queued_request& queued) {
    return queued.request.ticket == ticket;
  });
}

void dispatcher::OnFirstEvent(ticket_id ticket) {
  const auto it = placements_.find(ticket);
  if (it == placements_.end())
    return;
  own_loads_[it->second.instance].pending_prompt_tokens -=
      std::exchange(it->second.pending_prompt_tokens, 0);
}

void dispatcher::OnEvents(ticket_id ticket,
                          std::uint64_t events,
                          base::time_point now) {
  const auto it = placements_.find(ticket);
  if (!learned_ || it == placements_.end())
    return;
  placement& placed = it->second;
  const auto pending =
      learned_->OnEvents(ticket.value(), FindProfile(placed.service), events,
                         TotalLoad(placed.instance), now);
  const std::int64_t step =
      std::max<std::int64_t>(1, placed.output_tokens / kOutputSteps);
  if (!pending || placed.pending_output_tokens - *pending < step)
    return;
  own_loads_[placed.instance].pending_output_tokens -=
      placed.pending_output_tokens - *pending;
  placed.pending_output_tokens = *pending;
}

decisions dispatcher::Release(ticket_id ticket,
                              bool complete,
                              base::time_point now) {
  const auto it = placements_.find(ticket);
  if (it == placements_.end())
    return {};
  const placement& old_placement = it->second;
  if (learned_)
    learned_->OnReleased(ticket.value(), FindProfile(old_placement.service),
                         complete, now);
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
  UpdateEvacuated();
  UpdateCold(now);
  if (!limits_.empty())
    limits_.RetainIf(
        [&](const base::instance_id& replica) { return IsTarget(replica); },
        now);
  std::erase_if(leaving_since_start_,
                [&](const auto& entry) { return !IsTarget(entry.first); });
  if (learned_)
    learned_->RetainIf(
        [&](const base::instance_id& replica) { return IsTarget(replica); });
  return ProcessQueue(now);
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
  auto queued_by_pool = CountQueued();
  queue_length_map ahead_by_pool;
  queue_length_map late_by_pool;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    const std::string pool = PoolName(it->request.service, it->request.model);
    queue_position position = PositionOf(*it, queued_by_pool[pool]);
    position.requests_ahead = ahead_by_pool[pool];
    position.late_ahead = late_by_pool[pool];
    if (Yields(*it))
      position.own_length += position.late_ahead + 1;
    std::optional<grant> granted;
    if (!MustYield(*it, position, now))
      granted = TryPlace(it->request, position, now);
    if (granted) {
      RecordGrant(*it, now);
      result.grants.push_back(std::move(*granted));
      it = waiting_.erase(it);
    } else if (auto refused = Evaluate(*it, position, now)) {
      result.refusals.push_back(*refused);
      it = waiting_.erase(it);
    } else {
      ++ahead_by_pool[position.pool];
      late_by_pool[position.pool] += it->rank.late ? 1 : 0;
      ++it;
    }
  }
  return result;
}

queue_length_map dispatcher::own_queue_lengths() const {
  queue_length_map queue_lengths;
  for (const auto& [pool, lengths] : CountQueued()) {
    for (const auto& [priority, length] : lengths) {
      queue_lengths[pool] += length;
      if (SharesPriorities(pool))
        queue_lengths[UrgentPoolName(pool, priority)] += length;
    }
  }
  return queue_lengths;
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
