#include "admission/roster_keeper.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

#include "base/checked_json.h"
#include "base/hash.h"

namespace flamingoshunt::admission {
namespace {

constexpr std::int64_t kMaxIncarnation =
    std::numeric_limits<std::int64_t>::max();

bool ContainsNode(const std::vector<limit_roster::member>& members,
                  const base::node_id& node) {
  return std::any_of(members.begin(), members.end(),
                     [&](const auto& entry) { return entry.node == node; });
}

// Bounds the memory that a faulty peer can make this node use.
constexpr std::size_t kMaxIncarnations = 4096;

}  // namespace

std::string EncodeRoster(const std::vector<limit_roster::member>& members) {
  boost::json::array list;
  for (const auto& member : members)
    list.push_back(boost::json::object{{"node", member.node.str()},
                                       {"incarnation", member.incarnation}});
  return boost::json::serialize(
      boost::json::object{{"members", std::move(list)}});
}

limit_roster DecodeRoster(const store::object& stored) {
  base::json_problems problems;
  limit_roster roster;
  roster.version = stored.version;
  const auto json = base::ParseJson(stored.value, problems);
  if (!json)
    throw base::json_document_error(problems);
  base::object_reader reader(*json, "", problems);
  reader.Each("members", [&](const auto& element, const std::string& path) {
    base::object_reader fields(element, path, problems);
    limit_roster::member member;
    member.node = base::node_id(fields.String("node"));
    member.incarnation = static_cast<std::uint64_t>(
        fields.Integer("incarnation", 0, kMaxIncarnation));
    fields.Finish();
    roster.members.push_back(std::move(member));
  });
  reader.Finish();
  if (!problems.empty())
    throw base::json_document_error(problems);
  return roster;
}

roster_keeper::roster_keeper(limit_roster::member self)
    : self_(std::move(self)),
      live_{self_.node},
      incarnations_{{self_.node, self_.incarnation}} {}

roster_effects roster_keeper::Start() {
  roster_effects out;
  out.publish.push_back(
      {kRosterTopic, self_.node.str(), std::to_string(self_.incarnation)});
  return out;
}

roster_effects roster_keeper::Handle(const store::watch_event& event,
                                     base::time_point now) {
  roster_effects out;
  if (event.kind == store::watch_event_kind::kPut)
    ApplyStored(event.changed, out);
  if (event.kind == store::watch_event_kind::kBookmark)
    synced_ = true;
  ScheduleProposal(now);
  return out;
}

void roster_keeper::ApplyStored(const store::object& stored,
                                roster_effects& out) {
  if (stored.version <= agreed_.version)
    return;
  try {
    agreed_ = DecodeRoster(stored);
  } catch (const base::json_document_error&) {
    // A malformed roster counts as an empty one of this version, which the next
    // proposal replaces.
    agreed_ = {stored.version, {}};
  }
  out.agreed = agreed_;
}

roster_effects roster_keeper::Handle(const membership::peers_changed& changed,
                                     base::time_point now) {
  live_ = {self_.node};
  for (const membership::peer& peer : changed.peers) {
    const bool live = peer.state == membership::peer_state::kAlive ||
                      peer.state == membership::peer_state::kSuspect;
    if (live)
      live_.insert(peer.id);
  }
  ScheduleProposal(now);
  return {};
}

roster_effects roster_keeper::Handle(const membership::item_received& received,
                                     base::time_point now) {
  const membership::item& item = received.received;
  if (item.topic != kRosterTopic || item.origin == self_.node)
    return {};
  std::uint64_t incarnation = 0;
  const char* end = item.value.data() + item.value.size();
  const auto parsed = std::from_chars(item.value.data(), end, incarnation);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    return {};
  if (incarnations_.size() >= kMaxIncarnations)
    std::erase_if(incarnations_, [&](const auto& entry) {
      return !live_.contains(entry.first);
    });
  incarnations_[item.origin] = incarnation;
  ScheduleProposal(now);
  return {};
}

roster_effects roster_keeper::Handle(const store::reply& reply,
                                     base::time_point now) {
  roster_effects out;
  if (pending_write_ != reply.id)
    return out;
  pending_write_.reset();
  if (reply.current)
    ApplyStored(*reply.current, out);
  ScheduleProposal(now);
  return out;
}

// Live nodes whose incarnation is known.
std::vector<limit_roster::member> roster_keeper::LiveMembers() const {
  std::vector<limit_roster::member> live;
  for (const auto& [node, incarnation] : incarnations_) {
    if (live_.contains(node))
      live.push_back({node, incarnation});
  }
  return live;
}

// Live nodes, and absent members whose removal delay has not passed.
std::vector<limit_roster::member> roster_keeper::DesiredMembers(
    base::time_point now) const {
  std::vector<limit_roster::member> desired = LiveMembers();
  for (const absent_member& entry : absent_) {
    if (now - entry.since < kRemovalDelay)
      desired.push_back(entry.member);
  }
  std::sort(desired.begin(), desired.end());
  return desired;
}

bool roster_keeper::IsProposer() const {
  std::vector<std::string> names;
  for (const base::node_id& node : live_)
    names.push_back(node.str());
  const auto order = base::RendezvousOrder(kRosterName, names);
  return names[order.front()] == self_.node.str();
}

void roster_keeper::ScheduleProposal(base::time_point now) {
  const auto live = LiveMembers();
  std::erase_if(absent_, [&](const absent_member& entry) {
    return ContainsNode(live, entry.member.node) ||
           !ContainsNode(agreed_.members, entry.member.node);
  });
  for (const auto& member : agreed_.members) {
    const bool is_recorded = std::any_of(
        absent_.begin(), absent_.end(), [&](const absent_member& entry) {
          return entry.member.node == member.node;
        });
    if (!is_recorded && !ContainsNode(live, member.node))
      absent_.push_back({member, now});
  }
  if (DesiredMembers(now) == agreed_.members && absent_.empty())
    proposal_time_.reset();
  else if (!proposal_time_)
    proposal_time_ = now + kSettleTime;
}

roster_effects roster_keeper::Tick(base::time_point now) {
  roster_effects out;
  if (!proposal_time_ || now < *proposal_time_)
    return out;
  proposal_time_.reset();
  const auto desired = DesiredMembers(now);
  if (synced_ && !pending_write_ && desired != agreed_.members &&
      IsProposer()) {
    store::call write;
    write.id = ids_.Next();
    write.key = {kRosterKind, kRosterName};
    write.op = agreed_.version == base::revision() ? store::operation::kCreate
                                                   : store::operation::kUpdate;
    write.expected = agreed_.version;
    write.value = EncodeRoster(desired);
    pending_write_ = write.id;
    out.calls.push_back(std::move(write));
  }
  ScheduleProposal(now);
  return out;
}

}  // namespace flamingoshunt::admission
