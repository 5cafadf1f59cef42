// Defines the status that nodes send each other as JSON datagrams: their
// identity, their configuration version, the load they have placed, the
// replicas they suspect, and, from the leader of a service's groups, which
// groups serve. A full datagram holds the complete state, so a lost one only
// causes a delay. In a large fleet nodes send their status to a relay, whose
// digests hold the sums over its members (fleet/relay.h). On the wire, queue
// lengths are "lines", queries "questions", active replicas "heard_of" and
// announcements "statements".
#ifndef FLAMINGOSHUNT_FLEET_PEER_STATUS_H_
#define FLAMINGOSHUNT_FLEET_PEER_STATUS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/cold_periods.h"
#include "fleet/evacuations.h"
#include "gateway/crash_attribution.h"
#include "gateway/fleet_view.h"

namespace flamingoshunt::fleet {

/// A group that the leader announces as serving.
struct serving_group {
  std::string name;
  base::epoch epoch;
  std::string model;
  base::instance_id head;
  bool operator==(const serving_group&) const = default;
};

/// All serving groups of a service, announced by the leader of @c term.
struct group_announcement {
  std::uint64_t term = 0;
  std::uint64_t edition = 0;  ///< Increases with every change in the term.
  std::vector<serving_group> groups;
  bool operator==(const group_announcement&) const = default;
};

/// Orders the announcements of a service.
struct announcement_version {
  std::uint64_t term = 0;
  std::uint64_t edition = 0;
  auto operator<=>(const announcement_version&) const = default;  // NOLINT
};

/// Asks the peers whether they see a replica active that this node doesn't.
struct peer_activity_query {
  base::instance_id replica;
  std::int64_t window_ms = 0;          ///< How recent counts as active.
  base::node_id requesting_node = {};  ///< Empty: the sender.
  bool operator==(const peer_activity_query&) const = default;
};

/// What a node knows of a replica's rate limit, and has sent there since.
struct limit_report {
  base::instance_id replica;
  std::optional<double> requests_per_second;  ///< Empty: no limit any more.
  base::duration age{};                       ///< Since the replica named it.
  std::uint64_t sent = 0;
  base::node_id reporter = {};  ///< Empty: the sender.
  bool operator==(const limit_report&) const = default;
};

/// What a status is for.
enum class status_kind {
  kStatus,  ///< From each node to each, in a small fleet.
  kReport,  ///< From a node to its relay.
  kDigest,  ///< From a relay: the sums over its members, itself included.
  kNote     ///< Queries, confirmations or announcements only.
};

/// What a relay knows of a member.
struct relay_member {
  base::node_id node;
  std::uint64_t sequence = 0;  ///< Of the last report in the sums.
  /// The fields below are set; otherwise they are unchanged.
  bool complete = false;
  std::uint64_t incarnation = 0;
  bool stopping = false;
  bool store_reachable = true;
  double cores = 0;
  std::set<std::string> cut_off_services;
  bool operator==(const relay_member&) const = default;
};

/// One datagram.
struct peer_status {
  /// Holds only the changed loads and limits, the queue lengths, the queries,
  /// the active replicas, the answered prompt parts and requests, the leaving
  /// replicas, the evacuated failure domains if they changed, and the new cold
  /// replicas, suspects, crashes and blamed prompt parts and requests, in a
  /// digest also the configuration, whether requests were seen and whether the
  /// store is reachable; everything else is unchanged.
  bool partial = false;
  status_kind kind = status_kind::kStatus;
  base::node_id node;
  std::uint64_t incarnation = 0;    ///< Increases with every start of the node.
  std::uint64_t sequence = 0;       ///< Increases with every datagram.
  std::uint64_t configuration = 0;  ///< Version in force; 0 for none.
  bool seen_requests = false;   ///< Callers have reached this node or a peer.
  bool stopping = false;        ///< The node is shutting down.
  bool store_reachable = true;  ///< It can be a leader.
  double cores = 0;             ///< Processor cores it may use; 0 if unknown.
  /// Services of which it reaches no endpoint.
  std::set<std::string> cut_off_services;
  gateway::load_map loads;
  std::vector<limit_report> limits;
  gateway::queue_length_map queue_lengths;  ///< At this node.
  std::vector<peer_activity_query> queries;
  std::vector<base::instance_id> active_replicas;  ///< Answers to queries.
  std::vector<base::instance_id> suspects;  ///< Stalled, as observed here.
  std::vector<gateway::crash_report> crashes;
  /// Prompt parts on which an answer was received although replicas crashed.
  std::vector<gateway::key_sighting> answered_parts;
  std::vector<gateway::key_sighting> blamed_parts;  ///< Refused here.
  /// The same of whole requests.
  std::vector<gateway::key_sighting> answered_requests;
  std::vector<gateway::key_sighting> blamed_requests;
  std::vector<gateway::replica_process> leaving;  ///< Found lately.
  /// Replicas that the store's list calls cold.
  std::vector<cold_report> cold;
  /// As the sender has read it from the store; in a digest the latest state
  /// that a member has read. Empty in a partial status if unchanged.
  std::optional<evacuation_state> evacuated;
  std::map<std::string, group_announcement> announcements;  ///< By service.
  /// Latest announcements that the sender knows; in reports and digests.
  std::map<std::string, announcement_version> known_announcements;
  bool farewell = false;  ///< The sender reports to another relay from now on.
  /// In a digest: the members with new reports; all of them if not partial.
  std::vector<relay_member> members;
};

/// Larger datagrams are reduced by dropping announcements, then crashes.
inline constexpr std::size_t kMaxDatagramBytes = 32 * 1024;

std::string EncodePeerStatus(const peer_status& status);

/// @return nothing if @p text is not a peer status.
std::optional<peer_status> DecodePeerStatus(std::string_view text);

/// Joins encoded statuses into as few datagrams as possible, each within
/// kMaxDatagramBytes unless a single status exceeds it.
std::vector<std::string> BundleStatuses(const std::vector<std::string>& texts);

/// @return the statuses of a datagram, bundled or single, without those that
///         can't be read.
std::vector<peer_status> DecodeDatagram(std::string_view text);

/// The latest status of each peer.
class peer_table {
 public:
  /// A peer that sends nothing for this long counts as failed. Several
  /// datagrams may be lost before that.
  static constexpr base::duration kPeerTimeout =
      std::chrono::milliseconds(1200);
  /// A leader sends its status often whatever the fleet's size, so that its
  /// failure is detected soon.
  static constexpr base::duration kLeaderTimeout =
      std::chrono::milliseconds(1500);
  /// Nodes with less than this fraction of the most cores don't become leader.
  static constexpr double kMinCoreFraction = 0.75;

