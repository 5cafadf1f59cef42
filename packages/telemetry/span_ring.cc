#include "telemetry/span_ring.h"

#include <algorithm>

#include "base/errors.h"

namespace flamingoshunt::telemetry {
namespace {

void Cut(std::string& text) {
  if (text.size() > kMaxSpanText)
    text.resize(kMaxSpanText);
}

void CutToBounds(span& recorded) {
  if (recorded.attributes.size() > kMaxSpanAttributes)
    recorded.attributes.resize(kMaxSpanAttributes);
  for (span_attribute& attribute : recorded.attributes) {
    Cut(attribute.name);
    Cut(attribute.value);
  }
  Cut(recorded.name);
  Cut(recorded.status_message);
}

}  // namespace

span_ring::span_ring(std::size_t capacity) : capacity_(capacity) {
  FLAMINGOSHUNT_INVARIANT(capacity > 0, capacity);
}

void span_ring::Record(span recorded) {
  CutToBounds(recorded);
  const std::lock_guard lock(mutex_);
  if (spans_.size() < capacity_)
    spans_.push_back(std::move(recorded));
  else
    spans_[recorded_ % capacity_] = std::move(recorded);
  ++recorded_;
}

template <class Matches>
std::vector<span> span_ring::FindIf(Matches matches) const {
  std::vector<span> found;
  {
    const std::lock_guard lock(mutex_);
    std::copy_if(spans_.begin(), spans_.end(), std::back_inserter(found),
                 matches);
  }
  std::stable_sort(found.begin(), found.end(),
                   [](const span& left, const span& right) {
                     return left.start < right.start;
                   });
  return found;
}

std::vector<span> span_ring::FindTrace(trace_id trace) const {
  return FindIf([&](const span& each) { return each.context.trace == trace; });
}

std::vector<span> span_ring::FindRequest(
    const base::request_id& request) const {
  return FindIf([&](const span& each) { return each.request == request; });
}

std::vector<span> span_ring::TakeUnexported(std::size_t most) {
  const std::lock_guard lock(mutex_);
  const std::uint64_t oldest = recorded_ - spans_.size();
  exported_ = std::max(exported_, oldest);
  std::vector<span> taken;
  for (; exported_ < recorded_ && taken.size() < most; ++exported_)
    taken.push_back(spans_[exported_ % capacity_]);
  return taken;
}

}  // namespace flamingoshunt::telemetry
