#include "replica/loss.h"

#include <algorithm>

#include "base/checked_json.h"
#include "base/hash.h"

namespace flamingoshunt::replica {

loss_detector::loss_detector(const settings& config, base::node_id self)
    : settings_(config), self_(std::move(self)), alive_{self_.str()} {}

void loss_detector::SetPeers(const std::vector<membership::peer>& peers) {
  alive_ = {self_.str()};
  std::set<base::node_id> known;
  for (const membership::peer& peer : peers) {
    if (peer.state != membership::peer_state::kAlive || peer.id == self_)
      continue;
    alive_.push_back(peer.id.str());
    known.insert(peer.id);
  }
  leader_orders_.clear();
  for (auto& [domain, observations] : peer_observations_)
    std::erase_if(observations, [&](const auto& element) {
      return !known.contains(element.first);
    });
}

void loss_detector::OnPeerItem(const membership::item& item) {
  if (item.topic != kLossTopic || item.origin == self_)
    return;
  base::json_problems problems;
  const auto parsed = base::ParseJson(item.value, problems);
  if (!parsed)
    return;
  base::object_reader reader(*parsed, "", problems);
  observation peer_observation;
  peer_observation.unreachable = reader.Boolean("dark", false);
  for (std::string& id : reader.Strings("silent"))
    peer_observation.unresponsive.emplace(std::move(id));
  reader.Finish();
  if (problems.empty())
    peer_observations_[base::fabric_domain_id(item.key)][item.origin] =
        std::move(peer_observation);
}

const std::vector<base::node_id>& loss_detector::LeaderOrder(
    const std::string& key) {
  const auto [at, added] = leader_orders_.try_emplace(key);
  if (!added)
    return at->second;
  for (const std::size_t index : base::RendezvousOrder(key, alive_))
    at->second.emplace_back(alive_[index]);
  return at->second;
}

std::size_t loss_detector::LeaderRank(const std::string& key) {
  const std::vector<base::node_id>& order = LeaderOrder(key);
  return std::find(order.begin(), order.end(), self_) - order.begin();
}

bool loss_detector::IsLossConfirmed(const base::fabric_domain_id& domain,
                                    const base::instance_id& id,
                                    bool mass) {
  const std::vector<base::node_id>& order = LeaderOrder(domain.str());
  if (order.size() == 1)
    return !mass;
  const std::size_t voters =
      std::min(order.size(), static_cast<std::size_t>(settings_.voters));
  const auto observations = peer_observations_.find(domain);
  std::size_t votes = 0;
  for (std::size_t i = 0; i < voters; ++i) {
    if (order[i] == self_) {
      ++votes;
      continue;
    }
    if (observations == peer_observations_.end())
      continue;
    const auto peer_observation = observations->second.find(order[i]);
    if (peer_observation != observations->second.end() &&
        (peer_observation->second.unreachable ||
         peer_observation->second.unresponsive.contains(id)))
      ++votes;
  }
  return votes * 2 > voters;
}

loss_detector::observation loss_detector::ObserveDomain(
    const domain_liveness& domain_state) const {
  observation own;
  own.unreachable = !domain_state.unresponsive.empty() &&
                    domain_state.unresponsive.size() == domain_state.known;
  if (own.unreachable)
    return own;
  for (const instance_state* state : domain_state.unresponsive)
    own.unresponsive.insert(state->info.id);
  while (own.unresponsive.size() > kMaxListedUnresponsive)
    own.unresponsive.erase(std::prev(own.unresponsive.end()));
  return own;
}

std::string loss_detector::ToJson(const observation& peer_observation) {
  boost::json::array unresponsive;
  for (const base::instance_id& id : peer_observation.unresponsive)
    unresponsive.emplace_back(id.str());
  return boost::json::serialize(
      boost::json::object{{"dark", peer_observation.unreachable},
                          {"silent", std::move(unresponsive)}});
}

std::vector<membership::publish> loss_detector::Evaluate(
    const instance_table& instances,
    base::time_point now) {
  std::map<base::fabric_domain_id, domain_liveness> domains;
  for (const auto& [id, state] : instances.all()) {
    const bool unresponsive = !state.ActiveWithin(settings_.loss_timeout, now);
    if (!unresponsive && !state.listed)
      continue;
    domain_liveness& domain = domains[state.info.fabric_domain];
    ++domain.known;
    if (unresponsive)
      domain.unresponsive.push_back(&state);
  }
  lost_.clear();
  std::vector<membership::publish> items;
  for (const auto& [domain, domain_state] : domains) {
    const bool mass = domain_state.unresponsive.size() > 1 &&
                      domain_state.unresponsive.size() >
                          settings_.mass_loss_share * domain_state.known;
    for (const instance_state* state : domain_state.unresponsive) {
      if (state->IsLeaving() || IsLossConfirmed(domain, state->info.id, mass))
        lost_.insert(state->info.id);
    }
    observation own = ObserveDomain(domain_state);
    observation& before = published_[domain];
    if (own == before)
      continue;
    before = own;
    items.push_back({kLossTopic, domain.str(), ToJson(own)});
  }
  return items;
}

}  // namespace flamingoshunt::replica
