#include "replica/settings.h"

#include <string>

namespace flamingoshunt::replica {
namespace {

constexpr int kMaxWeightSlots = 100'000;

std::string FormatMilliseconds(base::duration value) {
  using std::chrono::milliseconds;
  return std::to_string(
             std::chrono::duration_cast<milliseconds>(value).count()) +
         " ms";
}

void RequireSetting(bool is_valid, const std::string& text) {
  if (!is_valid)
    throw settings_error(text);
}

}  // namespace

settings_builder& settings_builder::WithReportPeriod(base::duration period) {
  settings_.report_period = period;
  return *this;
}

settings_builder& settings_builder::WithFreshness(base::duration freshness) {
  settings_.freshness = freshness;
  return *this;
}

settings_builder& settings_builder::WithLossTimeout(base::duration timeout) {
  settings_.loss_timeout = timeout;
  return *this;
}

settings_builder& settings_builder::WithWeightSlots(int slots) {
  settings_.weight_slots = slots;
  return *this;
}

settings_builder& settings_builder::WithMaxUnavailable(int replicas) {
  settings_.max_unavailable = replicas;
  return *this;
}

settings_builder& settings_builder::WithSurplusReplicas(int replicas) {
  settings_.surplus_replicas = replicas;
  return *this;
}

settings settings_builder::Build() const {
  RequireSetting(
      settings_.report_period > base::duration::zero(),
      "report period: " + FormatMilliseconds(settings_.report_period) +
          ": must be positive");
  RequireSetting(settings_.freshness > settings_.report_period,
                 "freshness: " + FormatMilliseconds(settings_.freshness) +
                     ": must exceed the report period");
  RequireSetting(settings_.loss_timeout > settings_.freshness,
                 "lost after: " + FormatMilliseconds(settings_.loss_timeout) +
                     ": must exceed the freshness");
  RequireSetting(
      settings_.weight_slots > 0 && settings_.weight_slots <= kMaxWeightSlots,
      "weight slots: " + std::to_string(settings_.weight_slots) +
          ": must be from 1 to " + std::to_string(kMaxWeightSlots));
  RequireSetting(
      settings_.max_unavailable > 0,
      "max unavailable: " + std::to_string(settings_.max_unavailable) +
          ": must be at least 1");
  RequireSetting(
      settings_.surplus_replicas >= 0,
      "surplus replicas: " + std::to_string(settings_.surplus_replicas) +
          ": must not be negative");
  return settings_;
}

}  // namespace flamingoshunt::replica
