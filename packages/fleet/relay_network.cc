#include "fleet/relay_network.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace flamingoshunt::fleet {
namespace {

// A relay whose digests end counts as acting for this long: several keep-alive
// digests may be lost.
constexpr base::duration kActingTimeout = std::chrono::milliseconds(1500);
// While no relay of a failure domain is known, this many of its nodes get the
// digests: the first may be down.
constexpr std::size_t kGuessedRelays = 2;
// Nodes with less than this fraction of the most cores relay only if the others
// are silent.
constexpr double kMinCoreFraction = 0.75;
// Urgent reports that arrive together share a digest.
constexpr base::duration kUrgentPeriod = std::chrono::milliseconds(5);

std::vector<base::node_id> Rank(
    const base::failure_domain_id& domain,
    const std::map<base::node_id, fleet_node>& nodes) {
  std::vector<std::string> names;
  double max_cores = 0;
  for (const auto& [node, details] : nodes) {
    if (details.failure_domain != domain)
      continue;
    names.push_back(node.str());
    max_cores = std::max(max_cores, details.cores);
  }
  std::vector<base::node_id> ranked;
  for (const std::size_t index :
       base::RendezvousOrder("relay/" + domain.str(), names))
    ranked.emplace_back(names[index]);
  std::stable_partition(
      ranked.begin(), ranked.end(), [&](const base::node_id& node) {
        return nodes.at(node).cores >= kMinCoreFraction * max_cores;
      });
  return ranked;
}

}  // namespace

relay_network::relay_network(base::node_id self, std::uint64_t incarnation)
    : self_(self), incarnation_(incarnation), choice_(self), relay_(self) {}

void relay_network::SetNodes(std::map<base::node_id, fleet_node> nodes,
                             base::time_point now) {
  const auto unable = std::erase_if(nodes, [](const auto& entry) {
    return entry.second.failure_domain.empty();
  });
  if (nodes == nodes_ && unable == unable_nodes_)
    return;
  unable_nodes_ = unable;
  nodes_ = std::move(nodes);
  ranked_.clear();
  for (const auto& [node, details] : nodes_) {
    if (!ranked_.contains(details.failure_domain))
      ranked_[details.failure_domain] = Rank(details.failure_domain, nodes_);
  }
  const auto own = nodes_.find(self_);
  choice_.SetCandidates(own == nodes_.end()
                            ? std::vector<base::node_id>{self_}
                            : ranked_.at(own->second.failure_domain),
                        now);
}

relay_effects relay_network::Report(peer_status own, base::time_point now) {
  relay_effects out;
  choice_.Tick(now);
  announced_.ApplyAnnouncements(std::exchange(own.announcements, {}));
  SendNewAnnouncements(now, out);
  own.kind = status_kind::kReport;
  if (!own.partial) {
    store_reachable_ = own.store_reachable;
    configuration_ = own.configuration;
  }
  own.known_announcements = announced_.AnnouncementVersions();
  std::vector<base::node_id> to;
  for (const base::node_id& relay : choice_.Targets()) {
    if (relay == self_)
      TakeReport(own, now, out);
    else
      to.push_back(relay);
  }
  // Its loads would otherwise stay in the sums until this node's next report.
  if (choice_.current() != self_)
    relay_.RemoveMember(self_);
  if (!to.empty())
    out.send.push_back({std::move(to), EncodePeerStatus(own)});
  return out;
}

relay_effects relay_network::Take(const peer_status& status,
                                  bool direct,
                                  base::time_point now) {
  relay_effects out;
  switch (status.kind) {
    case status_kind::kStatus:
      break;
    case status_kind::kReport:
      TakeReport(status, now, out);
      break;
    case status_kind::kDigest:
      TakeDigest(status, direct, now, out);
      break;
    case status_kind::kNote:
      ForwardQueries(status, out);
      break;
  }
  if (!status.announcements.empty()) {
    announced_.ApplyAnnouncements(status.announcements);
    SendNewAnnouncements(now, out);
  }
  return out;
}

