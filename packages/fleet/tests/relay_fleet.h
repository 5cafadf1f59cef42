// Defines a fleet of relay networks in virtual time, whose datagrams may be
// lost and whose nodes may be paused, cut off and restarted. Each node counts
// the load it has placed, as the dispatcher of a gateway does.
#ifndef FLAMINGOSHUNT_FLEET_TESTS_RELAY_FLEET_H_
#define FLAMINGOSHUNT_FLEET_TESTS_RELAY_FLEET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "fleet/relay_network.h"
#include "fleet/relayed_loads.h"

namespace flamingoshunt::fleet {

class relay_fleet {
 public:
  static constexpr base::duration kStep = std::chrono::milliseconds(5);
  static constexpr base::duration kReportPeriod =
      std::chrono::milliseconds(500);
  static constexpr double kManyCores = 0.5;
  static constexpr double kFewCores = 0.12;
  static constexpr int kNodesPerManyCores = 12;

  /// @param domains failure domains, over which the nodes are spread evenly.
  relay_fleet(int nodes, int domains, std::uint64_t seed) : random_(seed) {
    for (int i = 0; i < nodes; ++i) {
      const double cores =
          i < domains * std::max(1, nodes / domains / kNodesPerManyCores)
              ? kManyCores
              : kFewCores;
      infos_[Name(i)] = {
          base::failure_domain_id("d" + std::to_string(i % domains)), cores};
    }
    for (int i = 0; i < nodes; ++i)
      Start(i);
  }

  static base::node_id Name(int index) {
    return base::node_id("n" + std::to_string(index));
  }

  base::time_point now() const { return now_; }
  double loss = 0;
  std::set<base::node_id> cut;     ///< Neither send nor receive.
  std::set<base::node_id> paused;  ///< Do nothing; datagrams wait for them.

  void Start(int index) {
    auto& started = members_[Name(index)];
    started = std::make_unique<member>(Name(index), ++incarnations_);
    started->network.SetNodes(infos_, now_);
    started->next_report = now_;
  }

  /// The node has placed @p running requests on @p replica in total.
  void Place(int index, const std::string& replica, int running) {
    member& placing = *members_.at(Name(index));
    const base::instance_id id(replica);
    peer_status changes = Status(placing, true);
    if (running > 0)
      placing.own[id] = {running, running, running};
    else
      placing.own.erase(id);
    changes.loads[id] = {running, running, running};
    Report(placing, std::move(changes));
  }

  void Suspect(int index, const std::string& replica) {
    member& suspecting = *members_.at(Name(index));
    peer_status changes = Status(suspecting, true);
    changes.suspects = {base::instance_id(replica)};
    Report(suspecting, std::move(changes));
  }

  void Announce(int index, const group_announcement& announcement) {
    member& leader = *members_.at(Name(index));
    leader.announcements["s"] = announcement;
    Report(leader, Status(leader, false));
  }

  void Query(int index, const std::string& replica) {
    member& asking = *members_.at(Name(index));
    const base::instance_id id(replica);
    peer_status note = Status(asking, true);
    note.kind = status_kind::kNote;
    note.queries = {{id, 1}};
    const std::string text = EncodePeerStatus(note);
    for (const base::node_id& relay : asking.loads.RelaysWithLoad(id)) {
      if (relay == asking.id)
        Perform(asking, asking.network.Take(note, true, now_));
      else
        Post(asking.id, relay, text);
    }
  }

  void Run(base::duration length) {
    for (const auto end = now_ + length; now_ < end; now_ += kStep) {
      Deliver();
      for (auto& [id, each] : members_) {
        if (paused.contains(id))
          continue;
        if (now_ >= each->next_report)
          Report(*each, Status(*each, false));
        Perform(*each, each->network.Tick(now_));
      }
    }
  }

  /// @return what node @p index believes that the others have on @p replica.
  int PeerLoad(int index, const std::string& replica) {
    member& asked = *members_.at(Name(index));
    for (const auto& [instance, load] :
         asked.loads.TakeChanged(now_, peer_table::kPeerTimeout))
      asked.peer_loads[instance] = load.running;
    return asked.peer_loads[base::instance_id(replica)];
  }

