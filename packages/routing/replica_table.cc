#include "routing/replica_table.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "base/hash.h"

namespace flamingoshunt::routing {

namespace {

/// Nodes of one region that send to the same part of its replicas.
constexpr std::size_t kNodesPerGroup = 16;
/// Up to this many replicas, every node of the region sends to all of them.
constexpr std::size_t kMaxUndividedReplicas = 128;
/// Starts and ends stored per replica; older ones are assumed to be reported.
constexpr std::size_t kMaxChanges = 128;
/// A report older than this on arrival no longer describes the current load.
constexpr base::duration kMaxReportAge = std::chrono::seconds(1);
/// Degree to which the free slots of an idle replica are allotted to several
/// nodes.
constexpr double kIdleOvercommit = 2.0;

/// Divides @p amount between the nodes so that the integer shares add up to it,
/// rounded: the node of rank r gets the integers between r and r + 1 on a scale
/// of amount / nodes. @p seed shifts ranks and scale, so that no node is
/// favoured every time.
///
///   amount 2, 4 nodes, shift 0: 0 1 0 1
int ShareOf(double amount, const node_position& senders, std::uint64_t seed) {
  const auto nodes = static_cast<double>(senders.nodes);
  const auto rank = static_cast<double>((senders.rank + seed % senders.nodes) %
                                        senders.nodes);
  const double shift = static_cast<double>((seed >> 32) % 1024) / 1024.0;
  const double from = std::floor(rank * amount / nodes + shift);
  const double to = std::floor((rank + 1) * amount / nodes + shift);
  return static_cast<int>(to - from);
}

node_position PositionOf(const std::vector<base::node_id>& sorted,
                         const base::node_id& self) {
  const auto position = std::lower_bound(sorted.begin(), sorted.end(), self);
  return {static_cast<std::size_t>(position - sorted.begin()), sorted.size()};
}

}  // namespace

int replica_view::Outstanding() const {
  return std::max(own_running, reported + own_running - own_running_at_report);
}

double replica_view::Load() const {
  return static_cast<double>(Outstanding()) / std::max(1, serving.slots);
}

replica_table::replica_table(location self) : self_(std::move(self)) {}

void replica_table::Apply(const replica::serving_changed& changed) {
  const auto& serving = changed.replica;
  const auto it = by_id_.find(serving.replica);
  const bool is_known = it != by_id_.end();
  if (is_known && views_[it->second].serving.epoch > serving.epoch)
    return;
  if (serving.state == replica::serving_state::kGone) {
    if (is_known)
      Remove(it->second);
    return;
  }
  if (is_known && views_[it->second].serving.epoch == serving.epoch &&
      views_[it->second].serving.entry == serving.entry) {
    views_[it->second].serving = serving;
  } else {
    if (is_known)
      Remove(it->second);
    Add(serving);
  }
  replicas_by_entry_[serving.entry].is_stale = true;
}

replica_table::index replica_table::Add(
    const replica::serving_replica& serving) {
  index position = 0;
  if (free_.empty()) {
    position = static_cast<index>(views_.size());
    views_.emplace_back();
  } else {
    position = free_.back();
    free_.pop_back();
  }
  replica_view& view = views_[position];
  view = replica_view();
  view.serving = serving;
  by_id_[serving.replica] = position;
  for (const auto& member : serving.members)
    by_member_[member] = position;
  replicas_by_entry_[serving.entry].members.push_back(position);
  UpdateAllowance(view);
  return position;
}

void replica_table::Remove(index position) {
  replica_view& view = views_[position];
  entry_replicas& replicas = replicas_by_entry_[view.serving.entry];
  std::erase(replicas.members, position);
  replicas.is_stale = true;
  for (const auto& member : view.serving.members) {
    const auto it = by_member_.find(member);
    if (it != by_member_.end() && it->second == position)
      by_member_.erase(it);
  }
  by_id_.erase(view.serving.replica);
  view = replica_view();
  free_.push_back(position);
}

void replica_table::Apply(const endpoint::report& report,
                          base::time_point now) {
  const auto position = Find(report.replica);
  if (!position)
    return;
  replica_view& view = views_[*position];
  const bool is_front = !view.serving.members.empty() &&
                        view.serving.members.front() == report.instance;
  if (!is_front || report.epoch != view.serving.epoch ||
      report.sequence <= view.report_sequence)
    return;
  view.report_sequence = report.sequence;
  view.measured_at = now - report.age;
  view.is_report_stale = report.age > kMaxReportAge;
  view.reported = report.load.running + report.load.queued;
  view.own_running_at_report = view.own_running;
  for (const auto& change : view.changes_) {
    if (change.when > view.measured_at)
      view.own_running_at_report -= change.delta;
  }
  view.own_running_at_report = std::max(0, view.own_running_at_report);
  UpdateAllowance(view);
}

// A node may have in flight what it had when the report was measured, plus its
// share of the slots free then, or less its share of the overload. When reports
// are late, the minimum is its share of all slots, so that old reports cannot
// block it.
void replica_table::UpdateAllowance(replica_view& view) {
  const int slots = std::max(1, view.serving.slots);
  const node_position& senders = PositionAmongSenders(view);
  const std::uint64_t stable_seed = base::Hash64(view.serving.replica.str());
  const std::uint64_t rotating_seed =
      base::Hash64(view.serving.replica.str(), view.report_sequence);
  const double free = slots - view.reported;
  const double idle = std::max(0.0, free / slots);
  const double offered = free * (1 + kIdleOvercommit * idle * idle);
  const int target =
      view.own_running_at_report + ShareOf(offered, senders, rotating_seed);
  const int minimum =
      view.is_report_stale ? ShareOf(slots, senders, stable_seed) : 0;
  view.allowance = std::clamp(target, minimum, slots);
}

void replica_table::Apply(const membership::peers_changed& changed) {
  std::vector<base::node_id> everywhere{self_.node};
  std::vector<base::node_id> nearby{self_.node};
  for (const auto& peer : changed.peers) {
    if (peer.state != membership::peer_state::kAlive &&
        peer.state != membership::peer_state::kSuspect)
      continue;
    everywhere.push_back(peer.id);
    if (peer.region == self_.region)
      nearby.push_back(peer.id);
  }
  std::sort(everywhere.begin(), everywhere.end());
  std::sort(nearby.begin(), nearby.end());
  global_ = PositionOf(everywhere, self_.node);
  regional_ = PositionOf(nearby, self_.node);
  region_groups_ = std::max<std::size_t>(1, nearby.size() / kNodesPerGroup);
  own_group_ = regional_.rank % region_groups_;
  const std::size_t remainder = nearby.size() % region_groups_;
  in_group_ = {
      regional_.rank / region_groups_,
      nearby.size() / region_groups_ + (own_group_ < remainder ? 1 : 0)};
  InvalidateSubsets();
  for (const auto& [id, position] : by_id_)
    UpdateAllowance(views_[position]);
}

void replica_table::InvalidateSubsets() {
  for (auto& [entry, replicas] : replicas_by_entry_)
    replicas.is_stale = true;
}

bool replica_table::IsInRegion(const replica_view& view) const {
  return view.serving.region == self_.region;
}

const node_position& replica_table::PositionAmongSenders(
    const replica_view& view) const {
  if (!IsInRegion(view))
    return global_;
  const auto it = replicas_by_entry_.find(view.serving.entry);
  const bool is_divided =
      it != replicas_by_entry_.end() && it->second.is_divided;
  return is_divided ? in_group_ : regional_;
}

bool replica_table::IsInOwnGroup(const replica_view& view) const {
  return base::Hash64(view.serving.replica.str()) % region_groups_ ==
         own_group_;
}

const std::vector<replica_table::index>& replica_table::Subset(
    const base::entry_name& entry) {
  entry_replicas& replicas = replicas_by_entry_[entry];
  if (!replicas.is_stale)
    return replicas.subset;
  replicas.is_stale = false;
  replicas.subset.clear();
  std::vector<index> nearby;
  std::vector<index> remote;
  for (const index position : replicas.members) {
    if (views_[position].IsServing())
      (IsInRegion(views_[position]) ? nearby : remote).push_back(position);
  }
  replicas.is_divided =
      region_groups_ > 1 && nearby.size() > kMaxUndividedReplicas;
  if (replicas.is_divided) {
    std::copy_if(
        nearby.begin(), nearby.end(), std::back_inserter(replicas.subset),
        [this](index position) { return IsInOwnGroup(views_[position]); });
  }
  if (replicas.subset.empty()) {
    replicas.is_divided = false;
    replicas.subset = nearby.empty() ? remote : nearby;
  }
  return replicas.subset;
}

void replica_table::RecordChange(replica_view& view,
                                 int delta,
                                 base::time_point now) {
  view.own_running = std::max(0, view.own_running + delta);
  view.changes_.push_back({now, delta});
  if (view.changes_.size() > kMaxChanges)
    view.changes_.pop_front();
}

void replica_table::RecordStart(index position,
                                bool is_long,
                                base::time_point now) {
  replica_view& view = views_[position];
  RecordChange(view, 1, now);
  if (is_long)
    ++view.own_long;
}

void replica_table::RecordEnd(index position,
                              bool is_long,
                              base::time_point now) {
  replica_view& view = views_[position];
  RecordChange(view, -1, now);
  if (is_long)
    view.own_long = std::max(0, view.own_long - 1);
}

std::optional<replica_table::index> replica_table::Find(
    const base::replica_id& replica) const {
  const auto it = by_id_.find(replica);
  if (it == by_id_.end())
    return std::nullopt;
  return it->second;
}

std::optional<replica_table::index> replica_table::FindMember(
    const base::instance_id& instance) const {
  const auto it = by_member_.find(instance);
  if (it == by_member_.end())
    return std::nullopt;
  return it->second;
}

}  // namespace flamingoshunt::routing
