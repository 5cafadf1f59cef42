#include "store/client.h"

#include <algorithm>
#include <utility>

#include "base/errors.h"
#include "store/http_codec.h"

namespace flamingoshunt::store {
namespace {

constexpr base::duration kListTimeout = std::chrono::seconds(2);
constexpr base::duration kProbeTimeout = std::chrono::seconds(2);
// Need not exist: any answer tells that the platform is back.
constexpr const char* kProbeKind = "node";
constexpr const char* kProbeName = "-";
// On top of the call's own timeout, which the port enforces.
constexpr base::duration kPortGrace = std::chrono::seconds(1);

// A call that was given less time than this and ran out of it tells nothing
// about the platform.
constexpr base::duration kTellingTimeout = std::chrono::milliseconds(500);

bool Failed(call_outcome outcome) {
  return outcome == call_outcome::kUnavailable ||
         outcome == call_outcome::kUnknown;
}

}  // namespace

client::client(const client_options& options, base::random_engine random)
    : options_(options),
      random_(random),
      budget_(options.calls_per_second, options.burst),
      backoff_(options.backoff_low, options.backoff_high),
      queue_(options.queue_limit) {}

client_effects client::Submit(const call& request, base::time_point now) {
  FLAMINGOSHUNT_INVARIANT(!sent_.contains(request.id), request.id);
  client_effects effects;
  if (const auto dropped = queue_.Add(request, now)) {
    ++counters_.dropped;
    AnswerUnsent(*dropped, effects);
  }
  Pump(now, effects);
  return effects;
}

client_effects client::Watch(watch_id id,
                             std::string kind,
                             base::time_point now) {
  FLAMINGOSHUNT_INVARIANT(!watches_.contains(id), id);
  watches_.emplace(
      id, watched{kind_view(id, std::move(kind)),
                  backoff(options_.backoff_low, options_.backoff_high)});
  client_effects effects;
  Pump(now, effects);
  return effects;
}

client_effects client::Unwatch(watch_id id) {
  client_effects effects;
  const auto found = watches_.find(id);
  if (found == watches_.end())
    return effects;
  if (found->second.state == watch_state::kRunning)
    effects.stop_watches.push_back(found->second.wire);
  watches_.erase(found);
  return effects;
}

client_effects client::Handle(const reply& answer, base::time_point now) {
  client_effects effects;
  if (sent_.contains(answer.id))
    Settle(answer, now, effects);
  Pump(now, effects);
  return effects;
}

client_effects client::Handle(const watch_event& event, base::time_point now) {
  client_effects effects;
  RecordSuccess(now, effects);
  if (!IsCurrent(event.platform_era, now, effects)) {
    Pump(now, effects);
    return effects;
  }
  watched* watch = FindByWire(event.id);
  if (watch) {
    watch->silent_at = now + options_.watch_silence;
    watch->retry.Reset();
    if (auto passed = watch->view.Observe(event))
      effects.events.push_back(std::move(*passed));
    if (watch->view.NeedsList(now)) {
      effects.stop_watches.push_back(watch->wire);
      watch->state = watch_state::kMustList;
    }
  }
  Pump(now, effects);
  return effects;
}

client_effects client::Handle(const watch_ended& ended, base::time_point now) {
  client_effects effects;
  if (watched* watch = FindByWire(ended.id)) {
    monitor_.RecordFailure(now, ended.host_silent);
    watch->state = watch_state::kMustStart;
    watch->not_before = now + watch->retry.Next(random_);
  }
  Pump(now, effects);
  return effects;
}

client_effects client::Tick(base::time_point now) {
  client_effects effects;
  ExpireSent(now, effects);
  ExpireWatches(now, effects);
  Pump(now, effects);
  return effects;
}

std::optional<base::time_point> client::NextTimer(base::time_point now) {
  std::optional<base::time_point> next = queue_.FirstExpiry();
  const auto consider = [&](base::time_point when) {
    next = next ? std::min(*next, when) : when;
  };
  for (const auto& [id, sent] : sent_)
    consider(sent.give_up_at);
  for (const auto& [id, watch] : watches_) {
    if (watch.state == watch_state::kRunning)
      consider(watch.silent_at);
    const bool waits = watch.state == watch_state::kMustStart ||
                       watch.state == watch_state::kMustList;
    if (waits && watch.not_before > now)
      consider(watch.not_before);
    const auto timer = watch.view.NextTimer();
    if (timer && watch.state == watch_state::kRunning)
      consider(std::max(*timer, now));
  }
  const bool may_send = WantsToSend(now) && gate_ != gate::kProbing &&
                        sent_.size() < options_.in_flight_limit;
  if (may_send && gate_ == gate::kClosed)
    consider(std::max(probe_at_, budget_.NextToken(now)));
  else if (may_send)
    consider(budget_.NextToken(now));
  return next;
}

bool client::behind() const {
  return std::any_of(watches_.begin(), watches_.end(), [](const auto& item) {
    return item.second.view.behind();
  });
}

void client::Pump(base::time_point now, client_effects& effects) {
  ExpireQueue(now, effects);
  while (MaySend(now)) {
    if (gate_ == gate::kOpen)
      SendNext(now, effects);
    else
      SendProbe(now, effects);
  }
}

bool client::MaySend(base::time_point now) {
  if (gate_ == gate::kProbing || sent_.size() >= options_.in_flight_limit)
    return false;
  if (gate_ == gate::kClosed && now < probe_at_)
    return false;
  return WantsToSend(now) && budget_.Take(now);
}

bool client::WantsToSend(base::time_point now) const {
  // A closed gate is probed even when nothing else is to be sent: until then a
  // single lost call looks like an outage.
  if (!queue_.empty() || gate_ == gate::kClosed)
    return true;
  return std::any_of(watches_.begin(), watches_.end(), [&](const auto& item) {
    const watched& watch = item.second;
    return watch.not_before <= now && (watch.state == watch_state::kMustStart ||
                                       watch.state == watch_state::kMustList);
  });
}

void client::SendNext(base::time_point now, client_effects& effects) {
  if (SendQueued(now, call_priority::kRequestPath, effects) ||
      ServeWatch(now, effects))
    return;
  SendQueued(now, call_priority::kBackground, effects);
}

void client::SendProbe(base::time_point now, client_effects& effects) {
  // A read of its own: a slice's write would be left unsettled by a failure.
  gate_ = gate::kProbing;
  call probe;
  probe.id = ids_.Next();
  probe.key = {kProbeKind, kProbeName};
  probe.timeout = kProbeTimeout;
  SendCall(probe, now, effects);
}

bool client::SendQueued(base::time_point now,
                        call_priority at_least,
                        client_effects& effects) {
  const auto next = queue_.Take(now, at_least);
  if (next)
    SendCall(*next, now, effects);
  return next.has_value();
}

bool client::ServeWatch(base::time_point now, client_effects& effects) {
  for (auto& [id, watch] : watches_) {
    if (watch.not_before > now)
      continue;
    const bool list =
        watch.state == watch_state::kMustList || watch.view.NeedsList(now);
    if (watch.state == watch_state::kMustStart && !list) {
      StartWatch(watch, now, effects);
      return true;
    }
    if (watch.state == watch_state::kMustList ||
        watch.state == watch_state::kMustStart) {
      StartList(watch, now, effects);
      return true;
    }
  }
  return false;
}

void client::SendCall(const call& request,
                      base::time_point now,
                      client_effects& effects) {
  ++counters_.sent;
  sent_[request.id] = {request, now, now + request.timeout + kPortGrace};
  effects.send.push_back(request);
}

void client::StartWatch(watched& watch,
                        base::time_point now,
                        client_effects& effects) {
  ++counters_.sent;
  ++counters_.watches_started;
  watch.wire = watch_id(++last_wire_);
  watch.state = watch_state::kRunning;
  watch.silent_at = now + options_.watch_silence;
  effects.start_watches.push_back(
      {watch.wire, watch.view.kind(), watch.view.position()});
}

void client::StartList(watched& watch,
                       base::time_point now,
                       client_effects& effects) {
  ++counters_.lists;
  call list;
  list.id = ids_.Next();
  list.op = operation::kList;
  list.key.kind = watch.view.kind();
  list.timeout = kListTimeout;
  watch.list_call = list.id;
  watch.state = watch_state::kListing;
  SendCall(list, now, effects);
}

void client::Settle(const reply& received,
                    base::time_point now,
                    client_effects& effects) {
  const sent_call sent = std::move(sent_[received.id]);
  sent_.erase(received.id);
  // What an earlier era acknowledged may be lost.
  const reply answer = IsCurrent(received.platform_era, now, effects)
                           ? received
                           : ReplyWithoutResponse(sent.request, true);
  if (!Failed(answer.outcome)) {
    Succeed();
    RecordSuccess(now, effects);
  } else if (TellsOfOutage(sent, answer.outcome, now)) {
    Fail(now);
    const bool ran_out = now >= sent.sent_at + sent.request.timeout;
    monitor_.RecordFailure(
        now, ran_out ? now - sent.sent_at : base::duration::zero());
  }
  if (OwnerOf(answer.id) != call_owner::kClient) {
    effects.replies.push_back(answer);
    return;
  }
  for (auto& [id, watch] : watches_) {
    const bool waits =
        watch.state == watch_state::kListing && watch.list_call == answer.id;
    if (waits)
      return FinishList(watch, answer, now, effects);
  }
}

bool client::TellsOfOutage(const sent_call& sent,
                           call_outcome outcome,
                           base::time_point now) const {
  const bool ran_out = now >= sent.sent_at + sent.request.timeout;
  // A probe must always end the probing.
  return Failed(outcome) &&
         (!ran_out || sent.request.timeout >= kTellingTimeout ||
          gate_ == gate::kProbing);
}

void client::FinishList(watched& watch,
                        const reply& answer,
                        base::time_point now,
                        client_effects& effects) {
  if (answer.outcome != call_outcome::kOk) {
    watch.state = watch_state::kMustList;
    watch.not_before = now + watch.retry.Next(random_);
    return;
  }
  for (watch_event& event : watch.view.Reconcile(answer, now))
    effects.events.push_back(std::move(event));
  watch.state = watch_state::kMustStart;
}

void client::ExpireQueue(base::time_point now, client_effects& effects) {
  for (const call& request : queue_.TakeExpired(now)) {
    ++counters_.expired;
    AnswerUnsent(request, effects);
  }
}

void client::ExpireSent(base::time_point now, client_effects& effects) {
  std::vector<reply> overdue;
  for (const auto& [id, sent] : sent_) {
    if (sent.give_up_at <= now)
      overdue.push_back(ReplyWithoutResponse(sent.request, true));
  }
  for (const reply& answer : overdue)
    Settle(answer, now, effects);
}

void client::ExpireWatches(base::time_point now, client_effects& effects) {
  for (auto& [id, watch] : watches_) {
    if (watch.state != watch_state::kRunning)
      continue;
    const bool list = watch.view.NeedsList(now);
    if (!list && watch.silent_at > now)
      continue;
    effects.stop_watches.push_back(watch.wire);
    watch.state = list ? watch_state::kMustList : watch_state::kMustStart;
    watch.not_before = list ? now : now + watch.retry.Next(random_);
  }
}

bool client::IsCurrent(const era& named_era,
                       base::time_point now,
                       client_effects& effects) {
  if (!named_era || named_era == era_)
    return true;
  if (era_ && *named_era < *era_)
    return false;
  const bool restored = era_.has_value();
  era_ = named_era;
  if (restored)
    BeginEra(now, effects);
  return true;
}

// Lists every kind anew: a watch from a revision that is assigned again would
// miss what lies between.
void client::BeginEra(base::time_point now, client_effects& effects) {
  effects.begun_era = era_;
  for (auto& [id, watch] : watches_) {
    watch.view.BeginEra();
    if (watch.state == watch_state::kRunning)
      effects.stop_watches.push_back(watch.wire);
    // A list that is on its way is judged by the era of its answer.
    if (watch.state != watch_state::kListing)
      watch.state = watch_state::kMustList;
    watch.not_before = now;
  }
}

void client::RecordSuccess(base::time_point now, client_effects& effects) {
  if (const auto ended = monitor_.RecordSuccess(now))
    effects.ended_outage = ended;
}

void client::AnswerUnsent(const call& request, client_effects& effects) {
  effects.replies.push_back(ReplyWithoutResponse(request, false));
}

void client::Succeed() {
  gate_ = gate::kOpen;
  backoff_.Reset();
}

void client::Fail(base::time_point now) {
  ++counters_.failed;
  // Further failures of calls sent before the gate closed tell nothing new.
  if (gate_ == gate::kClosed)
    return;
  if (gate_ == gate::kOpen)
    ++counters_.outages;
  gate_ = gate::kClosed;
  budget_.Empty(now);
  probe_at_ = now + backoff_.Next(random_);
}

client::watched* client::FindByWire(watch_id wire) {
  for (auto& [id, watch] : watches_) {
    if (watch.state == watch_state::kRunning && watch.wire == wire)
      return &watch;
  }
  return nullptr;
}

}  // namespace flamingoshunt::store
