// Defines what entry instances tell each other: who lives, and small pieces of
// state that slices publish to all others (catalogue versions, limit shares,
// crash suspicions, load). Slices see peers only through these messages.
#ifndef FLAMINGOSHUNT_MEMBERSHIP_MESSAGES_H_
#define FLAMINGOSHUNT_MEMBERSHIP_MESSAGES_H_

#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace flamingoshunt::membership {

enum class peer_state { kAlive, kSuspect, kDead, kLeft };

struct peer {
  base::node_id id;
  std::uint64_t incarnation = 0;  ///< Rises when the node restarts or refutes.
  std::string address;            ///< "IP:port" of its peer interface.
  base::failure_domain_id failure_domain;
  base::region_id region;
  peer_state state = peer_state::kAlive;
  bool operator==(const peer&) const = default;
};

/// A piece of state that one node publishes. A later version from the same
/// origin replaces an earlier one.
struct item {
  std::string topic;  ///< "catalogue", "limits", "crash", "load", "ready".
  std::string key;
  base::node_id origin;
  std::uint64_t version = 0;
  std::string value;  ///< JSON text, at most 4 KiB.
  bool operator==(const item&) const = default;
};

/// Inputs from other slices of the same node. An empty value withdraws the key.
struct publish {
  std::string topic;
  std::string key;
  std::string value;
};
/// The node is about to stop; it tells the others and its object goes.
struct leave {};
/// Time has reached what NextTimer() said.
struct tick {};

/// Outputs to other slices of the same node. An item with an empty value was
/// withdrawn by its origin.
struct item_received {
  item received;
};
struct peers_changed {
  std::vector<peer> peers;  ///< All known, without this node.
};

/// Names one call from this node to a peer.
using peer_call_id = base::number_id<struct peer_call_tag>;
/// Names one call from a peer, as chosen by whoever carries it.
using peer_request_handle = base::number_id<struct peer_request_tag>;

/// Output: POST @c body to /peer at @c address. One peer_call_answered or
/// peer_call_failed is expected within @c timeout; later ones are ignored.
struct peer_call {
  peer_call_id id;
  base::node_id to;
  std::string address;
  std::string body;
  base::duration timeout{};
};
/// Input: the body of the answer to a peer_call.
struct peer_call_answered {
  peer_call_id id;
  std::string body;
};
/// Input: a peer_call brought no answer.
struct peer_call_failed {
  peer_call_id id;
};

/// Input: the body of a POST to this node's /peer.
struct peer_request {
  peer_request_handle handle;
  std::string body;
};
/// Output: the body of the answer to a peer_request; it may come with the
/// effects of a later input, at most kMaxAnswerDelay later.
struct peer_answer {
  peer_request_handle handle;
  std::string body;
};

/// Longest time after which a peer_request is answered.
inline constexpr base::duration kMaxAnswerDelay = std::chrono::seconds(2);

}  // namespace flamingoshunt::membership

#endif  // FLAMINGOSHUNT_MEMBERSHIP_MESSAGES_H_
