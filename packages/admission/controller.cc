// The inputs, timers and effects of the machine.
#include "admission/controller.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace flamingoshunt::admission {

namespace {

using std::chrono::milliseconds;

constexpr base::duration kLeastExchangeInterval = milliseconds(500);
/// Keeps the traffic of shares bounded when there are many nodes.
constexpr base::duration kExchangeIntervalPerPeer = milliseconds(30);

}  // namespace

machine::machine(const machine_settings& settings)
    : settings_(settings),
      router_({settings.self, settings.policy, settings.seed}),
      quarantine_(settings.self.node),
      gate_(settings.self.node, settings.incarnation) {
  gate_.SetProvisionalNodes(settings.provisional_nodes);
}

effects machine::Handle(const input& given, base::time_point now) {
  effects_.clear();
  std::visit([&](const auto& each) { On(each, now); }, given);
  ServeSolo(now);
  for (auto& news : quarantine_.TakeNews())
    effects_.emplace_back(std::move(news));
  return std::exchange(effects_, {});
}

std::optional<base::time_point> machine::NextTimer() const {
  std::optional<base::time_point> next = solo_.NextTimer();
  const auto consider = [&next](std::optional<base::time_point> other) {
    if (other && (!next || *other < *next))
      next = other;
  };
  for (const auto& [entry, line] : lines_)
    consider(line.NextDeadline());
  if (gate_.HasLimits())
    consider(next_exchange_);
  return next;
}

std::size_t machine::Waiting() const {
  std::size_t sum = solo_.size();
  for (const auto& [entry, line] : lines_)
    sum += line.size();
  return sum;
}

entry_line& machine::LineOf(const base::entry_name& entry) {
  return lines_.try_emplace(entry, settings_.queue).first->second;
}

void machine::Refuse(const refusal& given) {
  ++counters_.refused.at(static_cast<std::size_t>(given.reason));
  effects_.emplace_back(given);
}

void machine::On(const ask& given, base::time_point now) {
  ++counters_.asked;
  Leave(given.shape.request, now);
  auto refused = CheckState(given, now);
  if (!refused)
    refused = CheckRules(given, now);
  if (refused) {
    Refuse(*refused);
    return;
  }
  const waiting each = Describe(given, now);
  if (given.attempt == 1 && !given.preempted) {
    refused = CheckLine(each, now);
    if (!refused) {
      if (const auto wait = gate_.Admit(given.shape, each.cost, now))
        refused =
            refusal{given.shape.request, refusal_reason::kOverLimit, wait};
    }
    if (refused) {
      Refuse(*refused);
      return;
    }
    retries_.FirstAttempt();
  }
  Enqueue(each, now);
}

void machine::Enqueue(waiting each, base::time_point now) {
  const auto& shape = each.request.shape;
  const base::entry_name entry = shape.entry;
  if (quarantine_.Judge(shape.fingerprint, now) != routing::verdict::kClear) {
    if (solo_.HasRoom())
      solo_.Push(std::move(each));
    else
      Refuse(
          {shape.request, refusal_reason::kQueueFull, solo_line::kEmptyWait});
    return;
  }
  places_[shape.request] = entry;
  gate_.Waits(shape, 1);
  LineOf(entry).Push(std::move(each));
  Dispatch(entry, now);
}

// Takes @p request out of whatever line it waits in.
bool machine::Leave(const base::request_id& request, base::time_point now) {
  if (solo_.Remove(request, quarantine_, router_, now))
    return true;
  const auto place = places_.find(request);
  if (place == places_.end())
    return false;
  const auto removed = LineOf(place->second).Remove(request);
  places_.erase(place);
  FLAMINGOSHUNT_INVARIANT(removed, request);
  gate_.Waits(removed->request.shape, -1);
  gate_.Dropped(removed->request.shape, removed->cost);
  return true;
}

void machine::On(const withdraw& given, base::time_point now) {
  if (Leave(given.request, now)) {
    ++counters_.withdrawn;
    return;
  }
  // The grant was on its way when the caller left: nobody will use the slot.
  const auto found = running_.find(given.request);
  if (found == running_.end())
    return;
  const running each = std::move(found->second);
  running_.erase(found);
  ++counters_.withdrawn;
  routing::attempt_finished unused;
  unused.request = given.request;
  unused.replica = each.replica;
  unused.epoch = each.epoch;
  unused.fingerprint = each.request.shape.fingerprint;
  unused.result = routing::attempt_result::kCancelled;
  Finish(each, unused, now);
  DispatchAll(now);
}

void machine::On(const catalogue_in_force& given, base::time_point now) {
  const bool is_new = given.snapshot && given.snapshot != catalogue_;
  is_confirmed_ = given.confirmed;
  if (!is_new)
    return;
  catalogue_ = given.snapshot;
  gate_.Apply(*catalogue_, now);
  DispatchAll(now);
}

void machine::On(const limit_roster& given, base::time_point now) {
  gate_.Apply(given);
  next_exchange_ = now;
}

void machine::On(const lift_quarantine& given, base::time_point now) {
  quarantine_.Lift(given.fingerprint, now);
}

void machine::On(const replica::serving_changed& given, base::time_point now) {
  router_.Apply(given);
  Dispatch(given.replica.entry, now);
}

void machine::On(const endpoint::report& given, base::time_point now) {
  router_.Apply(given, now);
  Dispatch(given.entry, now);
}

void machine::On(const endpoint::cache_event& given, base::time_point) {
  router_.Apply(given);
}

void machine::On(const membership::item& given, base::time_point now) {
  if (given.topic == "limits")
    gate_.Apply(given);
  if (given.topic != "crash")
    return;
  if (const auto claim = quarantine_.Apply(given, now)) {
    const auto until = claim->open ? now + solo_line::kClaimTime : now;
    router_.Claim(claim->replica, until);
  }
}

void machine::On(const membership::peers_changed& given, base::time_point now) {
  router_.Apply(given);
  peers_ = given.peers.size();
  const auto known = static_cast<std::size_t>(std::count_if(
      given.peers.begin(), given.peers.end(), [](const auto& peer) {
        return peer.state != membership::peer_state::kLeft;
      }));
  // A peer that can't be seen may still admit requests under its part.
  gate_.SetProvisionalNodes(std::max(settings_.provisional_nodes, known + 1));
  DispatchAll(now);
}

void machine::On(const tick&, base::time_point now) {
  RefuseOverdue(now);
  ExchangeIfDue(now);
  DispatchAll(now);
}

void machine::On(const stopping&, base::time_point) {
  is_stopping_ = true;
}

void machine::RefuseOverdue(base::time_point now) {
  for (auto& [entry, line] : lines_) {
    for (const auto& request : line.Overdue(now)) {
      Leave(request, now);
      Refuse({request, refusal_reason::kDeadline, std::nullopt});
    }
  }
}

base::duration machine::ExchangeInterval() const {
  return std::max(kLeastExchangeInterval,
                  kExchangeIntervalPerPeer * static_cast<int>(peers_));
}

void machine::ExchangeIfDue(base::time_point now) {
  if (!gate_.HasLimits() || now < next_exchange_)
    return;
  next_exchange_ = now + ExchangeInterval();
  for (auto& news : gate_.Exchange(ExchangeInterval(), now))
    effects_.emplace_back(std::move(news));
}

}  // namespace flamingoshunt::admission
