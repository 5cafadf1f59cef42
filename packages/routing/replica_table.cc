#include "routing/replica_table.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "base/hash.h"

namespace flamingoshunt::routing {

namespace {

/// Nodes of one region that share a part of its replicas.
constexpr std::size_t kNodesPerGroup = 16;
/// Up to this many replicas, every node of the region sends to all of them.
constexpr std::size_t kUndividedReplicas = 128;
/// Own starts and ends kept per replica; older ones are taken as reported.
constexpr std::size_t kMaxChanges = 128;
/// A report older than this on arrival says little of the load now.
constexpr base::duration kFreshReport = std::chrono::seconds(1);
/// How far the free slots of an idle replica are promised more than once.
constexpr double kIdlePromise = 2.0;

/// Deals @p amount to the nodes so that the parts add up to it, rounded: the
/// node of rank r takes what falls between the marks r and r + 1 of a scale
/// shifted by @p seed, so that nobody wins every time.
///
///   amount 2, 4 nodes, shift 0: 0 1 0 1
int PartOf(double amount, const contention& among, std::uint64_t seed) {
  const auto nodes = static_cast<double>(among.nodes);
  const auto rank =
      static_cast<double>((among.rank + seed % among.nodes) % among.nodes);
  const double shift = static_cast<double>((seed >> 32) % 1024) / 1024.0;
  const double from = std::floor(rank * amount / nodes + shift);
  const double to = std::floor((rank + 1) * amount / nodes + shift);
  return static_cast<int>(to - from);
}

contention Position(const std::vector<base::node_id>& sorted,
                    const base::node_id& self) {
  const auto at = std::lower_bound(sorted.begin(), sorted.end(), self);
  return {static_cast<std::size_t>(at - sorted.begin()), sorted.size()};
}

}  // namespace

int replica_view::Outstanding() const {
  return std::max(own_running, reported + own_running - own_at_report);
}

double replica_view::Load() const {
  return static_cast<double>(Outstanding()) / std::max(1, serving.slots);
}

table::table(location self) : self_(std::move(self)) {}

void table::Apply(const replica::serving_changed& changed) {
  const auto& serving = changed.replica;
  const auto found = by_id_.find(serving.replica);
  const bool known = found != by_id_.end();
  if (known && views_[found->second].serving.epoch > serving.epoch)
    return;
  if (serving.state == replica::serving_state::kGone) {
    if (known)
      Remove(found->second);
    return;
  }
  if (known && views_[found->second].serving.epoch == serving.epoch &&
      views_[found->second].serving.entry == serving.entry) {
    views_[found->second].serving = serving;
  } else {
    if (known)
      Remove(found->second);
    Add(serving);
  }
  groups_[serving.entry].stale = true;
}

table::index table::Add(const replica::serving_replica& serving) {
  index at = 0;
  if (free_.empty()) {
    at = static_cast<index>(views_.size());
    views_.emplace_back();
  } else {
    at = free_.back();
    free_.pop_back();
  }
  replica_view& view = views_[at];
  view = replica_view();
  view.serving = serving;
  by_id_[serving.replica] = at;
  for (const auto& member : serving.members)
    by_member_[member] = at;
  groups_[serving.entry].members.push_back(at);
  Deal(view);
  return at;
}

void table::Remove(index at) {
  replica_view& view = views_[at];
  group& of = groups_[view.serving.entry];
  std::erase(of.members, at);
  of.stale = true;
  for (const auto& member : view.serving.members) {
    const auto found = by_member_.find(member);
    if (found != by_member_.end() && found->second == at)
      by_member_.erase(found);
  }
  by_id_.erase(view.serving.replica);
  view = replica_view();
  free_.push_back(at);
}

void table::Apply(const endpoint::report& report, base::time_point now) {
  const auto at = Find(report.replica);
  if (!at)
    return;
  replica_view& view = views_[*at];
  const bool is_front = !view.serving.members.empty() &&
                        view.serving.members.front() == report.instance;
  if (!is_front || report.epoch != view.serving.epoch ||
      report.sequence <= view.report_sequence)
    return;
  view.report_sequence = report.sequence;
  view.measured_at = now - report.age;
  view.is_late = report.age > kFreshReport;
  view.reported = report.load.running + report.load.queued;
  view.own_at_report = view.own_running;
  for (const auto& change : view.changes_) {
    if (change.when > view.measured_at)
      view.own_at_report -= change.delta;
  }
  view.own_at_report = std::max(0, view.own_at_report);
  Deal(view);
}

// A node may have in flight what it had when the report was measured, plus its
// part of what was free then, less its part of what was too much; and always
// its part of the slots as such, so that old reports can't starve it.
void table::Deal(replica_view& view) {
  const int slots = std::max(1, view.serving.slots);
  const contention& among = ContentionFor(view);
  const std::uint64_t lasting = base::Hash64(view.serving.replica.str());
  const std::uint64_t passing =
      base::Hash64(view.serving.replica.str(), view.report_sequence);
  const double free = slots - view.reported;
  const double idle = std::max(0.0, free / slots);
  const double promised = free * (1 + kIdlePromise * idle * idle);
  const int changed = view.own_at_report + PartOf(promised, among, passing);
  const int floor = view.is_late ? PartOf(slots, among, lasting) : 0;
  view.allowance = std::clamp(changed, floor, slots);
}

void table::Apply(const membership::peers_changed& changed) {
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
  global_ = Position(everywhere, self_.node);
  regional_ = Position(nearby, self_.node);
  region_groups_ = std::max<std::size_t>(1, nearby.size() / kNodesPerGroup);
  own_group_ = regional_.rank % region_groups_;
  const std::size_t rest = nearby.size() % region_groups_;
  grouped_ = {regional_.rank / region_groups_,
              nearby.size() / region_groups_ + (own_group_ < rest ? 1 : 0)};
  MarkAllStale();
  for (const auto& [id, at] : by_id_)
    Deal(views_[at]);
}

void table::MarkAllStale() {
  for (auto& [entry, group] : groups_)
    group.stale = true;
}

bool table::IsInRegion(const replica_view& view) const {
  return view.serving.region == self_.region;
}

const contention& table::ContentionFor(const replica_view& view) const {
  if (!IsInRegion(view))
    return global_;
  const auto found = groups_.find(view.serving.entry);
  const bool divided = found != groups_.end() && found->second.divided;
  return divided ? grouped_ : regional_;
}

bool table::InOwnGroup(const replica_view& view) const {
  return base::Hash64(view.serving.replica.str()) % region_groups_ ==
         own_group_;
}

const std::vector<table::index>& table::Subset(const base::entry_name& entry) {
  group& of = groups_[entry];
  if (!of.stale)
    return of.subset;
  of.stale = false;
  of.subset.clear();
  std::vector<index> nearby;
  std::vector<index> remote;
  for (const index at : of.members) {
    if (views_[at].Serves())
      (IsInRegion(views_[at]) ? nearby : remote).push_back(at);
  }
  of.divided = region_groups_ > 1 && nearby.size() > kUndividedReplicas;
  if (of.divided) {
    std::copy_if(nearby.begin(), nearby.end(), std::back_inserter(of.subset),
                 [this](index at) { return InOwnGroup(views_[at]); });
  }
  if (of.subset.empty()) {
    of.divided = false;
    of.subset = nearby.empty() ? remote : nearby;
  }
  return of.subset;
}

void table::Record(replica_view& view, int delta, base::time_point now) {
  view.own_running = std::max(0, view.own_running + delta);
  view.changes_.push_back({now, delta});
  if (view.changes_.size() > kMaxChanges)
    view.changes_.pop_front();
}

void table::Started(index at, bool is_long, base::time_point now) {
  replica_view& view = views_[at];
  Record(view, 1, now);
  if (is_long)
    ++view.own_long;
}

void table::Finished(index at, bool is_long, base::time_point now) {
  replica_view& view = views_[at];
  Record(view, -1, now);
  if (is_long)
    view.own_long = std::max(0, view.own_long - 1);
}

std::optional<table::index> table::Find(const base::replica_id& replica) const {
  const auto found = by_id_.find(replica);
  if (found == by_id_.end())
    return std::nullopt;
  return found->second;
}

std::optional<table::index> table::FindMember(
    const base::instance_id& instance) const {
  const auto found = by_member_.find(instance);
  if (found == by_member_.end())
    return std::nullopt;
  return found->second;
}

}  // namespace flamingoshunt::routing
