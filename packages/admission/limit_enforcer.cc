#include "admission/limit_enforcer.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace flamingoshunt::admission {

namespace {

/// A node asks for this much more than it measured, to have room to grow.
constexpr double kNeedMargin = 1.25;
/// Weight of the newest interval where demand falls; a rise counts at once.
constexpr double kFallGain = 0.3;

bool HasAny(const catalogue::limits& limit) {
  return limit != catalogue::limits();
}

std::string KeyOf(const base::entry_name& entry) {
  return "entry " + entry.str();
}

std::string KeyOf(const base::workspace_id& workspace) {
  return "workspace " + workspace.str();
}

double Part(limit_shares::points held) {
  return static_cast<double>(held) / limit_shares::kWhole;
}

}  // namespace

limit_gate::limit_gate(base::node_id self, std::uint64_t incarnation)
    : shares_(std::move(self), incarnation) {}

void limit_gate::Guard(std::map<std::string, guarded>& all,
                       const std::string& key,
                       const catalogue::limits& limit) {
  if (!HasAny(limit))
    return;
  auto known = guarded_.extract(key);
  guarded& each = all[key];
  if (!known.empty())
    each = std::move(known.mapped());
  each.key = key;
  each.limit = limit;
}

void limit_gate::Apply(const catalogue::snapshot& snapshot,
                       base::time_point now) {
  std::map<std::string, guarded> all;
  for (const auto& [name, entry] : snapshot.entries)
    Guard(all, KeyOf(name), entry.limit);
  for (const auto& [id, workspace] : snapshot.workspaces)
    Guard(all, KeyOf(id), workspace.limit);
  guarded_ = std::move(all);
  std::vector<std::string> keys;
  for (const auto& [key, each] : guarded_)
    keys.push_back(key);
  shares_.Keep(keys);
  for (auto& [key, each] : guarded_)
    SetRates(each, now);
}

limit_gate::pair limit_gate::Of(const routing::request_shape& shape) {
  const auto find = [this](const std::string& key) -> guarded* {
    const auto found = guarded_.find(key);
    return found == guarded_.end() ? nullptr : &found->second;
  };
  if (guarded_.empty())
    return {nullptr, nullptr};
  return {find(KeyOf(shape.entry)), find(KeyOf(shape.workspace))};
}

void limit_gate::SetRates(guarded& each, base::time_point now) {
  const double part = Part(shares_.Held(each.key));
  each.requests.SetRate(each.limit.requests_per_second * part, now);
  each.tokens.SetRate(each.limit.tokens_per_second * part, now);
}

std::optional<base::duration> limit_gate::Admit(
    const routing::request_shape& shape,
    double cost,
    base::time_point now) {
  const pair both = Of(shape);
  std::vector<std::pair<token_bucket*, double>> taken;
  for (guarded* each : both) {
    if (!each)
      continue;
    each->asked_requests += 1;
    each->asked_tokens += cost;
    SetRates(*each, now);
  }
  for (guarded* each : both) {
    if (!each)
      continue;
    const std::array<std::pair<token_bucket*, double>, 2> rates{{
        {each->limit.requests_per_second > 0 ? &each->requests : nullptr, 1.0},
        {each->limit.tokens_per_second > 0 ? &each->tokens : nullptr, cost},
    }};
    for (const auto& [bucket, amount] : rates) {
      if (!bucket)
        continue;
      if (bucket->Take(amount, now)) {
        taken.emplace_back(bucket, amount);
        continue;
      }
      for (const auto& [other, back] : taken)
        other->Correct(back);
      return bucket->Promise(amount, now);
    }
  }
  return std::nullopt;
}

int limit_gate::Places(const guarded& each) const {
  // Half a point of slack: a third of 3 is 999,999 millionths of 1.
  constexpr double kRounding = 1e-4;
  return static_cast<int>(std::floor(
      each.limit.concurrency * Part(shares_.Held(each.key)) + kRounding));
}

bool limit_gate::MayStart(const routing::request_shape& shape) {
  const pair both = Of(shape);
  return std::all_of(both.begin(), both.end(), [this](const guarded* each) {
    return !each || each->limit.concurrency == 0 ||
           each->running < Places(*each);
  });
}

bool limit_gate::TryStart(const routing::request_shape& shape) {
  if (!MayStart(shape))
    return false;
  for (guarded* each : Of(shape)) {
    if (each)
      ++each->running;
  }
  return true;
}

void limit_gate::Finished(const routing::request_shape& shape, double unused) {
  for (guarded* each : Of(shape)) {
    if (!each)
      continue;
    each->running = std::max(0, each->running - 1);
    each->tokens.Correct(unused);
  }
}

void limit_gate::Dropped(const routing::request_shape& shape, double cost) {
  for (guarded* each : Of(shape)) {
    if (!each)
      continue;
    each->requests.Correct(1);
    each->tokens.Correct(cost);
  }
}

void limit_gate::Waits(const routing::request_shape& shape, int change) {
  for (guarded* each : Of(shape)) {
    if (each)
      each->waiting = std::max(0, each->waiting + change);
  }
}

double limit_gate::Demand(guarded& each, double seconds) const {
  double need = 0;
  const auto add = [&need](double asked, double limit) {
    if (limit > 0)
      need = std::max(need, asked / limit);
  };
  add(each.asked_requests / seconds, each.limit.requests_per_second);
  add(each.asked_tokens / seconds, each.limit.tokens_per_second);
  add(each.running + each.waiting, each.limit.concurrency);
  each.asked_requests = 0;
  each.asked_tokens = 0;
  need *= kNeedMargin;
  each.need =
      need > each.need ? need : each.need + kFallGain * (need - each.need);
  return each.need;
}

std::vector<membership::publish> limit_gate::Exchange(base::duration interval,
                                                      base::time_point now) {
  const double seconds = std::chrono::duration<double>(interval).count();
  for (auto& [key, each] : guarded_) {
    const double need = std::min(1.0, Demand(each, seconds));
    const double in_use =
        each.limit.concurrency > 0
            ? static_cast<double>(each.running) / each.limit.concurrency
            : 0;
    shares_.Need(key,
                 static_cast<limit_shares::points>(
                     std::ceil(need * limit_shares::kWhole)),
                 static_cast<limit_shares::points>(
                     std::floor(in_use * limit_shares::kWhole)));
  }
  auto news = shares_.Exchange();
  for (auto& [key, each] : guarded_)
    SetRates(each, now);
  return news;
}

}  // namespace flamingoshunt::admission