void relay_network::TakeReport(const peer_status& report,
                               base::time_point now,
                               relay_effects& out) {
  if (report.farewell) {
    relay_.RemoveMember(report.node);
    return;
  }
  urgent_ = relay_.TakeReport(report, now) || urgent_;
  if (report.node != self_)
    SendAnnouncements(report.known_announcements, {report.node}, out);
  if (urgent_ && now - last_digest_at_ >= kUrgentPeriod)
    SendDigest(now, out);
}

void relay_network::TakeDigest(const peer_status& digest,
                               bool direct,
                               base::time_point now,
                               relay_effects& out) {
  if (digest.node == self_)
    return;
  if (!direct)
    return;
  const bool is_member = std::any_of(
      digest.members.begin(), digest.members.end(),
      [&](const relay_member& member) { return member.node == self_; });
  if (digest.node == choice_.current())
    digest_received_at_ = now;
  choice_.OnDigest(digest.node, is_member, now);
  if (const auto left = choice_.TakeLeft(); left) {
    peer_status farewell = MakeNote();
    farewell.kind = status_kind::kReport;
    farewell.farewell = true;
    if (*left == self_)
      relay_.RemoveMember(self_);
    else
      out.send.push_back({{*left}, EncodePeerStatus(farewell)});
  }
  acting_relays_[digest.node] = now;
  if (Relays(now) || digest.node == choice_.current())
    SendAnnouncements(digest.known_announcements, {digest.node}, out);
  if (IsRelay(now)) {
    to_pass_on_.push_back(EncodePeerStatus(digest));
    const bool news =
        !digest.suspects.empty() || !digest.crashes.empty() ||
        !digest.leaving.empty() || !digest.answered_parts.empty() ||
        !digest.blamed_parts.empty() || !digest.answered_requests.empty() ||
        !digest.blamed_requests.empty();
    urgent_ = urgent_ || news;
    if (urgent_ && now - last_digest_at_ >= kUrgentPeriod)
      SendDigest(now, out);
  }
}

// Asks the members that have requests on the replica.
void relay_network::ForwardQueries(const peer_status& note,
                                   relay_effects& out) const {
  std::map<base::node_id, std::vector<peer_activity_query>> by_member;
  for (peer_activity_query query : note.queries) {
    if (!query.requesting_node.empty())
      continue;  // For this node, and already applied.
    query.requesting_node = note.node;
    for (const base::node_id& member : relay_.NodesWithLoad(query.replica)) {
      if (member != note.node)
        by_member[member].push_back(query);
    }
  }
  for (auto& [member, queries] : by_member) {
    peer_status forwarded = MakeNote();
    forwarded.queries = std::move(queries);
    if (member == self_)
      out.apply.push_back(std::move(forwarded));
    else
      out.send.push_back({{member}, EncodePeerStatus(forwarded)});
  }
}

// Sends the announcements that changed since the last time to members and other
// relays, or to this node's own relay.
void relay_network::SendNewAnnouncements(base::time_point now,
                                         relay_effects& out) {
  const auto versions = announced_.AnnouncementVersions();
  if (versions == sent_versions_ || !in_use() ||
      now - announced_at_ < kDigestPeriod)
    return;
  std::vector<base::node_id> to = relay_.Members(now);
  for (const base::node_id& relay :
       Relays(now) ? OtherRelays(now) : choice_.Targets()) {
    if (std::find(to.begin(), to.end(), relay) == to.end())
      to.push_back(relay);
  }
  SendAnnouncements(std::exchange(sent_versions_, versions), std::move(to),
                    out);
  announced_at_ = now;
}

