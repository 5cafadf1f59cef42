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
struct group_statement {
  std::uint64_t term = 0;
  std::uint64_t edition = 0;  ///< Rises with every change within the term.
  std::vector<serving_group> groups;
  bool operator==(const group_statement&) const = default;
};

/// A node that hears nothing of a replica asks whether others do.
struct silence_question {
  base::instance_id replica;
  std::int64_t within_ms = 0;  ///< Heard of within this refutes a stall.
  bool operator==(const silence_question&) const = default;
};

struct peer_news {
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
  gateway::line_map lines;  ///< All that waits at this node.
  std::vector<silence_question> questions;
  std::vector<base::instance_id> heard_of;  ///< Answers: these go on.
  std::vector<base::instance_id> suspects;  ///< Stand still, as seen here.
  std::vector<gateway::crash_sighting> crashes;
  std::map<std::string, group_statement> statements;  ///< By service.
};

/// Datagrams above this are cut by dropping statements, then loads.
inline constexpr std::size_t kMaxDatagram = 32 * 1024;

std::string EncodeNews(const peer_news& news);

/// @return nothing when @p text is not news.
std::optional<peer_news> DecodeNews(std::string_view text);

/// What a node knows of its peers.
class peer_table {
 public:
  /// A peer that said nothing for so long counts as gone. Several datagrams
  /// may be lost before that.
  static constexpr base::duration kSilence = std::chrono::milliseconds(1200);
  /// An acting node tells its news often whatever the fleet's size, so that its
  /// loss shows soon.
  static constexpr base::duration kActorSilence =
      std::chrono::milliseconds(1500);
  /// Who has less of a processor than this part of the strongest doesn't act.
  static constexpr double kStrong = 0.75;

  /// @return whether the news are newer than what was known of that node.
  bool Take(peer_news news, base::time_point now);

  /// @return the nodes heard of within the bound, for as long as they serve.
  std::vector<base::node_id> Live(base::time_point now,
                                  base::duration silence) const;
  /// @return the live nodes that reach the platform's store.
  std::vector<base::node_id> AbleToAct(base::time_point now,
                                       base::duration silence) const;
  /// @param self  its name, processor and reach of the store.
  /// @param actor who acts now.
  /// @return the nodes that may act: the strongest of those that reach the
  ///         store, without an actor that fell silent.
  std::vector<base::node_id> MayAct(const peer_news& self,
                                    const base::node_id& actor,
                                    base::time_point now,
                                    base::duration silence) const;
  bool IsLive(const base::node_id& node,
              base::time_point now,
              base::duration silence) const;

  /// @return the sums of what the peers have placed, for those replicas whose
  ///         sum changed since the last call. A peer that fell silent counts
  ///         for nothing.
  gateway::load_map TakeChangedLoads(base::time_point now,
                                     base::duration silence);

  /// @return what waits at the live peers together.
  gateway::line_map Lines(base::time_point now, base::duration silence) const;

  /// @return the newest statement about @p service, by term and edition.
  std::optional<group_statement> Statement(const std::string& service) const;

  /// @return the highest configuration version that a peer holds.
  std::uint64_t NewestConfiguration() const;
  bool AnySeenRequests() const;

 private:
  struct peer {
    peer_news news;
    base::time_point heard{};
  };

  void Replace(peer& of, gateway::load_map loads, bool partial);

  std::map<base::node_id, peer> peers_;
  std::map<std::string, group_statement> statements_;
  gateway::load_map sums_;
  std::set<base::instance_id> changed_;
};

}  // namespace flamingoshunt::fleet

#endif  // FLAMINGOSHUNT_FLEET_PEER_STATUS_H_
