// The inputs, timers and effects of the admission controller.
#include "admission/controller.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace flamingoshunt::admission {

namespace {

using std::chrono::milliseconds;

constexpr base::duration kMinRebalanceInterval = milliseconds(500);
/// Bounds the traffic of published shares when there are many nodes.
constexpr base::duration kRebalanceIntervalPerPeer = milliseconds(30);

}  // namespace

controller::controller(const controller_settings& settings)
    : settings_(settings),
      router_({settings.self, settings.policy, settings.seed}),
      quarantine_(settings.self.node),
      limits_(settings.self.node, settings.incarnation) {
  limits_.SetProvisionalNodes(settings.provisional_nodes);
}

effects controller::Handle(const input& message, base::time_point now) {
  effects_.clear();
  std::visit([&](const auto& received) { On(received, now); }, message);
  ServeIsolated(now);
  for (auto& publication : quarantine_.TakePublications())
    effects_.emplace_back(std::move(publication));
  return std::exchange(effects_, {});
}

std::optional<base::time_point> controller::NextTimer() const {
  std::optional<base::time_point> next = isolated_.NextTimer();
  const auto update_next = [&next](std::optional<base::time_point> other) {
    if (other && (!next || *other < *next))
      next = other;
  };
  for (const auto& [entry, queue] : queues_)
    update_next(queue.NextDeadline());
  if (limits_.HasLimits())
    update_next(next_rebalance_);
  return next;
}

std::size_t controller::QueuedRequests() const {
  std::size_t sum = isolated_.size();
  for (const auto& [entry, queue] : queues_)
    sum += queue.size();
  return sum;
}

entry_queue& controller::QueueOf(const base::entry_name& entry) {
  return queues_.try_emplace(entry, settings_.queue).first->second;
}

void controller::Refuse(const refusal& message) {
  ++counters_.refused.at(static_cast<std::size_t>(message.reason));
  effects_.emplace_back(message);
}

void controller::On(const slot_request& message, base::time_point now) {
  ++counters_.slot_requests;
  RemoveQueued(message.shape.request, now);
  auto rejection = CheckState(message, now);
  if (!rejection)
    rejection = CheckRules(message, now);
  if (rejection) {
    Refuse(*rejection);
    return;
  }
  const queued_request queued = MakeQueuedRequest(message, now);
  if (message.attempt == 1 && !message.preempted) {
    rejection = CheckQueue(queued, now);
    if (!rejection) {
      if (const auto wait = limits_.Admit(message.shape, queued.cost, now))
        rejection =
            refusal{message.shape.request, refusal_reason::kOverLimit, wait};
    }
    if (rejection) {
      Refuse(*rejection);
      return;
    }
    retry_budget_.RecordFirstAttempt();
  }
  Enqueue(queued, now);
}

void controller::Enqueue(queued_request queued, base::time_point now) {
  const auto& shape = queued.request.shape;
  const base::entry_name entry = shape.entry;
  if (quarantine_.Classify(shape.fingerprint, now) !=
      routing::quarantine_state::kClear) {
    if (isolated_.HasCapacity())
      isolated_.Push(std::move(queued));
    else
      Refuse({shape.request, refusal_reason::kQueueFull,
              isolation_queue::kMaxDrainWait});
    return;
  }
  queued_entries_[shape.request] = entry;
  limits_.AdjustWaiting(shape, 1);
  QueueOf(entry).Push(std::move(queued));
  Dispatch(entry, now);
}

// Removes @p request from the queue that holds it.
// @return whether it was queued.
bool controller::RemoveQueued(const base::request_id& request,
                              base::time_point now) {
  if (isolated_.Remove(request, quarantine_, router_, now))
    return true;
  const auto it = queued_entries_.find(request);
  if (it == queued_entries_.end())
    return false;
  const auto removed = QueueOf(it->second).Remove(request);
  queued_entries_.erase(it);
  FLAMINGOSHUNT_INVARIANT(removed, request);
  limits_.AdjustWaiting(removed->request.shape, -1);
  limits_.RefundUnstarted(removed->request.shape, removed->cost);
  return true;
}

