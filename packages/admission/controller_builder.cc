// The checks of the settings.
#include "admission/controller.h"

#include <utility>

namespace flamingoshunt::admission {

namespace {

constexpr double kMostShortReserve = 0.9;

}  // namespace

machine_builder& machine_builder::Self(routing::location self) {
  settings_.self = std::move(self);
  return *this;
}

machine_builder& machine_builder::Incarnation(std::uint64_t incarnation) {
  settings_.incarnation = incarnation;
  return *this;
}

machine_builder& machine_builder::Policy(routing::policy_kind kind) {
  settings_.policy = kind;
  return *this;
}

machine_builder& machine_builder::Queue(queue_kind kind) {
  settings_.queue = kind;
  return *this;
}

machine_builder& machine_builder::ShortReserve(double part) {
  settings_.short_reserve = part;
  return *this;
}

machine_builder& machine_builder::Forecasts(bool enabled) {
  settings_.forecasts = enabled;
  return *this;
}

machine_builder& machine_builder::Preempts(bool enabled) {
  settings_.preempts = enabled;
  return *this;
}

machine_builder& machine_builder::ProvisionalNodes(std::size_t nodes) {
  settings_.provisional_nodes = nodes;
  return *this;
}

machine_builder& machine_builder::Seed(std::uint64_t seed) {
  settings_.seed = seed;
  return *this;
}

machine machine_builder::Build() const {
  if (settings_.self.node.empty())
    throw settings_error("node: \"\": must not be empty");
  if (settings_.short_reserve < 0 ||
      settings_.short_reserve > kMostShortReserve)
    throw settings_error(
        "short_reserve: " + base::Describe(settings_.short_reserve) +
        ": must be from 0 to 0.9");
  if (settings_.provisional_nodes == 0)
    throw settings_error("provisional_nodes: 0: must be at least 1");
  return machine(settings_);
}

}  // namespace flamingoshunt::admission
