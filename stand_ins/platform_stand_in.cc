#include "stand_ins/platform_stand_in.h"

#include <algorithm>

namespace flamingoshunt::stand_ins {
namespace {

using store::call_outcome;
using store::operation;

bool IsWrite(const store::call& request) {
  return request.op != operation::kGet && request.op != operation::kList;
}

store::reply Failed(const store::call& request, call_outcome outcome) {
  store::reply reply;
  reply.id = request.id;
  reply.outcome = outcome;
  return reply;
}

// Takes one from a counter of faults still to happen.
bool TakeOne(int& left) {
  if (left <= 0)
    return false;
  --left;
  return true;
}

}  // namespace

bool platform_stand_in::Reaches(int client) const {
  return !faults.silent && !faults.cut_off.contains(client);
}

void platform_stand_in::Deliver(base::time_point when,
                                platform_delivery delivery) {
  deliveries_.emplace(when, std::move(delivery));
}

void platform_stand_in::AnswerUnknown(int client,
                                      const store::call& request,
                                      base::time_point now) {
  const auto outcome =
      IsWrite(request) ? call_outcome::kUnknown : call_outcome::kUnavailable;
  Deliver(now + request.timeout, {client, Failed(request, outcome)});
}

void platform_stand_in::Send(int client,
                             const store::call& request,
                             base::time_point now) {
  ++calls_received_;
  if (!Reaches(client))
    return AnswerUnknown(client, request, now);
  if (faults.refuse) {
    return Deliver(now + faults.latency,
                   {client, Failed(request, call_outcome::kUnavailable)});
  }
  if (IsWrite(request) && TakeOne(faults.delay_writes)) {
    delayed_writes_.emplace(now + faults.write_delay, request);
    return AnswerUnknown(client, request, now);
  }
  const store::reply reply = store.Apply(request);
  ServeWatches(now);
  const bool lost = IsWrite(request) && TakeOne(faults.lose_answers);
  if (lost || faults.latency >= request.timeout)
    return AnswerUnknown(client, request, now);
  Deliver(now + faults.latency, {client, reply});
}

void platform_stand_in::StartWatch(int client,
                                   const store::watch_request& request,
                                   base::time_point now) {
  ++calls_received_;
  if (faults.refuse || !Reaches(client)) {
    return Deliver(now + faults.latency,
                   {client, store::watch_ended{request.id}});
  }
  const watch_key key{client, request.id};
  watches_[key] = {request, now, now};
  ServeWatches(now);
}

void platform_stand_in::StopWatch(int client, store::watch_id id) {
  watches_.erase({client, id});
}

void platform_stand_in::Disconnect(int client) {
  std::erase_if(watches_,
                [&](const auto& item) { return item.first.first == client; });
  std::erase_if(deliveries_,
                [&](const auto& item) { return item.second.client == client; });
}

void platform_stand_in::ServeWatches(base::time_point now) {
  if (faults.refuse)
    return EndAllWatches(now);
  if (faults.stale_watch)
    return;
  for (auto at = watches_.begin(); at != watches_.end();) {
    const auto current = at++;  // Serving a gap erases the watch.
    if (Reaches(current->first.first))
      ServeWatch(current->first, current->second, now);
  }
}

void platform_stand_in::ServeWatch(const watch_key& key,
                                   open_watch& watch,
                                   base::time_point now) {
  const auto events = store.ChangesAfter(watch.position);
  const bool only_bookmark =
      events.size() == 1 &&
      events.front().kind == store::watch_event_kind::kBookmark;
  if (only_bookmark && now < watch.next_bookmark)
    return;
  const auto when = std::max(now + faults.watch_latency, watch.last_delivery);
  watch.last_delivery = when;
  for (const store::watch_event& event : events)
    Deliver(when, {key.first, event});
  watch.position.after = store.revision();
  watch.next_bookmark = now + kBookmarkInterval;
  if (events.front().kind != store::watch_event_kind::kGap)
    return;
  Deliver(when, {key.first, store::watch_ended{key.second}});
  watches_.erase(watch_key(key));
}

void platform_stand_in::EndAllWatches(base::time_point now) {
  for (const auto& [key, watch] : watches_)
    Deliver(now + faults.latency, {key.first, store::watch_ended{key.second}});
  watches_.clear();
}

std::optional<base::time_point> platform_stand_in::NextTimer() const {
  std::optional<base::time_point> next;
  const auto consider = [&](base::time_point when) {
    if (!next || when < *next)
      next = when;
  };
  if (!deliveries_.empty())
    consider(deliveries_.begin()->first);
  if (!delayed_writes_.empty())
    consider(delayed_writes_.begin()->first);
  for (const auto& [key, watch] : watches_) {
    if (faults.refuse || (!faults.stale_watch && Reaches(key.first)))
      consider(watch.next_bookmark);
  }
  return next;
}

std::vector<platform_delivery> platform_stand_in::Due(base::time_point now) {
  while (!delayed_writes_.empty() && delayed_writes_.begin()->first <= now) {
    store.Apply(delayed_writes_.begin()->second);
    delayed_writes_.erase(delayed_writes_.begin());
  }
  ServeWatches(now);
  std::vector<platform_delivery> due;
  const auto end = deliveries_.upper_bound(now);
  for (auto at = deliveries_.begin(); at != end; ++at)
    due.push_back(std::move(at->second));
  deliveries_.erase(deliveries_.begin(), end);
  return due;
}

}  // namespace flamingoshunt::stand_ins
