#include "fleet/peer_status.h"

#include <boost/json.hpp>

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <tuple>
#include <utility>

#include "base/json_text.h"
#include "base/milliseconds.h"

namespace flamingoshunt::fleet {
namespace {

namespace json = boost::json;

json::array EncodeLoads(const gateway::load_map& loads) {
  json::array out;
  for (const auto& [instance, load] : loads)
    out.push_back({json::string(instance.str()), load.running,
                   load.pending_prompt_tokens, load.pending_output_tokens});
  return out;
}

json::object EncodeAnnouncement(const group_announcement& announcement) {
  json::array groups;
  for (const serving_group& group : announcement.groups)
    groups.push_back({json::string(group.name), group.epoch.value(),
                      json::string(group.model),
                      json::string(group.head.str())});
  return {{"term", announcement.term},
          {"edition", announcement.edition},
          {"groups", std::move(groups)}};
}

// Reads values of one datagram; any mismatch throws and rejects all of it.
std::string Text(const json::value& value) {
  return std::string(value.as_string());
}

std::uint64_t UnsignedInteger(const json::value& value) {
  return value.to_number<std::uint64_t>();
}

gateway::load_map DecodeLoads(const json::array& encoded) {
  gateway::load_map loads;
  for (const json::value& entry : encoded) {
    const json::array& fields = entry.as_array();
    loads[base::instance_id(Text(fields.at(0)))] = {
        fields.at(1).to_number<int>(), fields.at(2).to_number<std::int64_t>(),
        fields.at(3).to_number<std::int64_t>()};
  }
  return loads;
}

group_announcement DecodeAnnouncement(const json::object& encoded) {
  group_announcement announcement;
  announcement.term = UnsignedInteger(encoded.at("term"));
  announcement.edition = UnsignedInteger(encoded.at("edition"));
  for (const json::value& group : encoded.at("groups").as_array()) {
    const json::array& fields = group.as_array();
    announcement.groups.push_back(
        {Text(fields.at(0)), base::epoch(UnsignedInteger(fields.at(1))),
         Text(fields.at(2)), base::instance_id(Text(fields.at(3)))});
  }
  return announcement;
}

json::array EncodeIds(const std::vector<base::instance_id>& ids) {
  json::array out;
  for (const base::instance_id& id : ids)
    out.emplace_back(id.str());
  return out;
}

std::vector<base::instance_id> DecodeIds(const json::array& ids) {
  std::vector<base::instance_id> out;
  for (const json::value& id : ids)
    out.emplace_back(Text(id));
  return out;
}

base::duration Duration(const json::value& ms) {
  return std::chrono::milliseconds(ms.to_number<std::int64_t>());
}

json::array EncodeCrashes(const std::vector<gateway::crash_report>& crashes) {
  json::array out;
  for (const gateway::crash_report& report : crashes) {
    json::array parts;
    for (const base::fingerprint part : report.prompt_parts)
      parts.emplace_back(part.value());
    json::array fields{report.request.value(),
                       json::string(report.replica.str()), std::move(parts),
                       base::WholeMilliseconds(report.attempt_duration),
                       base::WholeMilliseconds(report.age)};
    if (report.exact_request)
      fields.emplace_back(report.exact_request->value());
    out.push_back(std::move(fields));
  }
  return out;
}

std::vector<gateway::crash_report> DecodeCrashes(const json::array& encoded) {
  std::vector<gateway::crash_report> crashes;
  for (const json::value& crash : encoded) {
    const json::array& fields = crash.as_array();
    gateway::crash_report& report = crashes.emplace_back();
    report.request = base::fingerprint(UnsignedInteger(fields.at(0)));
    report.replica = base::instance_id(Text(fields.at(1)));
    // Older nodes report no more than that.
    if (fields.size() == 2)
      continue;
    for (const json::value& part : fields.at(2).as_array())
      report.prompt_parts.emplace_back(UnsignedInteger(part));
    report.attempt_duration = Duration(fields.at(3));
    report.age = Duration(fields.at(4));
    if (fields.size() > 5)
      report.exact_request = base::fingerprint(UnsignedInteger(fields.at(5)));
  }
  return crashes;
}

json::array EncodeSightings(
    const std::vector<gateway::key_sighting>& sightings) {
  json::array out;
  for (const gateway::key_sighting& each : sightings)
    out.push_back({each.key.value(), base::WholeMilliseconds(each.age)});
  return out;
}

std::vector<gateway::key_sighting> DecodeSightings(const json::array& encoded) {
  std::vector<gateway::key_sighting> sightings;
  for (const json::value& sighting : encoded) {
    const json::array& fields = sighting.as_array();
    sightings.push_back({base::fingerprint(UnsignedInteger(fields.at(0))),
                         Duration(fields.at(1))});
  }
  return sightings;
}

json::array EncodeLimits(const std::vector<limit_report>& limits) {
  json::array out;
  for (const limit_report& each : limits) {
    json::value rate;
    if (each.requests_per_second)
      rate = *each.requests_per_second;
    json::array fields{json::string(each.replica.str()), std::move(rate),
                       base::WholeMilliseconds(each.age), each.sent};
    if (!each.reporter.empty())
      fields.push_back(json::string(each.reporter.str()));
    out.push_back(std::move(fields));
  }
  return out;
}

std::vector<limit_report> DecodeLimits(const json::array& encoded) {
  std::vector<limit_report> limits;
  for (const json::value& limit : encoded) {
    const json::array& fields = limit.as_array();
    limit_report& report = limits.emplace_back();
    report.replica = base::instance_id(Text(fields.at(0)));
    if (!fields.at(1).is_null())
      report.requests_per_second = fields.at(1).to_number<double>();
    report.age = Duration(fields.at(2));
    report.sent = UnsignedInteger(fields.at(3));
    if (fields.size() > 4)
      report.reporter = base::node_id(Text(fields.at(4)));
  }
  return limits;
}

json::array EncodeProcesses(
    const std::vector<gateway::replica_process>& processes) {
  json::array out;
  for (const gateway::replica_process& each : processes)
    out.push_back({json::string(each.instance.str()), each.started_ms});
  return out;
}

std::vector<gateway::replica_process> DecodeProcesses(
    const json::array& encoded) {
  std::vector<gateway::replica_process> processes;
  for (const json::value& process : encoded) {
    const json::array& fields = process.as_array();
    processes.push_back(
        {base::instance_id(Text(fields.at(0))), UnsignedInteger(fields.at(1))});
  }
  return processes;
}

json::array EncodeCold(const std::vector<cold_report>& reports) {
  json::array out;
  for (const cold_report& each : reports)
    out.push_back({json::string(each.replica.str()),
                   base::WholeMilliseconds(each.remaining)});
  return out;
}

std::vector<cold_report> DecodeCold(const json::array& encoded) {
  std::vector<cold_report> reports;
  for (const json::value& report : encoded) {
    const json::array& fields = report.as_array();
    reports.push_back(
        {base::instance_id(Text(fields.at(0))), Duration(fields.at(1))});
  }
  return reports;
}

json::object EncodeEvacuations(const evacuation_state& state) {
  json::array domains;
  for (const base::failure_domain_id& domain : state.domains)
    domains.emplace_back(domain.str());
  return {{"era", state.era},
          {"revision", state.revision.value()},
          {"domains", std::move(domains)}};
}

evacuation_state DecodeEvacuations(const json::object& encoded) {
  evacuation_state state;
  state.era = UnsignedInteger(encoded.at("era"));
  state.revision = base::revision(UnsignedInteger(encoded.at("revision")));
  for (const json::value& domain : encoded.at("domains").as_array())
    state.domains.emplace(Text(domain));
  return state;
}

json::array EncodeNames(const std::set<std::string>& names) {
  json::array out;
  for (const std::string& name : names)
    out.emplace_back(name);
  return out;
}

std::set<std::string> DecodeNames(const json::array& encoded) {
  std::set<std::string> names;
  for (const json::value& name : encoded)
    names.insert(Text(name));
  return names;
}

// Node, sequence; if complete also incarnation, stopping, store_reachable,
// cores and the services it is cut off from.
json::array EncodeMembers(const std::vector<relay_member>& members) {
  json::array out;
  for (const relay_member& each : members) {
    json::array fields{json::string(each.node.str()), each.sequence};
    if (each.complete) {
      fields.push_back(each.incarnation);
      fields.push_back(each.stopping);
      fields.push_back(each.store_reachable);
      fields.push_back(each.cores);
      fields.push_back(EncodeNames(each.cut_off_services));
    }
    out.push_back(std::move(fields));
  }
  return out;
}

std::vector<relay_member> DecodeMembers(const json::array& encoded) {
  std::vector<relay_member> members;
  for (const json::value& member : encoded) {
    const json::array& fields = member.as_array();
    relay_member& each = members.emplace_back();
    each.node = base::node_id(Text(fields.at(0)));
    each.sequence = UnsignedInteger(fields.at(1));
    each.complete = fields.size() > 2;
    if (!each.complete)
      continue;
    each.incarnation = UnsignedInteger(fields.at(2));
    each.stopping = fields.at(3).as_bool();
    each.store_reachable = fields.at(4).as_bool();
    each.cores = fields.at(5).to_number<double>();
    // Older nodes don't say it.
    if (fields.size() > 6)
      each.cut_off_services = DecodeNames(fields.at(6).as_array());
  }
  return members;
}

json::object EncodeVersions(
    const std::map<std::string, announcement_version>& versions) {
  json::object out;
  for (const auto& [service, version] : versions)
    out[service] = json::array{version.term, version.edition};
  return out;
}

std::map<std::string, announcement_version> DecodeVersions(
    const json::object& encoded) {
  std::map<std::string, announcement_version> versions;
  for (const auto& [service, version] : encoded) {
    const json::array& fields = version.as_array();
    versions[std::string(service)] = {UnsignedInteger(fields.at(0)),
                                      UnsignedInteger(fields.at(1))};
  }
  return versions;
}

struct kind_name {
  status_kind kind;
  const char* name;
};
constexpr kind_name kKindNames[] = {{status_kind::kStatus, "status"},
                                    {status_kind::kReport, "report"},
                                    {status_kind::kDigest, "digest"},
                                    {status_kind::kNote, "note"}};

const char* NameOf(status_kind kind) {
  for (const kind_name& each : kKindNames) {
    if (each.kind == kind)
      return each.name;
  }
  return "unknown";
}

// @throws std::invalid_argument for a kind of a newer program.
status_kind KindNamed(std::string_view name) {
  for (const kind_name& each : kKindNames) {
    if (name == each.name)
      return each.kind;
  }
  throw std::invalid_argument("unknown kind of status");
}

// Whether a status holds only changes. Under this name in the kinds that nodes
// without relays can't handle, which drop a status without "partial".
constexpr char kChangesOnly[] = "changes_only";
constexpr char kPartial[] = "partial";
constexpr char kCutOff[] = "cut_off";

json::object EncodeCommonFields(const peer_status& status) {
  json::object out{{"node", status.node.str()},
                   {"incarnation", status.incarnation},
                   {"sequence", status.sequence},
                   {"loads", EncodeLoads(status.loads)}};
  if (status.kind == status_kind::kStatus) {
    out[kPartial] = status.partial;
  } else {
    out["kind"] = NameOf(status.kind);
    out[kChangesOnly] = status.partial;
  }
  if (!status.known_announcements.empty())
    out["known"] = EncodeVersions(status.known_announcements);
  if (status.farewell)
    out["farewell"] = true;
  if (!status.members.empty())
    out["members"] = EncodeMembers(status.members);
  json::object queue_lengths;
  for (const auto& [pool, waiting] : status.queue_lengths)
    queue_lengths[pool] = waiting;
  out["lines"] = std::move(queue_lengths);
  json::array queries;
  for (const peer_activity_query& query : status.queries) {
    json::array fields{json::string(query.replica.str()), query.window_ms};
    if (!query.requesting_node.empty())
      fields.push_back(json::string(query.requesting_node.str()));
    queries.push_back(std::move(fields));
  }
  out["questions"] = std::move(queries);
  out["heard_of"] = EncodeIds(status.active_replicas);
  out["suspects"] = EncodeIds(status.suspects);
  out["crashes"] = EncodeCrashes(status.crashes);
  if (!status.limits.empty())
    out["limits"] = EncodeLimits(status.limits);
  if (!status.answered_parts.empty())
    out["answered_parts"] = EncodeSightings(status.answered_parts);
  if (!status.blamed_parts.empty())
    out["blamed_parts"] = EncodeSightings(status.blamed_parts);
  if (!status.answered_requests.empty())
    out["answered_requests"] = EncodeSightings(status.answered_requests);
  if (!status.blamed_requests.empty())
    out["blamed_requests"] = EncodeSightings(status.blamed_requests);
  if (!status.leaving.empty())
    out["leaving"] = EncodeProcesses(status.leaving);
  if (!status.cold.empty())
    out["cold"] = EncodeCold(status.cold);
  if (status.evacuated)
    out["evacuated"] = EncodeEvacuations(*status.evacuated);
  return out;
}

// Older nodes send no suspects and crashes in partial datagrams, and neither
// prompt parts, answered or blamed requests, limits, leaving or cold replicas
// nor evacuated failure domains.
const json::array& ArrayOrEmpty(const json::object& encoded, const char* name) {
  static const json::array empty;
  const json::value* value = encoded.if_contains(name);
  return value ? value->as_array() : empty;
}

peer_status DecodeStatus(const json::object& encoded) {
  peer_status status;
  if (const json::value* kind = encoded.if_contains("kind"))
    status.kind = KindNamed(kind->as_string());
  const bool known_to_all = status.kind == status_kind::kStatus;
  status.partial = encoded.at(known_to_all ? kPartial : kChangesOnly).as_bool();
  if (const json::value* known = encoded.if_contains("known"))
    status.known_announcements = DecodeVersions(known->as_object());
  if (const json::value* farewell = encoded.if_contains("farewell"))
    status.farewell = farewell->as_bool();
  status.members = DecodeMembers(ArrayOrEmpty(encoded, "members"));
  status.node = base::node_id(Text(encoded.at("node")));
  status.incarnation = UnsignedInteger(encoded.at("incarnation"));
  status.sequence = UnsignedInteger(encoded.at("sequence"));
  status.loads = DecodeLoads(encoded.at("loads").as_array());
  for (const auto& [pool, waiting] : encoded.at("lines").as_object())
    status.queue_lengths[std::string(pool)] = waiting.to_number<int>();
  for (const json::value& query : encoded.at("questions").as_array()) {
    const json::array& fields = query.as_array();
    peer_activity_query& read = status.queries.emplace_back();
    read.replica = base::instance_id(Text(fields.at(0)));
    read.window_ms = fields.at(1).to_number<std::int64_t>();
    if (fields.size() > 2)
      read.requesting_node = base::node_id(Text(fields.at(2)));
  }
  status.active_replicas = DecodeIds(encoded.at("heard_of").as_array());
  status.suspects = DecodeIds(ArrayOrEmpty(encoded, "suspects"));
  status.crashes = DecodeCrashes(ArrayOrEmpty(encoded, "crashes"));
  status.limits = DecodeLimits(ArrayOrEmpty(encoded, "limits"));
  status.answered_parts =
      DecodeSightings(ArrayOrEmpty(encoded, "answered_parts"));
  status.blamed_parts = DecodeSightings(ArrayOrEmpty(encoded, "blamed_parts"));
  status.answered_requests =
      DecodeSightings(ArrayOrEmpty(encoded, "answered_requests"));
  status.blamed_requests =
      DecodeSightings(ArrayOrEmpty(encoded, "blamed_requests"));
  status.leaving = DecodeProcesses(ArrayOrEmpty(encoded, "leaving"));
  status.cold = DecodeCold(ArrayOrEmpty(encoded, "cold"));
  if (const json::value* evacuated = encoded.if_contains("evacuated"))
    status.evacuated = DecodeEvacuations(evacuated->as_object());
  if (const json::value* statements = encoded.if_contains("statements")) {
    for (const auto& [service, announcement] : statements->as_object())
      status.announcements[std::string(service)] =
          DecodeAnnouncement(announcement.as_object());
  }
  if (!status.partial || status.kind == status_kind::kDigest) {
    status.configuration = UnsignedInteger(encoded.at("configuration"));
    status.seen_requests = encoded.at("seen_requests").as_bool();
    status.store_reachable = encoded.at("store_reachable").as_bool();
  }
  if (status.partial)
    return status;
  status.stopping = encoded.at("stopping").as_bool();
  status.cores = encoded.at("cores").to_number<double>();
  status.cut_off_services = DecodeNames(ArrayOrEmpty(encoded, kCutOff));
  return status;
}

bool IsNewer(const group_announcement& a, const group_announcement& b) {
  return std::tie(a.term, a.edition) > std::tie(b.term, b.edition);
}

}  // namespace

std::string EncodePeerStatus(const peer_status& status) {
  json::object out = EncodeCommonFields(status);
  json::object announcements;
  for (const auto& [service, announcement] : status.announcements)
    announcements[service] = EncodeAnnouncement(announcement);
  if (status.kind == status_kind::kNote && !announcements.empty())
    out["statements"] = announcements;
  if (status.kind == status_kind::kDigest) {
    out["configuration"] = status.configuration;
    out["seen_requests"] = status.seen_requests;
    out["store_reachable"] = status.store_reachable;
  }
  if (status.partial)
    return json::serialize(out);
  out["configuration"] = status.configuration;
  out["seen_requests"] = status.seen_requests;
  out["stopping"] = status.stopping;
  out["store_reachable"] = status.store_reachable;
  out["cores"] = status.cores;
  if (!status.cut_off_services.empty())
    out[kCutOff] = EncodeNames(status.cut_off_services);
  out["statements"] = std::move(announcements);
  std::string text = json::serialize(out);
  for (const char* field : {"statements", "crashes"}) {
    if (text.size() <= kMaxDatagramBytes)
      break;
    if (out[field].is_object())
      out[field] = json::object();
    else
      out[field] = json::array();
    text = json::serialize(out);
  }
  return text;
}

std::optional<peer_status> DecodePeerStatus(std::string_view text) {
  std::vector<peer_status> statuses = DecodeDatagram(text);
  if (statuses.size() != 1)
    return std::nullopt;
  return std::move(statuses.front());
}

std::vector<std::string> BundleStatuses(const std::vector<std::string>& texts) {
  std::vector<std::string> bundles;
  for (const std::string& text : texts) {
    if (bundles.empty() ||
        bundles.back().size() + text.size() + 2 > kMaxDatagramBytes)
      bundles.emplace_back("[");
    else
      bundles.back() += ',';
    bundles.back() += text;
  }
  for (std::string& bundle : bundles)
    bundle += ']';
  return bundles;
}

std::vector<peer_status> DecodeDatagram(std::string_view text) {
  std::vector<peer_status> statuses;
  // A relay bundles statuses of several nodes, each of which counts by itself.
  for (const std::string_view part :
       base::SplitJsonArray(text).value_or(std::vector{text})) {
    try {
      statuses.push_back(
          DecodeStatus(json::parse(json::string_view(part.data(), part.size()))
                           .as_object()));
    } catch (const std::exception&) {
      // Foreign or damaged; the sender repeats its state in the next datagram.
    }
  }
  return statuses;
}

bool peer_table::Apply(peer_status status, base::time_point now) {
  peer& peer_entry = peers_[status.node];
  const auto version = [](const peer_status& sender_status) {
    return std::pair(sender_status.incarnation, sender_status.sequence);
  };
  // After a timeout any other incarnation is accepted: a node that restarted
  // with its clock set back would otherwise be ignored.
  const bool timed_out = now - peer_entry.last_received_at >= kPeerTimeout;
  const bool restarted = status.incarnation != peer_entry.status.incarnation;
  if (version(status) <= version(peer_entry.status) &&
      !(timed_out && restarted))
    return false;
  ApplyAnnouncements(status.announcements);
  peer_entry.last_received_at = now;
  ReplaceLoads(peer_entry, std::move(status.loads), status.partial);
  if (status.partial) {
    peer_entry.status.node = std::move(status.node);
    peer_entry.status.incarnation = status.incarnation;
    peer_entry.status.sequence = status.sequence;
    peer_entry.status.queue_lengths = std::move(status.queue_lengths);
    if (status.kind == status_kind::kDigest) {
      peer_entry.status.configuration = status.configuration;
      peer_entry.status.seen_requests = status.seen_requests;
      peer_entry.status.store_reachable = status.store_reachable;
    }
    return true;
  }
  status.loads = std::move(peer_entry.status.loads);
  peer_entry.status = std::move(status);
  return true;
}

void peer_table::ApplyAnnouncements(
    const std::map<std::string, group_announcement>& announcements) {
  for (const auto& [service, announcement] : announcements) {
    group_announcement& known_announcement = announcements_[service];
    if (IsNewer(announcement, known_announcement))
      known_announcement = announcement;
  }
}

void peer_table::ApplyMember(const relay_member& member, base::time_point now) {
  if (member.complete) {
    peer_status status;
    status.node = member.node;
    status.incarnation = member.incarnation;
    status.sequence = member.sequence;
    status.stopping = member.stopping;
    status.store_reachable = member.store_reachable;
    status.cores = member.cores;
    status.cut_off_services = member.cut_off_services;
    Apply(std::move(status), now);
    return;
  }
  const auto known = peers_.find(member.node);
  if (known == peers_.end() || member.sequence <= known->second.status.sequence)
    return;
  known->second.status.sequence = member.sequence;
  known->second.last_received_at = now;
}

gateway::placed_load peer_table::LoadOn(
    const base::instance_id& replica) const {
  const auto sum = load_sums_.find(replica);
  return sum == load_sums_.end() ? gateway::placed_load{} : sum->second;
}

void peer_table::Remove(const base::node_id& node) {
  const auto known = peers_.find(node);
  if (known == peers_.end())
    return;
  ReplaceLoads(known->second, {}, false);
  peers_.erase(known);
}

void peer_table::ReplaceLoads(peer& sender,
                              gateway::load_map loads,
                              bool partial) {
  gateway::load_map& known_loads = sender.status.loads;
  if (!partial) {
    // A load missing from a full status is no longer placed.
    for (const auto& [instance, load] : known_loads)
      loads.try_emplace(instance);
  }
  for (const auto& [instance, load] : loads) {
    const auto old_load = known_loads.find(instance);
    if (old_load != known_loads.end())
      load_sums_[instance] -= old_load->second;
    load_sums_[instance] += load;
    changed_loads_.insert(instance);
    if (load.running > 0)
      known_loads[instance] = load;
    else
      known_loads.erase(instance);
    if (load.running <= 0)
      load_sums_[instance] -= load;
  }
}

bool peer_table::IsLive(const base::node_id& node,
                        base::time_point now,
                        base::duration timeout) const {
  const auto it = peers_.find(node);
  return it != peers_.end() && now - it->second.last_received_at < timeout &&
         !it->second.status.stopping;
}

std::vector<base::node_id> peer_table::LiveNodes(base::time_point now,
                                                 base::duration timeout) const {
  std::vector<base::node_id> live;
  for (const auto& [node, peer] : peers_) {
    if (IsLive(node, now, timeout))
      live.push_back(node);
  }
  return live;
}

std::vector<base::node_id> peer_table::NodesReachingStore(
    base::time_point now,
    base::duration timeout) const {
  auto candidates = LiveNodes(now, timeout);
  std::erase_if(candidates, [&](const base::node_id& node) {
    return !peers_.at(node).status.store_reachable;
  });
  return candidates;
}

std::set<std::string> peer_table::CutOffServices(
    const base::node_id& node) const {
  const auto known = peers_.find(node);
  return known == peers_.end() ? std::set<std::string>{}
                               : known->second.status.cut_off_services;
}

std::vector<base::node_id> peer_table::LeaderCandidates(
    const peer_status& self,
    const std::string& service,
    const base::node_id& leader,
    base::time_point now,
    base::duration timeout) const {
  auto candidates = NodesReachingStore(now, timeout);
  if (leader != self.node && !IsLive(leader, now, kLeaderTimeout))
    std::erase(candidates, leader);
  candidates.push_back(self.node);
  const auto reaches_endpoints = [&](const base::node_id& node) {
    const peer_status& status =
        node == self.node ? self : peers_.at(node).status;
    return !status.cut_off_services.contains(service);
  };
  // A node that reaches none can't order anything. If that holds for all nodes,
  // another leader would reach none either.
  if (std::any_of(candidates.begin(), candidates.end(), reaches_endpoints))
    std::erase_if(candidates, [&](const base::node_id& node) {
      return !reaches_endpoints(node);
    });
  const auto cores = [&](const base::node_id& node) {
    return node == self.node ? self.cores : peers_.at(node).status.cores;
  };
  double max_cores = 0;
  for (const base::node_id& node : candidates)
    max_cores = std::max(max_cores, cores(node));
  std::erase_if(candidates, [&](const base::node_id& node) {
    return cores(node) < kMinCoreFraction * max_cores;
  });
  return candidates;
}

gateway::load_map peer_table::TakeChangedLoads(base::time_point now,
                                               base::duration timeout) {
  for (auto& [node, peer] : peers_) {
    if (now - peer.last_received_at >= timeout && !peer.status.loads.empty())
      ReplaceLoads(peer, {}, false);
  }
  gateway::load_map changed;
  for (const base::instance_id& instance : std::exchange(changed_loads_, {})) {
    changed[instance] = load_sums_[instance];
    if (load_sums_[instance].running <= 0)
      load_sums_.erase(instance);
  }
  return changed;
}

std::vector<base::node_id> peer_table::NodesWithLoad(
    const base::instance_id& replica) const {
  std::vector<base::node_id> nodes;
  for (const auto& [node, peer] : peers_) {
    if (peer.status.loads.contains(replica))
      nodes.push_back(node);
  }
  return nodes;
}

gateway::queue_length_map peer_table::QueueLengths(
    base::time_point now,
    base::duration timeout) const {
  gateway::queue_length_map total;
  for (const auto& [node, peer] : peers_) {
    if (!IsLive(node, now, timeout))
      continue;
    for (const auto& [pool, waiting] : peer.status.queue_lengths)
      total[pool] += waiting;
  }
  return total;
}

std::optional<group_announcement> peer_table::Announcement(
    const std::string& service) const {
  const auto it = announcements_.find(service);
  if (it == announcements_.end())
    return std::nullopt;
  return it->second;
}

std::map<std::string, announcement_version> peer_table::AnnouncementVersions()
    const {
  std::map<std::string, announcement_version> versions;
  for (const auto& [service, announcement] : announcements_)
    versions[service] = {announcement.term, announcement.edition};
  return versions;
}

bool peer_table::AnyPeerSeenRequests() const {
  for (const auto& [node, peer] : peers_) {
    if (peer.status.seen_requests)
      return true;
  }
  return false;
}

}  // namespace flamingoshunt::fleet
