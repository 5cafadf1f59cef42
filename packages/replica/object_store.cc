#include "replica/object_store.h"

#include <algorithm>

namespace flamingoshunt::replica {
namespace {

using store::call_outcome;
using store::operation;

constexpr base::duration kFirstBackOff = std::chrono::milliseconds(500);
constexpr base::duration kMaxBackOff = std::chrono::seconds(30);

}  // namespace

bool object_store::ApplyBudget(const store::object& object, bool deleted) {
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

std::optional<object_store::change> object_store::Apply(
    const store::object& object,
    bool deleted) {
  base::revision& highest_version = highest_versions_[object.key.name];
  if (object.version < highest_version) {
    ++outdated_;
    return std::nullopt;
  }
  const bool same = object.version == highest_version && !deleted;
  highest_version = object.version;
  if (object.key.name == kWeightBudgetName) {
    ApplyBudget(object, deleted);
    return std::nullopt;
  }
  const base::fabric_domain_id domain(object.key.name);
  const auto found = allocations_.find(domain);
  if (same && found != allocations_.end() &&
      found->second.version == highest_version)
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
  allocation& current = allocations_[domain];
  // The epoch counter continues, so that no epoch is used twice.
  if (deleted)
    next.next_epoch = current.next_epoch;
  std::swap(current, next);
  return change{domain, std::move(next)};
}

std::vector<object_store::change> object_store::ApplyList(
    const std::vector<store::object>& objects) {
  listed_ = true;
  std::vector<change> changed;
  std::set<std::string> present;
  for (const store::object& object : objects) {
    present.insert(object.key.name);
    if (auto changed_allocation = Apply(object, false))
      changed.push_back(std::move(*changed_allocation));
  }
  for (const auto& [domain, current] : allocations_) {
    if (current.version > base::revision() && !present.contains(domain.str()))
      ++outdated_;
  }
  return changed;
}

bool object_store::CanCall(const std::string& name,
                           base::time_point now) const {
  if (names_in_call_.contains(name))
    return false;
  const auto retry = back_off_.find(name);
  return retry == back_off_.end() || retry->second.until <= now;
}

store::call object_store::Start(operation op, const std::string& name) {
  store::call call;
  call.id = store::call_id(next_call_++);
  call.op = op;
  call.key = {kAllocationKind, name};
  pending_[call.id] = {name, op};
  names_in_call_.insert(name);
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
  back_off& retry = back_off_[name];
  retry.step = std::clamp(retry.step * 2, kFirstBackOff, kMaxBackOff);
  // Half fixed, half random, so that nodes do not retry in step.
  const base::duration half = retry.step / 2;
  const auto jitter = static_cast<base::duration::rep>(
      base::RandomUnit(random_) * static_cast<double>(half.count()));
  retry.until = now + half + base::duration(jitter);
}

std::optional<object_store::call_result> object_store::OnReply(
    const store::reply& reply,
    base::time_point now) {
  const auto found = pending_.find(reply.id);
  if (found == pending_.end())
    return std::nullopt;
  const pending call = found->second;
  pending_.erase(found);
  names_in_call_.erase(call.name);
  call_result out;
  out.name = call.name;
  const bool answered = reply.outcome == call_outcome::kOk ||
                        reply.outcome == call_outcome::kConflict;
  if (answered && reply.current)
    out.changed = Apply(*reply.current, false);
  if (reply.outcome == call_outcome::kOk) {
    back_off_.erase(call.name);
    out.is_current_read =
        call.op == operation::kGet && reply.current &&
        reply.current->version == highest_versions_[call.name];
    return out;
  }
  conflicts_ += reply.outcome == call_outcome::kConflict;
  unknown_outcomes_ += reply.outcome == call_outcome::kUnknown;
  if (reply.outcome == call_outcome::kConflict && reply.current)
    return out;
  if (reply.outcome == call_outcome::kNotFound && call.op == operation::kGet) {
    // The object does not exist; if it did before, the next list shows it.
    back_off_.erase(call.name);
    return out;
  }
  BackOff(call.name, now);
  return out;
}

std::vector<store::call> object_store::DueReads(base::time_point now) {
  std::vector<store::call> calls;
  for (const auto& [name, retry] : back_off_) {
    if (retry.until <= now && !names_in_call_.contains(name))
      calls.push_back(Read(name));
  }
  return calls;
}

std::optional<base::time_point> object_store::NextRead() const {
  std::optional<base::time_point> next;
  for (const auto& [name, retry] : back_off_) {
    if (!names_in_call_.contains(name))
      next = next ? std::min(*next, retry.until) : retry.until;
  }
  return next;
}

}  // namespace flamingoshunt::replica
