#include "replica/object_store.h"

#include <algorithm>

namespace flamingoshunt::replica {
namespace {

using store::call_outcome;
using store::operation;

constexpr base::duration kFirstBackOff = std::chrono::milliseconds(500);
constexpr base::duration kMaxBackOff = std::chrono::seconds(30);

}  // namespace

bool object_store::TakeBudget(const store::object& object, bool deleted) {
  if (deleted) {
    budget_ = weight_budget();
    return true;
  }
  try {
    budget_ = WeightBudgetFromObject(object);
  } catch (const allocation_error&) {
    ++malformed_;
    return false;
  }
  return true;
}

std::optional<object_store::change> object_store::Take(
    const store::object& object,
    bool deleted) {
  base::revision& floor = floor_[object.key.name];
  if (object.version < floor) {
    ++behind_;
    return std::nullopt;
  }
  const bool same = object.version == floor && !deleted;
  floor = object.version;
  if (object.key.name == kWeightBudgetName) {
    TakeBudget(object, deleted);
    return std::nullopt;
  }
  const base::fabric_domain_id domain(object.key.name);
  const auto found = known_.find(domain);
  if (same && found != known_.end() && found->second.version == floor)
    return std::nullopt;
  allocation next;
  try {
    if (deleted)
      next.domain = domain;
    else
      next = AllocationFromObject(object);
  } catch (const allocation_error&) {
    ++malformed_;
    return std::nullopt;
  }
  allocation& current = known_[domain];
  // Epochs go on where they were, so that none is used twice.
  if (deleted)
    next.next_epoch = current.next_epoch;
  std::swap(current, next);
  return change{domain, std::move(next)};
}

std::vector<object_store::change> object_store::TakeAll(
    const std::vector<store::object>& objects) {
  listed_ = true;
  std::vector<change> changed;
  std::set<std::string> present;
  for (const store::object& object : objects) {
    present.insert(object.key.name);
    if (auto one = Take(object, false))
      changed.push_back(std::move(*one));
  }
  for (const auto& [domain, current] : known_) {
    if (current.version > base::revision() && !present.contains(domain.str()))
      ++behind_;
  }
  return changed;
}

bool object_store::Free(const std::string& name, base::time_point now) const {
  if (busy_.contains(name))
    return false;
  const auto held = back_off_.find(name);
  return held == back_off_.end() || held->second.until <= now;
}

store::call object_store::Start(operation op, const std::string& name) {
  store::call call;
  call.id = store::call_id(next_call_++);
  call.op = op;
  call.key = {kAllocationKind, name};
  pending_[call.id] = {name, op};
  busy_.insert(name);
  return call;
}

store::call object_store::Write(const std::string& name,
                                base::revision expected,
                                std::string value) {
  const bool create = expected == base::revision();
  store::call call =
      Start(create ? operation::kCreate : operation::kUpdate, name);
  call.expected = expected;
  call.value = std::move(value);
  return call;
}

store::call object_store::Read(const std::string& name) {
  return Start(operation::kGet, name);
}

void object_store::BackOff(const std::string& name, base::time_point now) {
  back_off& held = back_off_[name];
  held.step = std::clamp(held.step * 2, kFirstBackOff, kMaxBackOff);
  // Half fixed, half random, so that nodes don't come back together.
  const base::duration half = held.step / 2;
  const auto jitter = static_cast<base::duration::rep>(
      base::RandomUnit(random_) * static_cast<double>(half.count()));
  held.until = now + half + base::duration(jitter);
}

std::optional<object_store::settled> object_store::Settle(
    const store::reply& reply,
    base::time_point now) {
  const auto found = pending_.find(reply.id);
  if (found == pending_.end())
    return std::nullopt;
  const pending call = found->second;
  pending_.erase(found);
  busy_.erase(call.name);
  settled out;
  out.name = call.name;
  const bool answered = reply.outcome == call_outcome::kOk ||
                        reply.outcome == call_outcome::kConflict;
  if (answered && reply.current)
    out.changed = Take(*reply.current, false);
  if (reply.outcome == call_outcome::kOk) {
    back_off_.erase(call.name);
    out.read_ok = call.op == operation::kGet && reply.current &&
                  reply.current->version == floor_[call.name];
    return out;
  }
  conflicts_ += reply.outcome == call_outcome::kConflict;
  unsettled_ += reply.outcome == call_outcome::kUnknown;
  if (reply.outcome == call_outcome::kConflict && reply.current)
    return out;
  if (reply.outcome == call_outcome::kNotFound && call.op == operation::kGet) {
    // Nothing to settle unless it was there before; the list will tell.
    back_off_.erase(call.name);
    return out;
  }
  BackOff(call.name, now);
  return out;
}

std::vector<store::call> object_store::DueReads(base::time_point now) {
  std::vector<store::call> calls;
  for (const auto& [name, held] : back_off_) {
    if (held.until <= now && !busy_.contains(name))
      calls.push_back(Read(name));
  }
  return calls;
}

std::optional<base::time_point> object_store::NextRead() const {
  std::optional<base::time_point> next;
  for (const auto& [name, held] : back_off_) {
    if (!busy_.contains(name))
      next = next ? std::min(*next, held.until) : held.until;
  }
  return next;
}

}  // namespace flamingoshunt::replica
