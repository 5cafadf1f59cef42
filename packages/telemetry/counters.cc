#include "telemetry/counters.h"

#include <algorithm>

namespace flamingoshunt::telemetry {
namespace {

bool IsNameCharacter(char character) {
  return (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') || character == '_';
}

bool IsName(const std::string& name) {
  if (name.empty() || (name.front() >= '0' && name.front() <= '9'))
    return false;
  return std::all_of(name.begin(), name.end(), IsNameCharacter);
}

}  // namespace

void metric_registry::Check(const metric_identity& identity) const {
  if (!IsName(identity.name))
    throw metric_error("metric name \"" + identity.name +
                       "\": must match [a-zA-Z_][a-zA-Z0-9_]*");
  for (const label& each : identity.labels) {
    if (!IsName(each.name))
      throw metric_error("label name \"" + each.name + "\" of metric " +
                         identity.name + ": must match [a-zA-Z_][a-zA-Z0-9_]*");
  }
  const auto same = [&](const auto& entry) {
    return entry.identity.name == identity.name &&
           entry.identity.labels == identity.labels;
  };
  const bool doubled =
      std::any_of(counters_.begin(), counters_.end(), same) ||
      std::any_of(gauges_.begin(), gauges_.end(), same) ||
      std::any_of(histograms_.begin(), histograms_.end(), same);
  if (doubled)
    throw metric_error("metric " + identity.name + ": registered twice");
}

counter& metric_registry::AddCounter(std::string name,
                                     std::string help,
                                     std::vector<label> labels) {
  const std::lock_guard lock(mutex_);
  metric_identity identity{std::move(name), std::move(help), std::move(labels)};
  Check(identity);
  return counters_.emplace_back(std::move(identity)).metric;
}

gauge& metric_registry::AddGauge(std::string name,
                                 std::string help,
                                 std::vector<label> labels) {
  const std::lock_guard lock(mutex_);
  metric_identity identity{std::move(name), std::move(help), std::move(labels)};
  Check(identity);
  return gauges_.emplace_back(std::move(identity)).metric;
}

histogram& metric_registry::AddHistogram(std::string name,
                                         std::string help,
                                         std::vector<label> labels,
                                         histogram_range range) {
  const std::lock_guard lock(mutex_);
  metric_identity identity{std::move(name), std::move(help), std::move(labels)};
  Check(identity);
  return histograms_.emplace_back(std::move(identity), range).metric;
}

std::vector<metric_view> metric_registry::Views() const {
  const std::lock_guard lock(mutex_);
  std::vector<metric_view> views;
  for (const auto& entry : counters_)
    views.push_back({.identity = &entry.identity, .counted = &entry.metric});
  for (const auto& entry : gauges_)
    views.push_back({.identity = &entry.identity, .gauged = &entry.metric});
  for (const auto& entry : histograms_)
    views.push_back(
        {.identity = &entry.identity, .distribution = &entry.metric});
  std::stable_sort(views.begin(), views.end(),
                   [](const metric_view& left, const metric_view& right) {
                     return left.identity->name < right.identity->name;
                   });
  return views;
}

}  // namespace flamingoshunt::telemetry
