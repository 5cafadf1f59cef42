// Defines how the nodes of a large fleet inform each other through relays: each
// node reports to the relay of its failure domain, each relay sends a digest of
// its members to the other relays, and passes theirs on to its members. A node
// receives the same few datagrams a second at any size of the fleet, and one
// copy of each crosses between two failure domains.
//
// A relay is whichever node is reported to (fleet/relay_choice.h); nothing has
// to be agreed. docs/design/peer-news.md weighs the alternatives.
#ifndef FLAMINGOSHUNT_FLEET_RELAY_NETWORK_H_
#define FLAMINGOSHUNT_FLEET_RELAY_NETWORK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "fleet/peer_status.h"
#include "fleet/relay.h"
#include "fleet/relay_choice.h"

namespace flamingoshunt::fleet {

/// What ranks a node as a relay.
struct fleet_node {
  base::failure_domain_id failure_domain;
  double cores = 0;  ///< Processor cores it may use; 0 if unknown.
  bool operator==(const fleet_node&) const = default;
};

/// Text for each of the named nodes.
struct outgoing_datagram {
  std::vector<base::node_id> to;
  std::string text;
};

struct relay_effects {
  std::vector<outgoing_datagram> send;
  /// For this node itself, as if received from the sender that they name.
  std::vector<peer_status> apply;
};

/// Uses no sockets and no clock.
class relay_network {
 public:
  /// In smaller fleets each node sends its status to each, which is faster.
  static constexpr std::size_t kMaxMeshNodes = 32;
  /// Time between two digests of a relay while its members report changes.
  static constexpr base::duration kDigestPeriod = std::chrono::milliseconds(50);
  /// From a report to its effect at a node of another failure domain: two
  /// relays wait for half of their period each.
  static constexpr base::duration kMeanDelay = std::chrono::milliseconds(60);
  /// Time between two digests without changes.
  static constexpr base::duration kKeepAlive = std::chrono::milliseconds(250);
  /// Time between two full digests, which repair lost ones.
  static constexpr base::duration kFullPeriod = std::chrono::seconds(1);

  /// @param incarnation increases with every start of the node.
  relay_network(base::node_id self, std::uint64_t incarnation);

  /// @param nodes all nodes that may run, this one included. Those without a
  ///        failure domain run a program that knows no relays.
  void SetNodes(std::map<base::node_id, fleet_node> nodes,
                base::time_point now);

  /// @return whether relays are used: the fleet is large, and most of its nodes
  ///         know them.
  bool in_use() const {
    return nodes_.size() > kMaxMeshNodes && nodes_.size() > unable_nodes_;
  }

  /// Sends this node's own status to its relay.
  /// @param own a status with a sequence; its kind is set here, and its
  ///        announcements travel apart.
  relay_effects Report(peer_status own, base::time_point now);

  /// Takes a report, a digest or a note that was received.
  /// @param direct whether its author sent it, rather than a relay.
  relay_effects Take(const peer_status& status,
                     bool direct,
                     base::time_point now);

  relay_effects Tick(base::time_point now);
  base::time_point NextTimer(base::time_point now) const;

  /// @return the nodes that get the reports of this one.
  std::vector<base::node_id> ReportTargets() const { return choice_.Targets(); }
  /// @return whether other nodes report to this one.
  bool IsRelay(base::time_point now) const {
    return in_use() && !relay_.Members(now).empty();
  }
  /// @return whether digests of its relay arrive at this node.
  bool HasRelay(base::time_point now) const;

 private:
  void TakeReport(const peer_status& report,
                  base::time_point now,
                  relay_effects& out);
  void TakeDigest(const peer_status& digest,
                  bool direct,
                  base::time_point now,
                  relay_effects& out);
  void ForwardQueries(const peer_status& note, relay_effects& out) const;
  void SendAnnouncements(
      const std::map<std::string, announcement_version>& known,
      std::vector<base::node_id> to,
      relay_effects& out) const;
  void SendNewAnnouncements(base::time_point now, relay_effects& out);
  void SendDigest(base::time_point now, relay_effects& out);
  base::duration CurrentPeriod() const;
  std::vector<base::node_id> OtherRelays(base::time_point now) const;
  bool Relays(base::time_point now) const;
  peer_status MakeNote() const;

  base::node_id self_;
  std::uint64_t incarnation_;
  std::uint64_t digest_sequence_ = 0;
  std::map<base::node_id, fleet_node> nodes_;  ///< That know relays.
  std::size_t unable_nodes_ = 0;
  /// By failure domain, the best relay first.
  std::map<base::failure_domain_id, std::vector<base::node_id>> ranked_;
  relay_choice choice_;
  relay relay_;
  peer_table announced_;  ///< Only its announcements.
  /// Versions sent to members and relays last, and when.
  std::map<std::string, announcement_version> sent_versions_;
  base::time_point announced_at_{};
  std::map<base::node_id, base::time_point> acting_relays_;  ///< Last digest.
  std::vector<std::string> to_pass_on_;  ///< Digests for the members.
  base::time_point digest_received_at_{};
  base::time_point last_digest_at_{};
  base::time_point last_full_at_{};
  bool urgent_ = false;
  // Of this node, as last reported:
  bool store_reachable_ = false;
  std::uint64_t configuration_ = 0;
};

}  // namespace flamingoshunt::fleet

#endif  // FLAMINGOSHUNT_FLEET_RELAY_NETWORK_H_
