#include "fleet/peer_status.h"

#include <boost/json.hpp>

#include <tuple>
#include <utility>

namespace flamingoshunt::fleet {
namespace {

namespace json = boost::json;

json::array EncodeLoads(const gateway::load_map& loads) {
  json::array out;
  for (const auto& [instance, load] : loads)
    out.push_back({json::string(instance.str()), load.running, load.unread,
                   load.unwritten});
  return out;
}

json::object EncodeStatement(const group_statement& statement) {
  json::array groups;
  for (const serving_group& each : statement.groups)
    groups.push_back({json::string(each.name), each.epoch.value(),
                      json::string(each.model), json::string(each.head.str())});
  return {{"term", statement.term},
          {"edition", statement.edition},
          {"groups", std::move(groups)}};
}

// Reads values of one datagram; any mismatch throws and voids all of it.
std::string Text(const json::value& value) {
  return std::string(value.as_string());
}

std::uint64_t Whole(const json::value& value) {
  return value.to_number<std::uint64_t>();
}

gateway::load_map DecodeLoads(const json::array& loads) {
  gateway::load_map out;
  for (const json::value& each : loads) {
    const json::array& fields = each.as_array();
    out[base::instance_id(Text(fields.at(0)))] = {
        fields.at(1).to_number<int>(), fields.at(2).to_number<std::int64_t>(),
        fields.at(3).to_number<std::int64_t>()};
  }
  return out;
}

group_statement DecodeStatement(const json::object& from) {
  group_statement out;
  out.term = Whole(from.at("term"));
  out.edition = Whole(from.at("edition"));
  for (const json::value& each : from.at("groups").as_array()) {
    const json::array& fields = each.as_array();
    out.groups.push_back({Text(fields.at(0)), base::epoch(Whole(fields.at(1))),
                          Text(fields.at(2)),
                          base::instance_id(Text(fields.at(3)))});
  }
  return out;
}

json::array EncodeIds(const std::vector<base::instance_id>& ids) {
  json::array out;
  for (const base::instance_id& each : ids)
    out.emplace_back(each.str());
  return out;
}

std::vector<base::instance_id> DecodeIds(const json::array& ids) {
  std::vector<base::instance_id> out;
  for (const json::value& each : ids)
    out.emplace_back(Text(each));
  return out;
}

json::object EncodePart(const peer_news& news) {
  json::object out{{"node", news.node.str()},
                   {"incarnation", news.incarnation},
                   {"sequence", news.sequence},
                   {"partial", news.partial},
                   {"loads", EncodeLoads(news.loads)}};
  json::object lines;
  for (const auto& [pool, waiting] : news.lines)
    lines[pool] = waiting;
  out["lines"] = std::move(lines);
  json::array questions;
  for (const silence_question& each : news.questions)
    questions.push_back({json::string(each.replica.str()), each.within_ms});
  out["questions"] = std::move(questions);
  out["heard_of"] = EncodeIds(news.heard_of);
  return out;
}

peer_news DecodeObject(const json::object& from) {
  peer_news news;
  news.partial = from.at("partial").as_bool();
  news.node = base::node_id(Text(from.at("node")));
  news.incarnation = Whole(from.at("incarnation"));
  news.sequence = Whole(from.at("sequence"));
  news.loads = DecodeLoads(from.at("loads").as_array());
  for (const auto& [pool, waiting] : from.at("lines").as_object())
    news.lines[std::string(pool)] = waiting.to_number<int>();
  for (const json::value& each : from.at("questions").as_array()) {
    const json::array& fields = each.as_array();
    news.questions.push_back({base::instance_id(Text(fields.at(0))),
                              fields.at(1).to_number<std::int64_t>()});
  }
  news.heard_of = DecodeIds(from.at("heard_of").as_array());
  if (news.partial)
    return news;
  news.configuration = Whole(from.at("configuration"));
  news.seen_requests = from.at("seen_requests").as_bool();
  news.stopping = from.at("stopping").as_bool();
  news.store_reachable = from.at("store_reachable").as_bool();
  news.cores = from.at("cores").to_number<double>();
  news.suspects = DecodeIds(from.at("suspects").as_array());
  for (const json::value& each : from.at("crashes").as_array()) {
    const json::array& fields = each.as_array();
    news.crashes.push_back({base::fingerprint(Whole(fields.at(0))),
                            base::instance_id(Text(fields.at(1)))});
  }
  for (const auto& [service, statement] : from.at("statements").as_object())
    news.statements[std::string(service)] =
        DecodeStatement(statement.as_object());
  return news;
}

bool Newer(const group_statement& a, const group_statement& b) {
  return std::tie(a.term, a.edition) > std::tie(b.term, b.edition);
}

}  // namespace

std::string EncodeNews(const peer_news& news) {
  json::object out = EncodePart(news);
  if (news.partial)
    return json::serialize(out);
  json::array crashes;
  for (const gateway::crash_sighting& each : news.crashes)
    crashes.push_back({each.request.value(), json::string(each.replica.str())});
  json::object statements;
  for (const auto& [service, statement] : news.statements)
    statements[service] = EncodeStatement(statement);
  out["configuration"] = news.configuration;
  out["seen_requests"] = news.seen_requests;
  out["stopping"] = news.stopping;
  out["store_reachable"] = news.store_reachable;
  out["cores"] = news.cores;
  out["suspects"] = EncodeIds(news.suspects);
  out["crashes"] = std::move(crashes);
  out["statements"] = std::move(statements);
  std::string text = json::serialize(out);
  for (const char* spare : {"statements", "crashes"}) {
    if (text.size() <= kMaxDatagram)
      break;
    if (out[spare].is_object())
      out[spare] = json::object();
    else
      out[spare] = json::array();
    text = json::serialize(out);
  }
  return text;
}

std::optional<peer_news> DecodeNews(std::string_view text) {
  try {
    return DecodeObject(
        json::parse(json::string_view(text.data(), text.size())).as_object());
  } catch (const std::exception&) {
    // Not ours, or cut on the way: the sender's next datagram says it again.
    return std::nullopt;
  }
}

bool peer_table::Take(peer_news news, base::time_point now) {
  peer& known = peers_[news.node];
  const auto order = [](const peer_news& of) {
    return std::pair(of.incarnation, of.sequence);
  };
  // After a silence any incarnation is taken: a node that restarted with its
  // clock set back would otherwise stay unheard.
  const bool silent = now - known.heard >= kSilence;
  const bool restarted = news.incarnation != known.news.incarnation;
  if (order(news) <= order(known.news) && !(silent && restarted))
    return false;
  for (const auto& [service, statement] : news.statements) {
    group_statement& held = statements_[service];
    if (Newer(statement, held))
      held = statement;
  }
  known.heard = now;
  Replace(known, std::move(news.loads), news.partial);
  if (news.partial) {
    known.news.node = std::move(news.node);
    known.news.incarnation = news.incarnation;
    known.news.sequence = news.sequence;
    known.news.lines = std::move(news.lines);
    return true;
  }
  news.loads = std::move(known.news.loads);
  known.news = std::move(news);
  return true;
}

void peer_table::Replace(peer& of, gateway::load_map loads, bool partial) {
  gateway::load_map& held = of.news.loads;
  if (!partial) {
    // What a full statement leaves out is no longer placed.
    for (const auto& [instance, load] : held)
      loads.try_emplace(instance);
  }
  for (const auto& [instance, load] : loads) {
    const auto before = held.find(instance);
    if (before != held.end())
      sums_[instance] -= before->second;
    sums_[instance] += load;
    changed_.insert(instance);
    if (load.running > 0)
      held[instance] = load;
    else
      held.erase(instance);
    if (load.running <= 0)
      sums_[instance] -= load;
  }
}

bool peer_table::IsLive(const base::node_id& node,
                        base::time_point now,
                        base::duration silence) const {
  const auto found = peers_.find(node);
  return found != peers_.end() && now - found->second.heard < silence &&
         !found->second.news.stopping;
}

std::vector<base::node_id> peer_table::Live(base::time_point now,
                                            base::duration silence) const {
  std::vector<base::node_id> live;
  for (const auto& [node, peer] : peers_) {
    if (IsLive(node, now, silence))
      live.push_back(node);
  }
  return live;
}

std::vector<base::node_id> peer_table::AbleToAct(base::time_point now,
                                                 base::duration silence) const {
  auto able = Live(now, silence);
  std::erase_if(able, [&](const base::node_id& node) {
    return !peers_.at(node).news.store_reachable;
  });
  return able;
}

std::vector<base::node_id> peer_table::MayAct(const peer_news& self,
                                              const base::node_id& actor,
                                              base::time_point now,
                                              base::duration silence) const {
  auto able = AbleToAct(now, silence);
  if (actor != self.node && !IsLive(actor, now, kActorSilence))
    std::erase(able, actor);
  able.push_back(self.node);
  const auto cores = [&](const base::node_id& node) {
    return node == self.node ? self.cores : peers_.at(node).news.cores;
  };
  double most = 0;
  for (const base::node_id& each : able)
    most = std::max(most, cores(each));
  std::erase_if(able, [&](const base::node_id& each) {
    return cores(each) < kStrong * most;
  });
  return able;
}

gateway::load_map peer_table::TakeChangedLoads(base::time_point now,
                                               base::duration silence) {
  for (auto& [node, peer] : peers_) {
    if (now - peer.heard >= silence && !peer.news.loads.empty())
      Replace(peer, {}, false);
  }
  gateway::load_map out;
  for (const base::instance_id& each : std::exchange(changed_, {})) {
    out[each] = sums_[each];
    if (sums_[each].running <= 0)
      sums_.erase(each);
  }
  return out;
}

gateway::line_map peer_table::Lines(base::time_point now,
                                    base::duration silence) const {
  gateway::line_map sums;
  for (const auto& [node, peer] : peers_) {
    if (!IsLive(node, now, silence))
      continue;
    for (const auto& [pool, waiting] : peer.news.lines)
      sums[pool] += waiting;
  }
  return sums;
}

std::optional<group_statement> peer_table::Statement(
    const std::string& service) const {
  const auto found = statements_.find(service);
  if (found == statements_.end())
    return std::nullopt;
  return found->second;
}

std::uint64_t peer_table::NewestConfiguration() const {
  std::uint64_t newest = 0;
  for (const auto& [node, peer] : peers_)
    newest = std::max(newest, peer.news.configuration);
  return newest;
}

bool peer_table::AnySeenRequests() const {
  for (const auto& [node, peer] : peers_) {
    if (peer.news.seen_requests)
      return true;
  }
  return false;
}

}  // namespace flamingoshunt::fleet
