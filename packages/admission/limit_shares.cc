#include "admission/limit_shares.h"

#include <algorithm>
#include <utility>

#include "base/checked_json.h"

namespace flamingoshunt::admission {

namespace {

constexpr const char* kTopic = "limits";
constexpr const char* kRosterKey = "roster";
/// Nodes to which one node transfers points of one limit under one roster;
/// keeps the published item below the limit of 4 KiB.
constexpr std::size_t kMaxReceivers = 64;
/// Fraction of all points that idle nodes keep together, so that a first
/// request does not wait for a rebalancing.
constexpr double kIdleFraction = 0.03;
/// Smaller changes are not published.
constexpr limit_shares::points kMinChange = limit_shares::kTotalPoints / 500;
constexpr std::int64_t kMaxRevision = std::int64_t{1} << 62;

using points = limit_shares::points;

std::string ItemKey(const std::string& key) {
  return "share " + key;
}

std::optional<std::string> LimitKeyOf(const std::string& item_key) {
  const std::string prefix = ItemKey("");
  if (!item_key.starts_with(prefix))
    return std::nullopt;
  return item_key.substr(prefix.size());
}

points ReadGivenTotal(const boost::json::value* given_totals,
                      const base::node_id& to) {
  if (!given_totals || !given_totals->is_object())
    return 0;
  const auto* total = given_totals->as_object().if_contains(to.str());
  if (!total || !total->is_int64())
    return 0;
  return std::clamp<points>(total->as_int64(), 0,
                            limit_shares::kTotalPoints * 1'000);
}

}  // namespace

limit_shares::limit_shares(base::node_id self, std::uint64_t incarnation)
    : self_(std::move(self)), incarnation_(incarnation) {}

points limit_shares::BaseShare() const {
  if (!is_listed_)
    return 0;
  return kTotalPoints / static_cast<points>(roster_.members.size());
}

void limit_shares::Apply(const limit_roster& roster) {
  if (roster.version <= roster_.version)
    return;
  // The points held under the old roster bound those under the new one until
  // every other member has reduced its own to its base share.
  std::map<std::string, points> held;
  for (const auto& [key, share] : shares_)
    held[key] = HeldPoints(share);
  // The first roster lists the nodes that shared provisionally before, so they
  // carry points over; a node that joins a later roster has none.
  const bool was_listed = is_listed_ || roster_.version == base::revision();
  roster_ = roster;
  const limit_roster::member self{self_, incarnation_};
  is_listed_ = std::find(roster.members.begin(), roster.members.end(), self) !=
               roster.members.end();
  is_settled_ = false;
  roster_published_ = false;
  for (auto& [key, share] : shares_) {
    share.carried_over = was_listed ? std::min(held[key], BaseShare()) : 0;
    share.given_totals.clear();
  }
  UpdateSettled();
}

void limit_shares::UpdateSettled() {
  if (is_settled_ || !is_listed_ || !roster_published_)
    return;
  is_settled_ =
      std::all_of(roster_.members.begin(), roster_.members.end(),
                  [this](const limit_roster::member& member) {
                    if (member.node == self_)
                      return true;
                    const auto it = peer_rosters_.find(member.node);
                    return it != peer_rosters_.end() &&
                           it->second.roster == roster_.version &&
                           it->second.incarnation == member.incarnation;
                  });
}

void limit_shares::SetProvisionalNodes(std::size_t nodes) {
  provisional_nodes_ = std::max<std::size_t>(1, nodes);
}

limit_shares::limit_share& limit_shares::FindOrCreate(const std::string& key) {
  return shares_[key];
}

points limit_shares::HeldPoints(const limit_share& share) const {
  if (roster_.version == base::revision())
    return kTotalPoints / static_cast<points>(provisional_nodes_);
  if (!is_settled_)
    return share.carried_over;
  points held = BaseShare();
  for (const auto& [to, total] : share.given_totals)
    held -= total;
  for (const auto& [from, peer] : share.peers) {
    if (peer.roster == roster_.version)
      held += peer.given_to_self;
  }
  return std::clamp<points>(held, 0, kTotalPoints);
}

points limit_shares::HeldPoints(const std::string& key) const {
  const auto it = shares_.find(key);
  return it == shares_.end() ? HeldPoints(limit_share())
                             : HeldPoints(it->second);
}

void limit_shares::SetDemand(const std::string& key,
                             points demand,
                             points in_use) {
  limit_share& share = FindOrCreate(key);
  share.demand = std::clamp<points>(demand, 0, kTotalPoints);
  share.in_use = std::clamp<points>(in_use, 0, kTotalPoints);
}

void limit_shares::RetainLimits(const std::vector<std::string>& keys) {
  std::erase_if(shares_, [&keys](const auto& entry) {
    return std::find(keys.begin(), keys.end(), entry.first) == keys.end();
  });
  for (const auto& key : keys)
    shares_.try_emplace(key);
}

// Max-min fairness by water filling: every node gets the lesser of its demand
// and the level. Nodes that received the same items compute the same level.
points limit_shares::FairLevel(const limit_share& share) const {
  std::vector<points> demands{share.demand};
  for (const auto& member : roster_.members) {
    const auto it = share.peers.find(member.node);
    if (member.node != self_)
      demands.push_back(it == share.peers.end() ? 0 : it->second.demand);
  }
  std::sort(demands.begin(), demands.end());
  points remaining =
      kTotalPoints - static_cast<points>(kTotalPoints * kIdleFraction);
  auto nodes = static_cast<points>(demands.size());
  for (const points demand : demands) {
    if (demand * nodes >= remaining)
      return remaining / nodes;
    remaining -= demand;
    --nodes;
  }
  return kTotalPoints;
}

void limit_shares::TransferSurplus(limit_share& share) {
  const points level = FairLevel(share);
  const points min_points = static_cast<points>(kTotalPoints * kIdleFraction) /
                            static_cast<points>(roster_.members.size());
  const points surplus =
      HeldPoints(share) -
      std::max({min_points, std::min(share.demand, level), share.in_use});
  if (surplus < kMinChange)
    return;
  // Every node with a surplus transfers the same fraction of it, so that
  // together they don't exceed the total deficit.
  points total_surplus = surplus;
  std::vector<std::pair<base::node_id, points>> deficits;
  points total_deficit = 0;
  for (const auto& [node, peer] : share.peers) {
    if (peer.roster != roster_.version)
      continue;
    const points target = std::max(min_points, std::min(peer.demand, level));
    if (peer.held > target)
      total_surplus += peer.held - target;
    if (target - peer.held < kMinChange)
      continue;
    if (share.given_totals.size() >= kMaxReceivers &&
        !share.given_totals.contains(node))
      continue;
    deficits.emplace_back(node, target - peer.held);
    total_deficit += target - peer.held;
  }
  for (const auto& [node, amount] : deficits) {
    const points transferable = std::min(total_deficit, total_surplus);
    const auto amount_given = static_cast<points>(
        static_cast<double>(amount) / static_cast<double>(total_deficit) *
        static_cast<double>(transferable) * static_cast<double>(surplus) /
        static_cast<double>(total_surplus));
    if (amount_given <= 0)
      continue;
    share.given_totals[node] += amount_given;
    share.peers[node].held +=
        amount_given;  // Until the receiver's item arrives.
  }
}

membership::publish limit_shares::PublishShare(const std::string& key,
                                               limit_share& share) const {
  boost::json::object given_totals;
  for (const auto& [node, total] : share.given_totals)
    given_totals[node.str()] = total;
  share.published_demand = share.demand;
  share.published_held = HeldPoints(share);
  boost::json::object value;
  value["roster"] = static_cast<std::int64_t>(roster_.version.value());
  // Items name the demand "need" and the transferred totals "gave".
  value["need"] = share.demand;
  value["held"] = share.published_held;
  value["gave"] = std::move(given_totals);
  return {kTopic, ItemKey(key), boost::json::serialize(value)};
}

// Publishing the roster lets other nodes use their base shares, so work in
// flight on this node must already fit into its carried-over points.
bool limit_shares::CanAdoptRoster() const {
  return std::all_of(shares_.begin(), shares_.end(), [](const auto& entry) {
    return entry.second.in_use <= entry.second.carried_over;
  });
}

membership::publish limit_shares::PublishRoster() {
  roster_published_ = true;
  boost::json::object value;
  value["roster"] = static_cast<std::int64_t>(roster_.version.value());
  value["incarnation"] = static_cast<std::int64_t>(incarnation_);
  return {kTopic, kRosterKey, boost::json::serialize(value)};
}

std::vector<membership::publish> limit_shares::Rebalance() {
  std::vector<membership::publish> publications;
  if (!is_listed_)
    return publications;
  if (!roster_published_ && CanAdoptRoster())
    publications.push_back(PublishRoster());
  UpdateSettled();
  if (!is_settled_)
    return publications;
  for (auto& [key, share] : shares_) {
    const by_node before = share.given_totals;
    TransferSurplus(share);
    const bool has_changed =
        share.given_totals != before ||
        std::abs(share.demand - share.published_demand) >= kMinChange ||
        std::abs(HeldPoints(share) - share.published_held) >= kMinChange;
    if (has_changed)
      publications.push_back(PublishShare(key, share));
  }
  return publications;
}

void limit_shares::Apply(const membership::item& item) {
  if (item.topic != kTopic || item.origin == self_)
    return;
  if (item.key == kRosterKey)
    ApplyRoster(item);
  else
    ApplyShare(item);
}

void limit_shares::ApplyRoster(const membership::item& item) {
  base::json_problems problems;
  const auto json = base::ParseJson(item.value, problems);
  if (!json)
    return;
  base::object_reader reader(*json, item.key, problems);
  peer_roster received;
  received.roster = base::revision(
      static_cast<std::uint64_t>(reader.Integer("roster", 0, kMaxRevision)));
  received.incarnation = static_cast<std::uint64_t>(
      reader.Integer("incarnation", 0, kMaxRevision));
  received.version = item.version;
  if (!problems.empty())
    return;
  peer_roster& stored = peer_rosters_[item.origin];
  const bool is_older = std::pair(received.incarnation, received.roster) <
                        std::pair(stored.incarnation, stored.roster);
  if (!is_older)
    stored = received;
  UpdateSettled();
}

void limit_shares::ApplyShare(const membership::item& item) {
  const auto key = LimitKeyOf(item.key);
  const auto it = key ? shares_.find(*key) : shares_.end();
  if (it == shares_.end())
    return;
  base::json_problems problems;
  const auto json = base::ParseJson(item.value, problems);
  if (!json)
    return;
  base::object_reader reader(*json, item.key, problems);
  peer_share received;
  received.version = item.version;
  received.roster = base::revision(
      static_cast<std::uint64_t>(reader.Integer("roster", 0, kMaxRevision)));
  received.demand = reader.Integer("need", 0, kTotalPoints);
  received.held = reader.Integer("held", 0, kTotalPoints);
  received.given_to_self = ReadGivenTotal(reader.Child("gave"), self_);
  if (!problems.empty())
    return;
  peer_share& stored = it->second.peers[item.origin];
  if (received.roster < stored.roster)
    return;
  if (received.roster == stored.roster) {
    if (received.version < stored.version)
      return;
    // Totals only rise under one roster; a lower one is outdated.
    received.given_to_self =
        std::max(received.given_to_self, stored.given_to_self);
  }
  stored = received;
}

}  // namespace flamingoshunt::admission
