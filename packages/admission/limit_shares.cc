#include "admission/limit_shares.h"

#include <algorithm>
#include <utility>

#include "base/checked_json.h"

namespace flamingoshunt::admission {

namespace {

constexpr const char* kTopic = "limits";
constexpr const char* kRosterKey = "roster";
/// Nodes that one node gives points of one limit to, under one roster; keeps
/// the published item below the 4 KiB that an item may have.
constexpr std::size_t kMaxReceivers = 64;
/// Part of the whole that idle nodes keep together, so that a first request
/// need not wait for an exchange.
constexpr double kIdlePart = 0.03;
/// Changes below this are not published.
constexpr limit_shares::points kLeastChange = limit_shares::kWhole / 500;
constexpr std::int64_t kMaxRevision = std::int64_t{1} << 62;

using points = limit_shares::points;

std::string ItemKey(const std::string& key) {
  return "share " + key;
}

std::optional<std::string> LimitOf(const std::string& item_key) {
  const std::string prefix = ItemKey("");
  if (!item_key.starts_with(prefix))
    return std::nullopt;
  return item_key.substr(prefix.size());
}

points ReadGift(const boost::json::value* gave, const base::node_id& to) {
  if (!gave || !gave->is_object())
    return 0;
  const auto* total = gave->as_object().if_contains(to.str());
  if (!total || !total->is_int64())
    return 0;
  return std::clamp<points>(total->as_int64(), 0, limit_shares::kWhole * 1'000);
}

}  // namespace

limit_shares::limit_shares(base::node_id self, std::uint64_t incarnation)
    : self_(std::move(self)), incarnation_(incarnation) {}

points limit_shares::Base() const {
  if (!listed_)
    return 0;
  return kWhole / static_cast<points>(roster_.members.size());
}

void limit_shares::Apply(const limit_roster& roster) {
  if (roster.version <= roster_.version)
    return;
  // What is held under the old roster bounds what may be held under the new
  // one until everybody else has come down to its own start.
  std::map<std::string, points> held;
  for (const auto& [key, of] : shares_)
    held[key] = Held(of);
  // The first roster divides between those who shared provisionally before; a
  // node that comes to an older one has nothing to carry on.
  const bool was_listed = listed_ || roster_.version == base::revision();
  roster_ = roster;
  const limit_roster::member self{self_, incarnation_};
  listed_ = std::find(roster.members.begin(), roster.members.end(), self) !=
            roster.members.end();
  settled_ = false;
  said_roster_ = false;
  for (auto& [key, of] : shares_) {
    of.carried = was_listed ? std::min(held[key], Base()) : 0;
    of.gave.clear();
  }
  Settle();
}

void limit_shares::Settle() {
  if (settled_ || !listed_ || !said_roster_)
    return;
  settled_ = std::all_of(roster_.members.begin(), roster_.members.end(),
                         [this](const limit_roster::member& each) {
                           if (each.node == self_)
                             return true;
                           const auto found = peer_rosters_.find(each.node);
                           return found != peer_rosters_.end() &&
                                  found->second.roster == roster_.version &&
                                  found->second.incarnation == each.incarnation;
                         });
}

void limit_shares::SetProvisionalNodes(std::size_t nodes) {
  provisional_nodes_ = std::max<std::size_t>(1, nodes);
}

limit_shares::share& limit_shares::Find(const std::string& key) {
  return shares_[key];
}

points limit_shares::Held(const share& of) const {
  if (roster_.version == base::revision())
    return kWhole / static_cast<points>(provisional_nodes_);
  if (!settled_)
    return of.carried;
  points held = Base();
  for (const auto& [to, total] : of.gave)
    held -= total;
  for (const auto& [from, peer] : of.peers) {
    if (peer.roster == roster_.version)
      held += peer.gave_to_us;
  }
  return std::clamp<points>(held, 0, kWhole);
}

points limit_shares::Held(const std::string& key) const {
  const auto found = shares_.find(key);
  return found == shares_.end() ? Held(share()) : Held(found->second);
}

void limit_shares::Need(const std::string& key, points wanted, points in_use) {
  share& of = Find(key);
  of.need = std::clamp<points>(wanted, 0, kWhole);
  of.in_use = std::clamp<points>(in_use, 0, kWhole);
}

void limit_shares::Keep(const std::vector<std::string>& keys) {
  std::erase_if(shares_, [&keys](const auto& each) {
    return std::find(keys.begin(), keys.end(), each.first) == keys.end();
  });
  for (const auto& key : keys)
    shares_.try_emplace(key);
}

// The water level: every node gets the lesser of its need and the level, and
// the levels that all nodes work out from the same news agree.
points limit_shares::LevelFor(const share& of) const {
  std::vector<points> needs{of.need};
  for (const auto& member : roster_.members) {
    const auto found = of.peers.find(member.node);
    if (member.node != self_)
      needs.push_back(found == of.peers.end() ? 0 : found->second.need);
  }
  std::sort(needs.begin(), needs.end());
  points left = kWhole - static_cast<points>(kWhole * kIdlePart);
  auto nodes = static_cast<points>(needs.size());
  for (const points need : needs) {
    if (need * nodes >= left)
      return left / nodes;
    left -= need;
    --nodes;
  }
  return kWhole;
}

void limit_shares::Give(share& of) {
  const points level = LevelFor(of);
  const points floor = static_cast<points>(kWhole * kIdlePart) /
                       static_cast<points>(roster_.members.size());
  const points surplus =
      Held(of) - std::max({floor, std::min(of.need, level), of.in_use});
  if (surplus < kLeastChange)
    return;
  // Every holder of a surplus gives the same part of it, so that together they
  // don't give more than is lacking.
  points all_surplus = surplus;
  std::vector<std::pair<base::node_id, points>> lacking;
  points all_lacking = 0;
  for (const auto& [node, peer] : of.peers) {
    if (peer.roster != roster_.version)
      continue;
    const points target = std::max(floor, std::min(peer.need, level));
    if (peer.held > target)
      all_surplus += peer.held - target;
    if (target - peer.held < kLeastChange)
      continue;
    if (of.gave.size() >= kMaxReceivers && !of.gave.contains(node))
      continue;
    lacking.emplace_back(node, target - peer.held);
    all_lacking += target - peer.held;
  }
  for (const auto& [node, amount] : lacking) {
    const points wanted = std::min(all_lacking, all_surplus);
    const auto part = static_cast<points>(
        static_cast<double>(amount) / static_cast<double>(all_lacking) *
        static_cast<double>(wanted) * static_cast<double>(surplus) /
        static_cast<double>(all_surplus));
    if (part <= 0)
      continue;
    of.gave[node] += part;
    of.peers[node].held += part;  // Until the receiver says so itself.
  }
}

membership::publish limit_shares::Say(const std::string& key, share& of) const {
  boost::json::object gave;
  for (const auto& [node, total] : of.gave)
    gave[node.str()] = total;
  of.said_need = of.need;
  of.said_held = Held(of);
  boost::json::object value;
  value["roster"] = static_cast<std::int64_t>(roster_.version.value());
  value["need"] = of.need;
  value["held"] = of.said_held;
  value["gave"] = std::move(gave);
  return {kTopic, ItemKey(key), boost::json::serialize(value)};
}

// Others take their start from the news that this node came down to its own, so
// that must hold for work in flight too.
bool limit_shares::MayUseRoster() const {
  return std::all_of(shares_.begin(), shares_.end(), [](const auto& each) {
    return each.second.in_use <= each.second.carried;
  });
}

membership::publish limit_shares::SayRoster() {
  said_roster_ = true;
  boost::json::object value;
  value["roster"] = static_cast<std::int64_t>(roster_.version.value());
  value["incarnation"] = static_cast<std::int64_t>(incarnation_);
  return {kTopic, kRosterKey, boost::json::serialize(value)};
}

std::vector<membership::publish> limit_shares::Exchange() {
  std::vector<membership::publish> news;
  if (!listed_)
    return news;
  if (!said_roster_ && MayUseRoster())
    news.push_back(SayRoster());
  Settle();
  if (!settled_)
    return news;
  for (auto& [key, of] : shares_) {
    const by_node before = of.gave;
    Give(of);
    const bool has_news = of.gave != before ||
                          std::abs(of.need - of.said_need) >= kLeastChange ||
                          std::abs(Held(of) - of.said_held) >= kLeastChange;
    if (has_news)
      news.push_back(Say(key, of));
  }
  return news;
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
  peer_roster said;
  said.roster = base::revision(
      static_cast<std::uint64_t>(reader.Integer("roster", 0, kMaxRevision)));
  said.incarnation = static_cast<std::uint64_t>(
      reader.Integer("incarnation", 0, kMaxRevision));
  said.version = item.version;
  if (!problems.empty())
    return;
  peer_roster& known = peer_rosters_[item.origin];
  const bool is_older = std::pair(said.incarnation, said.roster) <
                        std::pair(known.incarnation, known.roster);
  if (!is_older)
    known = said;
  Settle();
}

void limit_shares::ApplyShare(const membership::item& item) {
  const auto key = LimitOf(item.key);
  const auto found = key ? shares_.find(*key) : shares_.end();
  if (found == shares_.end())
    return;
  base::json_problems problems;
  const auto json = base::ParseJson(item.value, problems);
  if (!json)
    return;
  base::object_reader reader(*json, item.key, problems);
  peer_share said;
  said.version = item.version;
  said.roster = base::revision(
      static_cast<std::uint64_t>(reader.Integer("roster", 0, kMaxRevision)));
  said.need = reader.Integer("need", 0, kWhole);
  said.held = reader.Integer("held", 0, kWhole);
  said.gave_to_us = ReadGift(reader.Child("gave"), self_);
  if (!problems.empty())
    return;
  peer_share& known = found->second.peers[item.origin];
  if (said.roster < known.roster)
    return;
  if (said.roster == known.roster) {
    if (said.version < known.version)
      return;
    // Totals only rise under one roster; a lower one is old news.
    said.gave_to_us = std::max(said.gave_to_us, known.gave_to_us);
  }
  known = said;
}

}  // namespace flamingoshunt::admission