void controller::On(const withdrawal& message, base::time_point now) {
  if (RemoveQueued(message.request, now)) {
    ++counters_.withdrawn;
    return;
  }
  // The grant crossed the withdrawal, so the slot will not be used.
  const auto it = running_.find(message.request);
  if (it == running_.end())
    return;
  const running_attempt attempt = std::move(it->second);
  running_.erase(it);
  ++counters_.withdrawn;
  routing::attempt_finished unused;
  unused.request = message.request;
  unused.replica = attempt.replica;
  unused.epoch = attempt.epoch;
  unused.fingerprint = attempt.request.shape.fingerprint;
  unused.result = routing::attempt_result::kCancelled;
  Finish(attempt, unused, now);
  DispatchAll(now);
}

void controller::On(const catalogue_in_force& message, base::time_point now) {
  const bool is_new = message.snapshot && message.snapshot != catalogue_;
  is_confirmed_ = message.confirmed;
  if (!is_new)
    return;
  catalogue_ = message.snapshot;
  limits_.Apply(*catalogue_, now);
  DispatchAll(now);
}

void controller::On(const limit_roster& message, base::time_point now) {
  limits_.Apply(message);
  next_rebalance_ = now;
}

void controller::On(const lift_quarantine& message, base::time_point now) {
  quarantine_.Lift(message.fingerprint, now);
}

void controller::On(const replica::serving_changed& message,
                    base::time_point now) {
  router_.Apply(message);
  Dispatch(message.replica.entry, now);
}

void controller::On(const endpoint::report& message, base::time_point now) {
  router_.Apply(message, now);
  Dispatch(message.entry, now);
}

void controller::On(const endpoint::cache_event& message, base::time_point) {
  router_.Apply(message);
}

void controller::On(const membership::item& message, base::time_point now) {
  if (message.topic == "limits")
    limits_.Apply(message);
  if (message.topic != "crash")
    return;
  if (const auto claim = quarantine_.Apply(message, now)) {
    const auto until =
        claim->open ? now + isolation_queue::kClaimDuration : now;
    router_.Claim(claim->replica, until);
  }
}

void controller::On(const membership::peers_changed& message,
                    base::time_point now) {
  router_.Apply(message);
  peer_count_ = message.peers.size();
  const auto known_peers = static_cast<std::size_t>(std::count_if(
      message.peers.begin(), message.peers.end(), [](const auto& peer) {
        return peer.state != membership::peer_state::kLeft;
      }));
  // An unreachable peer may still admit requests under its share.
  limits_.SetProvisionalNodes(
      std::max(settings_.provisional_nodes, known_peers + 1));
  DispatchAll(now);
}

void controller::On(const tick&, base::time_point now) {
  RefuseExpired(now);
  RebalanceIfDue(now);
  DispatchAll(now);
}

void controller::On(const shutdown_started&, base::time_point) {
  is_stopping_ = true;
}

void controller::RefuseExpired(base::time_point now) {
  for (auto& [entry, queue] : queues_) {
    for (const auto& request : queue.ExpiredRequests(now)) {
      RemoveQueued(request, now);
      Refuse({request, refusal_reason::kDeadline, std::nullopt});
    }
  }
}

base::duration controller::RebalanceInterval() const {
  return std::max(kMinRebalanceInterval,
                  kRebalanceIntervalPerPeer * static_cast<int>(peer_count_));
}

void controller::RebalanceIfDue(base::time_point now) {
  if (!limits_.HasLimits() || now < next_rebalance_)
    return;
  next_rebalance_ = now + RebalanceInterval();
  for (auto& publication : limits_.Rebalance(RebalanceInterval(), now))
    effects_.emplace_back(std::move(publication));
}

}  // namespace flamingoshunt::admission
