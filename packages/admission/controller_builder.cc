// The settings of the controller and their checks.
#include "admission/controller.h"

#include <utility>

namespace flamingoshunt::admission {

namespace {

constexpr double kMaxShortReserve = 0.9;

}  // namespace

controller_builder& controller_builder::Self(routing::location self) {
  settings_.self = std::move(self);
  return *this;
}

controller_builder& controller_builder::Incarnation(std::uint64_t incarnation) {
  settings_.incarnation = incarnation;
  return *this;
}

controller_builder& controller_builder::Policy(routing::policy_kind kind) {
  settings_.policy = kind;
  return *this;
}

controller_builder& controller_builder::Queue(queue_kind kind) {
  settings_.queue = kind;
  return *this;
}

controller_builder& controller_builder::ShortReserve(double fraction) {
  settings_.short_reserve = fraction;
  return *this;
}

controller_builder& controller_builder::ForecastDeadlines(bool enabled) {
  settings_.forecast_deadlines = enabled;
  return *this;
}

controller_builder& controller_builder::AllowPreemption(bool enabled) {
  settings_.allow_preemption = enabled;
  return *this;
}

controller_builder& controller_builder::ProvisionalNodes(std::size_t nodes) {
  settings_.provisional_nodes = nodes;
  return *this;
}

controller_builder& controller_builder::Seed(std::uint64_t seed) {
  settings_.seed = seed;
  return *this;
}

controller controller_builder::Build() const {
  if (settings_.self.node.empty())
    throw settings_error("node: \"\": must not be empty");
  if (settings_.short_reserve < 0 || settings_.short_reserve > kMaxShortReserve)
    throw settings_error(
        "short_reserve: " + base::Describe(settings_.short_reserve) +
        ": must be from 0 to 0.9");
  if (settings_.provisional_nodes == 0)
    throw settings_error("provisional_nodes: 0: must be at least 1");
  return controller(settings_);
}

}  // namespace flamingoshunt::admission