  /// @return whether @p status is newer than the last one of that node.
  bool Apply(peer_status status, base::time_point now);

  /// A relay has received a report of a node. Reports that it received before
  /// the last one applied here change nothing.
  void ApplyMember(const relay_member& member, base::time_point now);

  /// @return the nodes received from within @p timeout that aren't stopping.
  std::vector<base::node_id> LiveNodes(base::time_point now,
                                       base::duration timeout) const;
  /// @return the live nodes that reach the platform's store.
  std::vector<base::node_id> NodesReachingStore(base::time_point now,
                                                base::duration timeout) const;
  /// @return the services of which @p node reaches no endpoint.
  std::set<std::string> CutOffServices(const base::node_id& node) const;
  /// @param self   this node's name, its cores, and what it is cut off from.
  /// @param service whose groups are led.
  /// @param leader the current leader.
  /// @return the nodes that may lead: of those that reach the store and, unless
  ///         none does, endpoints of @p service, those with the most cores,
  ///         without a leader that timed out.
  std::vector<base::node_id> LeaderCandidates(const peer_status& self,
                                              const std::string& service,
                                              const base::node_id& leader,
                                              base::time_point now,
                                              base::duration timeout) const;
  bool IsLive(const base::node_id& node,
              base::time_point now,
              base::duration timeout) const;

  /// @return the total load that the peers have placed, for the replicas whose
  ///         total changed since the last call. A peer that timed out counts as
  ///         having none.
  gateway::load_map TakeChangedLoads(base::time_point now,
                                     base::duration timeout);

  /// @return the total load that the peers have placed on @p replica.
  gateway::placed_load LoadOn(const base::instance_id& replica) const;

  /// Forgets a peer and its load.
  void Remove(const base::node_id& node);

  /// @return the nodes that have requests on @p replica.
  std::vector<base::node_id> NodesWithLoad(
      const base::instance_id& replica) const;

  /// @return the sums over the live peers.
  gateway::queue_length_map QueueLengths(base::time_point now,
                                         base::duration timeout) const;

  /// @return the newest announcement for @p service, by term and edition.
  std::optional<group_announcement> Announcement(
      const std::string& service) const;
  /// @return the versions of the newest announcements, by service.
  std::map<std::string, announcement_version> AnnouncementVersions() const;
  /// Keeps the announcements that are newer than the known ones.
  void ApplyAnnouncements(
      const std::map<std::string, group_announcement>& announcements);

  bool AnyPeerSeenRequests() const;

 private:
  struct peer {
    peer_status status;
    base::time_point last_received_at{};
  };

  void ReplaceLoads(peer& sender, gateway::load_map loads, bool partial);

  std::map<base::node_id, peer> peers_;
  std::map<std::string, group_announcement> announcements_;
  gateway::load_map load_sums_;
  std::set<base::instance_id> changed_loads_;
};

}  // namespace flamingoshunt::fleet

#endif  // FLAMINGOSHUNT_FLEET_PEER_STATUS_H_