  std::size_t LiveNodes(int index) {
    return members_.at(Name(index))
               ->peers.LiveNodes(now_, relay::kMemberTimeout)
               .size() +
           1;
  }
  bool Suspects(int index, const std::string& replica) {
    return members_.at(Name(index))
        ->suspects.contains(base::instance_id(replica));
  }
  bool WasAsked(int index, const std::string& replica) {
    return members_.at(Name(index))
        ->queries.contains(base::instance_id(replica));
  }
  std::uint64_t Edition(int index) {
    return members_.at(Name(index))->newest.edition;
  }
  bool WentBack(int index) { return members_.at(Name(index))->went_back; }
  std::vector<base::node_id> Relays() {
    std::vector<base::node_id> relays;
    for (auto& [id, each] : members_) {
      if (each->network.IsRelay(now_))
        relays.push_back(id);
    }
    return relays;
  }
  int IndexOf(const base::node_id& id) const {
    return std::stoi(id.str().substr(1));
  }
  std::uint64_t DatagramsReceived(int index) {
    return members_.at(Name(index))->datagrams;
  }
  std::uint64_t BytesReceived(int index) {
    return members_.at(Name(index))->bytes;
  }
  std::uint64_t bytes_between_domains() const { return bytes_between_; }

 private:
  struct member {
    member(const base::node_id& self, std::uint64_t started)
        : id(self), incarnation(started), network(self, started), loads(self) {}
    base::node_id id;
    std::uint64_t incarnation;
    std::uint64_t sequence = 0;
    relay_network network;
    relayed_loads loads;
    peer_table peers;
    gateway::load_map own;
    std::map<base::instance_id, int> peer_loads;
    std::set<base::instance_id> suspects;
    std::set<base::instance_id> queries;
    std::map<std::string, group_announcement> announcements;
    announcement_version newest;
    bool went_back = false;
    base::time_point next_report{};
    std::uint64_t datagrams = 0;
    std::uint64_t bytes = 0;
  };
  struct flying {
    base::node_id from;
    base::node_id to;
    std::string text;
  };

  peer_status Status(member& from, bool partial) {
    peer_status status;
    status.node = from.id;
    status.incarnation = from.incarnation;
    status.sequence = ++from.sequence;
    status.partial = partial;
    status.cores = infos_.at(from.id).cores;
    if (!partial) {
      status.loads = from.own;
      status.announcements = from.announcements;
    }
    return status;
  }

  void Report(member& from, peer_status status) {
    if (!status.partial)
      from.next_report = now_ + kReportPeriod;
    from.loads.OnReported(status.sequence, from.own);
    Perform(from, from.network.Report(std::move(status), now_));
  }

  void Perform(member& by, const relay_effects& effects) {
    for (const outgoing_datagram& datagram : effects.send) {
      for (const base::node_id& to : datagram.to)
        Post(by.id, to, datagram.text);
    }
    for (const peer_status& own : effects.apply)
      Apply(by, own);
  }

  void Post(const base::node_id& from,
            const base::node_id& to,
            const std::string& text) {
    if (infos_.at(from).failure_domain != infos_.at(to).failure_domain)
      bytes_between_ += text.size();
    if (cut.contains(from) || cut.contains(to) ||
        base::RandomUnit(random_) < loss)
      return;
    in_flight_.push_back({from, to, text});
  }

  void Deliver() {
    std::vector<flying> kept;
    for (flying& each : std::exchange(in_flight_, {})) {
      if (paused.contains(each.to)) {
        kept.push_back(std::move(each));
        continue;
      }
      member& to = *members_.at(each.to);
      ++to.datagrams;
      to.bytes += each.text.size();
      for (const peer_status& status : DecodeDatagram(each.text)) {
        if (status.node == to.id)
          continue;
        Perform(to, to.network.Take(status, status.node == each.from, now_));
        Apply(to, status);
      }
    }
    in_flight_.insert(in_flight_.end(), kept.begin(), kept.end());
  }

  void Apply(member& to, const peer_status& status) {
    if (status.kind == status_kind::kReport)
      return;
    if (status.kind == status_kind::kDigest) {
      if (!to.loads.Apply(status, now_))
        return;
      for (const relay_member& each : status.members) {
        if (each.node != to.id)
          to.peers.ApplyMember(each, now_);
      }
    }
    to.suspects.insert(status.suspects.begin(), status.suspects.end());
    for (const peer_activity_query& query : status.queries) {
      if (!query.requesting_node.empty())
        to.queries.insert(query.replica);
    }
    to.peers.ApplyAnnouncements(status.announcements);
    if (const auto known = to.peers.Announcement("s")) {
      const announcement_version version{known->term, known->edition};
      to.went_back = to.went_back || version < to.newest;
      to.newest = version;
    }
  }

  base::random_engine random_;
  base::time_point now_{std::chrono::hours(1)};
  std::uint64_t incarnations_ = 0;
  std::map<base::node_id, fleet_node> infos_;
  std::map<base::node_id, std::unique_ptr<member>> members_;
  std::vector<flying> in_flight_;
  std::uint64_t bytes_between_ = 0;
};

}  // namespace flamingoshunt::fleet

#endif  // FLAMINGOSHUNT_FLEET_TESTS_RELAY_FLEET_H_
