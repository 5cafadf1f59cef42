#include "stand_ins/platform_store.h"

#include <utility>

namespace flamingoshunt::stand_ins {

using store::call_outcome;
using store::operation;
using store::watch_event_kind;

store::reply platform_store::Apply(const store::call& request) {
  store::reply reply;
  reply.id = request.id;
  reply.outcome = call_outcome::kOk;
  reply.store_revision = revision_;
  switch (request.op) {
    case operation::kGet: {
      const auto found = objects_.find(request.key);
      if (found == objects_.end())
        reply.outcome = call_outcome::kNotFound;
      else
        reply.current = found->second;
      return reply;
    }
    case operation::kList: {
      auto at = objects_.lower_bound({request.key.kind, ""});
      for (; at != objects_.end() && at->first.kind == request.key.kind; ++at)
        reply.listed.push_back(at->second);
      return reply;
    }
    case operation::kCreate:
    case operation::kUpdate:
      return Write(request);
    case operation::kDelete:
      return Delete(request);
  }
  reply.outcome = call_outcome::kInvalid;
  return reply;
}

store::reply platform_store::Write(const store::call& request) {
  store::reply reply;
  reply.id = request.id;
  reply.store_revision = revision_;
  const auto found = objects_.find(request.key);
  const bool exists = found != objects_.end();
  if (request.key.name.empty() || request.value.size() > kMaxValueBytes) {
    reply.outcome = call_outcome::kInvalid;
    return reply;
  }
  if (request.op == operation::kUpdate && !exists) {
    reply.outcome = call_outcome::kNotFound;
    return reply;
  }
  const bool create = request.op == operation::kCreate;
  if (exists && (create || found->second.version != request.expected)) {
    reply.outcome = call_outcome::kConflict;
    reply.current = found->second;
    return reply;
  }
  revision_ = base::revision(revision_.value() + 1);
  store::object written{request.key, revision_, request.value};
  objects_[request.key] = written;
  Record(watch_event_kind::kPut, written);
  reply.outcome = call_outcome::kOk;
  reply.current = std::move(written);
  reply.store_revision = revision_;
  return reply;
}

store::reply platform_store::Delete(const store::call& request) {
  store::reply reply;
  reply.id = request.id;
  reply.store_revision = revision_;
  const auto found = objects_.find(request.key);
  if (found == objects_.end()) {
    reply.outcome = call_outcome::kNotFound;
    return reply;
  }
  if (found->second.version != request.expected) {
    reply.outcome = call_outcome::kConflict;
    reply.current = found->second;
    return reply;
  }
  objects_.erase(found);
  revision_ = base::revision(revision_.value() + 1);
  Record(watch_event_kind::kDelete, {request.key, revision_, ""});
  reply.outcome = call_outcome::kOk;
  reply.store_revision = revision_;
  return reply;
}

void platform_store::Record(watch_event_kind kind, store::object changed) {
  history_.push_back({kind, std::move(changed)});
  while (history_.size() > history_limit_) {
    history_start_ = history_.front().changed.version;
    history_.pop_front();
  }
}

std::vector<store::watch_event> platform_store::ChangesAfter(
    const store::watch_request& request) const {
  store::watch_event event;
  event.id = request.id;
  event.changed.key.kind = request.kind;
  event.changed.version = revision_;
  if (request.after < history_start_ || request.after > revision_) {
    event.kind = watch_event_kind::kGap;
    return {event};
  }
  std::vector<store::watch_event> events;
  for (const change& past : history_) {
    const bool wanted = past.changed.key.kind == request.kind &&
                        past.changed.version > request.after;
    if (wanted)
      events.push_back({request.id, past.kind, past.changed});
  }
  event.kind = watch_event_kind::kBookmark;
  events.push_back(event);
  return events;
}

void platform_store::DropHistory() {
  history_.clear();
  history_start_ = revision_;
}

}  // namespace flamingoshunt::stand_ins
