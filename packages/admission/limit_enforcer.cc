#include "admission/limit_enforcer.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace flamingoshunt::admission {

namespace {

/// Factor on the measured demand, so that a node's traffic can grow.
constexpr double kDemandMargin = 1.25;
/// Weight of the newest interval when demand falls; a rise applies at once.
constexpr double kFallingDemandGain = 0.3;

bool HasAnyLimit(const catalogue::limits& limit) {
  return limit != catalogue::limits();
}

std::string KeyOf(const base::entry_name& entry) {
  return "entry " + entry.str();
}

std::string KeyOf(const base::workspace_id& workspace) {
  return "workspace " + workspace.str();
}

double Fraction(limit_shares::points held) {
  return static_cast<double>(held) / limit_shares::kTotalPoints;
}

}  // namespace

limit_enforcer::limit_enforcer(base::node_id self, std::uint64_t incarnation)
    : shares_(std::move(self), incarnation) {}

void limit_enforcer::AddLimit(std::map<std::string, limit_state>& limits,
                              const std::string& key,
                              const catalogue::limits& limit) {
  if (!HasAnyLimit(limit))
    return;
  auto existing = limits_.extract(key);
  limit_state& state = limits[key];
  if (!existing.empty())
    state = std::move(existing.mapped());
  state.key = key;
  state.limit = limit;
}

void limit_enforcer::Apply(const catalogue::snapshot& snapshot,
                           base::time_point now) {
  std::map<std::string, limit_state> limits;
  for (const auto& [name, entry] : snapshot.entries)
    AddLimit(limits, KeyOf(name), entry.limit);
  for (const auto& [id, workspace] : snapshot.workspaces)
    AddLimit(limits, KeyOf(id), workspace.limit);
  limits_ = std::move(limits);
  std::vector<std::string> keys;
  for (const auto& [key, state] : limits_)
    keys.push_back(key);
  shares_.RetainLimits(keys);
  for (auto& [key, state] : limits_)
    SetRates(state, now);
}

limit_enforcer::limit_pair limit_enforcer::LimitsOf(
    const routing::request_shape& shape) {
  const auto find = [this](const std::string& key) -> limit_state* {
    const auto it = limits_.find(key);
    return it == limits_.end() ? nullptr : &it->second;
  };
  if (limits_.empty())
    return {nullptr, nullptr};
  return {find(KeyOf(shape.entry)), find(KeyOf(shape.workspace))};
}

void limit_enforcer::SetRates(limit_state& state, base::time_point now) {
  const double fraction = Fraction(shares_.HeldPoints(state.key));
  state.requests.SetRate(state.limit.requests_per_second * fraction, now);
  state.tokens.SetRate(state.limit.tokens_per_second * fraction, now);
}

std::optional<base::duration> limit_enforcer::Admit(
    const routing::request_shape& shape,
    double cost,
    base::time_point now) {
  const limit_pair limits = LimitsOf(shape);
  std::vector<std::pair<token_bucket*, double>> taken;
  for (limit_state* state : limits) {
    if (!state)
      continue;
    state->offered_requests += 1;
    state->offered_tokens += cost;
    SetRates(*state, now);
  }
  for (limit_state* state : limits) {
    if (!state)
      continue;
    const std::array<std::pair<token_bucket*, double>, 2> rates{{
        {state->limit.requests_per_second > 0 ? &state->requests : nullptr,
         1.0},
        {state->limit.tokens_per_second > 0 ? &state->tokens : nullptr, cost},
    }};
    for (const auto& [bucket, amount] : rates) {
      if (!bucket)
        continue;
      if (bucket->TryConsume(amount, now)) {
        taken.emplace_back(bucket, amount);
        continue;
      }
      for (const auto& [other, refund] : taken)
        other->Adjust(refund);
      return bucket->NextRetryAfter(amount, now);
    }
  }
  return std::nullopt;
}

int limit_enforcer::ConcurrencySlots(const limit_state& state) const {
  // Tolerates the rounding of points: a third of a limit of 3 is 999,999
  // millionths of a slot.
  constexpr double kRounding = 1e-4;
  return static_cast<int>(std::floor(
      state.limit.concurrency * Fraction(shares_.HeldPoints(state.key)) +
      kRounding));
}

bool limit_enforcer::CanStart(const routing::request_shape& shape) {
  const limit_pair limits = LimitsOf(shape);
  return std::all_of(limits.begin(), limits.end(),
                     [this](const limit_state* state) {
                       return !state || state->limit.concurrency == 0 ||
                              state->running < ConcurrencySlots(*state);
                     });
}

bool limit_enforcer::TryStart(const routing::request_shape& shape) {
  if (!CanStart(shape))
    return false;
  for (limit_state* state : LimitsOf(shape)) {
    if (state)
      ++state->running;
  }
  return true;
}

void limit_enforcer::RecordFinished(const routing::request_shape& shape,
                                    double unused) {
  for (limit_state* state : LimitsOf(shape)) {
    if (!state)
      continue;
    state->running = std::max(0, state->running - 1);
    state->tokens.Adjust(unused);
  }
}

void limit_enforcer::RefundUnstarted(const routing::request_shape& shape,
                                     double cost) {
  for (limit_state* state : LimitsOf(shape)) {
    if (!state)
      continue;
    state->requests.Adjust(1);
    state->tokens.Adjust(cost);
  }
}

void limit_enforcer::AdjustWaiting(const routing::request_shape& shape,
                                   int change) {
  for (limit_state* state : LimitsOf(shape)) {
    if (state)
      state->waiting = std::max(0, state->waiting + change);
  }
}

double limit_enforcer::UpdateDemand(limit_state& state, double seconds) const {
  double demand = 0;
  const auto raise = [&demand](double offered, double limit) {
    if (limit > 0)
      demand = std::max(demand, offered / limit);
  };
  raise(state.offered_requests / seconds, state.limit.requests_per_second);
  raise(state.offered_tokens / seconds, state.limit.tokens_per_second);
  raise(state.running + state.waiting, state.limit.concurrency);
  state.offered_requests = 0;
  state.offered_tokens = 0;
  demand *= kDemandMargin;
  state.demand =
      demand > state.demand
          ? demand
          : state.demand + kFallingDemandGain * (demand - state.demand);
  return state.demand;
}

std::vector<membership::publish> limit_enforcer::Rebalance(
    base::duration interval,
    base::time_point now) {
  const double seconds = std::chrono::duration<double>(interval).count();
  for (auto& [key, state] : limits_) {
    const double demand = std::min(1.0, UpdateDemand(state, seconds));
    const double in_use =
        state.limit.concurrency > 0
            ? static_cast<double>(state.running) / state.limit.concurrency
            : 0;
    shares_.SetDemand(key,
                      static_cast<limit_shares::points>(
                          std::ceil(demand * limit_shares::kTotalPoints)),
                      static_cast<limit_shares::points>(
                          std::floor(in_use * limit_shares::kTotalPoints)));
  }
  auto publications = shares_.Rebalance();
  for (auto& [key, state] : limits_)
    SetRates(state, now);
  return publications;
}

}  // namespace flamingoshunt::admission