// Sends the announcements that are newer than @p known.
void relay_network::SendAnnouncements(
    const std::map<std::string, announcement_version>& known,
    std::vector<base::node_id> to,
    relay_effects& out) const {
  if (to.empty())
    return;
  for (const auto& [service, version] : announced_.AnnouncementVersions()) {
    const auto there = known.find(service);
    if (there != known.end() && there->second >= version)
      continue;
    peer_status note = MakeNote();
    note.announcements[service] = *announced_.Announcement(service);
    out.send.push_back({to, EncodePeerStatus(note)});
  }
}

peer_status relay_network::MakeNote() const {
  peer_status note;
  note.kind = status_kind::kNote;
  note.partial = true;
  note.node = self_;
  note.incarnation = incarnation_;
  return note;
}

// @return whether this node sends digests: others report to it, or it is alone.
bool relay_network::Relays(base::time_point now) const {
  return in_use() && (choice_.current() == self_ || IsRelay(now));
}

bool relay_network::HasRelay(base::time_point now) const {
  return choice_.current() == self_ ||
         now - digest_received_at_ < relay_choice::kSilence;
}

std::vector<base::node_id> relay_network::OtherRelays(
    base::time_point now) const {
  std::vector<base::node_id> relays;
  std::vector<base::failure_domain_id> covered;
  const auto own = nodes_.find(self_);
  if (own != nodes_.end())
    covered.push_back(own->second.failure_domain);
  for (const auto& [node, at] : acting_relays_) {
    const auto known = nodes_.find(node);
    if (known == nodes_.end() || now - at >= kActingTimeout)
      continue;
    relays.push_back(node);
    covered.push_back(known->second.failure_domain);
  }
  for (const auto& [domain, ranked] : ranked_) {
    if (std::find(covered.begin(), covered.end(), domain) != covered.end())
      continue;
    for (std::size_t i = 0; i < std::min(kGuessedRelays, ranked.size()); ++i)
      relays.push_back(ranked[i]);
  }
  return relays;
}

void relay_network::SendDigest(base::time_point now, relay_effects& out) {
  const bool full = now - last_full_at_ >= kFullPeriod;
  peer_status digest = relay_.TakeDigest(full, now);
  digest.incarnation = incarnation_;
  digest.sequence = ++digest_sequence_;
  digest.store_reachable = store_reachable_;
  digest.configuration = configuration_;
  digest.known_announcements = announced_.AnnouncementVersions();
  if (full)
    last_full_at_ = now;
  last_digest_at_ = now;
  urgent_ = false;
  const std::string text = EncodePeerStatus(digest);
  std::vector<std::string> texts = std::exchange(to_pass_on_, {});
  texts.insert(texts.begin(), text);
  const auto members = relay_.Members(now);
  if (!members.empty()) {
    for (std::string& bundle : BundleStatuses(texts))
      out.send.push_back({members, std::move(bundle)});
  }
  std::vector<base::node_id> others;
  for (const base::node_id& relay : OtherRelays(now)) {
    if (std::find(members.begin(), members.end(), relay) == members.end())
      others.push_back(relay);
  }
  if (!others.empty())
    out.send.push_back({std::move(others), text});
  out.apply.push_back(std::move(digest));
}

relay_effects relay_network::Tick(base::time_point now) {
  relay_effects out;
  if (!in_use())
    return out;
  choice_.Tick(now);
  SendNewAnnouncements(now, out);
  if (!Relays(now))
    return out;
  if (now - last_digest_at_ >= CurrentPeriod())
    SendDigest(now, out);
  return out;
}

base::duration relay_network::CurrentPeriod() const {
  if (urgent_)
    return kUrgentPeriod;
  const bool changed = relay_.HasChanges() || !to_pass_on_.empty();
  return changed ? kDigestPeriod : kKeepAlive;
}

base::time_point relay_network::NextTimer(base::time_point now) const {
  base::time_point next =
      Relays(now) ? last_digest_at_ + CurrentPeriod() : now + kKeepAlive;
  if (announced_.AnnouncementVersions() != sent_versions_)
    next = std::min(next, announced_at_ + kDigestPeriod);
  return next;
}

}  // namespace flamingoshunt::fleet
