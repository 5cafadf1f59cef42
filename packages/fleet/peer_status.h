// Defines what nodes tell each other, as one datagram of JSON: who they are,
// which configuration they hold, what they have placed, which replicas they
// suspect, and, from the node that acts for the groups of a service, which
// groups serve. A datagram states everything, so a lost one costs only time.
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
#include "gateway/crash_guard.h"
#include "gateway/fleet_view.h"

namespace flamingoshunt::fleet {

/// A group as the acting node vouches for it.
struct serving_group {
  std::string name;
  base::epoch epoch;
  std::string model;
  base::instance_id head;
  bool operator==(const serving_group&) const = default;
};

/// All serving groups of a service, by the node that acts under @c term.
struct group_announcement {
  std::uint64_t term = 0;
  std::uint64_t edition = 0;  ///< Rises with every change within the term.
  std::vector<serving_group> groups;
  bool operator==(const group_announcement&) const = default;
};

/// A node that hears nothing of a replica asks whether others do.
struct peer_activity_query {
  base::instance_id replica;
  std::int64_t window_ms = 0;  ///< Heard of within this refutes a stall.
  bool operator==(const peer_activity_query&) const = default;
};

struct peer_status {
  /// Only the loads that changed, the lines, the questions and the answers are
  /// told; all else is as it was.
  bool partial = false;
  base::node_id node;
  std::uint64_t incarnation = 0;    ///< Rises from start to start of a node.
  std::uint64_t sequence = 0;       ///< Rises with every datagram.
  std::uint64_t configuration = 0;  ///< Version in force; 0 for none.
  bool seen_requests = false;  ///< Callers have reached this node or a peer.
  bool stopping = false;
  bool store_reachable = true;  ///< It can act for groups.
  double cores = 0;  ///< Part of a processor that it has; 0 while unknown.
  gateway::load_map loads;
  gateway::queue_length_map queue_lengths;  ///< All that waits at this node.
  std::vector<peer_activity_query> queries;
  std::vector<base::instance_id> active_replicas;  ///< Answers: these go on.
  std::vector<base::instance_id> suspects;  ///< Stand still, as seen here.
  std::vector<gateway::crash_report> crashes;
  std::map<std::string, group_announcement> announcements;  ///< By service.
};

/// Datagrams above this are cut by dropping statements, then loads.
inline constexpr std::size_t kMaxDatagramBytes = 32 * 1024;

std::string EncodePeerStatus(const peer_status& status);

/// @return nothing when @p text is not news.
std::optional<peer_status> DecodePeerStatus(std::string_view text);

/// What a node knows of its peers.
class peer_table {
 public:
  /// A peer that said nothing for so long counts as gone. Several datagrams
  /// may be lost before that.
  static constexpr base::duration kPeerTimeout =
      std::chrono::milliseconds(1200);
  /// An acting node tells its news often whatever the fleet's size, so that its
  /// loss shows soon.
  static constexpr base::duration kLeaderTimeout =
      std::chrono::milliseconds(1500);
  /// Who has less of a processor than this part of the strongest doesn't act.
  static constexpr double kMinCoreFraction = 0.75;

  /// @return whether the news are newer than what was known of that node.
  bool Apply(peer_status status, base::time_point now);

  /// @return the nodes heard of within the bound, for as long as they serve.
  std::vector<base::node_id> LiveNodes(base::time_point now,
                                       base::duration timeout) const;
  /// @return the live nodes that reach the platform's store.
  std::vector<base::node_id> NodesReachingStore(base::time_point now,
                                                base::duration timeout) const;
  /// @param self  its name, processor and reach of the store.
  /// @param actor who acts now.
  /// @return the nodes that may act: the strongest of those that reach the
  ///         store, without an actor that fell silent.
  std::vector<base::node_id> LeaderCandidates(const peer_status& self,
                                              const base::node_id& leader,
                                              base::time_point now,
                                              base::duration timeout) const;
  bool IsLive(const base::node_id& node,
              base::time_point now,
              base::duration timeout) const;

  /// @return the sums of what the peers have placed, for those replicas whose
  ///         sum changed since the last call. A peer that fell silent counts
  ///         for nothing.
  gateway::load_map TakeChangedLoads(base::time_point now,
                                     base::duration timeout);

  /// @return what waits at the live peers together.
  gateway::queue_length_map QueueLengths(base::time_point now,
                                         base::duration timeout) const;

  /// @return the newest statement about @p service, by term and edition.
  std::optional<group_announcement> Announcement(
      const std::string& service) const;

  /// @return the highest configuration version that a peer holds.
  std::uint64_t NewestConfiguration() const;
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
