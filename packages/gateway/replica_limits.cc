#include "gateway/replica_limits.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace flamingoshunt::gateway {
namespace {

double Seconds(base::duration length) {
  return std::chrono::duration<double>(length).count();
}

double RateOf(const limit_statement& statement) {
  return std::max(replica_limits::kMinRate,
                  statement.requests_per_second.value_or(0));
}

}  // namespace

double replica_limits::AvailableAt(const limited_replica& of,
                                   base::time_point now) {
  const double rate = RateOf(of.own);
  const double most = std::max(1.0, rate * Seconds(kBurst));
  return std::min(most, of.available + rate * Seconds(now - of.available_at));
}

void replica_limits::Take(limited_replica& of,
                          double requests,
                          base::time_point now) {
  const double largest_debt = -RateOf(of.own) * Seconds(kMaxDebt);
  of.available = std::max(largest_debt, AvailableAt(of, now) - requests);
  of.available_at = now;
}

void replica_limits::SetLimit(limited_replica& of,
                              std::optional<double> requests_per_second,
                              base::time_point named_at,
                              base::time_point now) {
  // What was sent before counts as spent.
  of.available =
      of.own.requests_per_second ? std::min(0.0, AvailableAt(of, now)) : 0;
  of.available_at = now;
  of.own.requests_per_second = requests_per_second;
  of.own.named_at = named_at;
}

bool replica_limits::OnAnswer(const base::instance_id& replica,
                              std::optional<double> requests_per_second,
                              base::time_point now) {
  const auto found = replicas_.find(replica);
  if (found == replicas_.end() && !requests_per_second)
    return false;
  limited_replica& of = replicas_[replica];
  if (of.own.requests_per_second == requests_per_second) {
    of.own.named_at = now;
    return false;
  }
  SetLimit(of, requests_per_second, now, now);
  return true;
}

void replica_limits::ApplyPeer(const base::node_id& peer,
                               const limit_map& statements,
                               base::time_point now) {
  for (const auto& [replica, statement] : statements) {
    const auto found = replicas_.find(replica);
    if (found == replicas_.end() && !statement.requests_per_second)
      continue;
    limited_replica& of = replicas_[replica];
    const bool is_newer = statement.named_at > of.own.named_at;
    if (is_newer && statement.requests_per_second != of.own.requests_per_second)
      SetLimit(of, statement.requests_per_second, statement.named_at, now);
    else if (is_newer)
      of.own.named_at = statement.named_at;
    std::uint64_t& known = of.sent_by_peers[peer];
    // A lower count is that of a node that has started again.
    const std::uint64_t added =
        statement.sent >= known ? statement.sent - known : statement.sent;
    known = statement.sent;
    Take(of, static_cast<double>(added), now);
  }
}

void replica_limits::OnSent(const base::instance_id& replica,
                            base::time_point now) {
  const auto found = replicas_.find(replica);
  if (found == replicas_.end())
    return;
  ++found->second.own.sent;
  Take(found->second, 1, now);
}

std::optional<int> replica_limits::Available(const base::instance_id& replica,
                                             base::time_point now) const {
  const auto found = replicas_.find(replica);
  if (found == replicas_.end() || !found->second.own.requests_per_second)
    return std::nullopt;
  return static_cast<int>(
      std::floor(std::max(0.0, AvailableAt(found->second, now))));
}

std::optional<double> replica_limits::Limit(
    const base::instance_id& replica) const {
  const auto found = replicas_.find(replica);
  if (found == replicas_.end())
    return std::nullopt;
  return found->second.own.requests_per_second;
}

limit_map replica_limits::OwnStatements() const {
  limit_map statements;
  for (const auto& [replica, of] : replicas_)
    statements[replica] = of.own;
  return statements;
}

}  // namespace flamingoshunt::gateway
