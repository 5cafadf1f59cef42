// Defines the request that a node passes to a peer because it reaches no
// endpoint itself: the caller's request as it came, and what the first node
// knows of it. A peer never passes it on.
#ifndef FLAMINGOSHUNT_GATEWAY_PEER_REQUEST_H_
#define FLAMINGOSHUNT_GATEWAY_PEER_REQUEST_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "runtime/http_client.h"

namespace flamingoshunt::gateway {

/// A node that takes requests of its peers.
struct peer_node {
  base::node_id node;
  std::string address;  ///< "IP:port".
  /// Services of which it reaches no endpoint.
  std::set<std::string> cut_off_services;
  bool operator==(const peer_node&) const = default;
};

struct peer_request {
  runtime::http_request request;    ///< The caller's, unchanged.
  base::duration elapsed{};         ///< Since the caller's request was read.
  std::uint64_t configuration = 0;  ///< In force at the first node.
  int attempts = 0;                 ///< That may have reached a replica.
  /// Last event that the caller has.
  std::optional<std::uint64_t> resume_after;
  bool has_begun = false;  ///< The caller has part of the answer.
};

/// Bytes of a passed request beyond the caller's body: its head, and the fields
/// of this message.
inline constexpr std::size_t kPeerRequestOverhead = 64 * 1024;

runtime::http_request EncodePeerRequest(const peer_request& passed,
                                        const std::string& address);

/// @return nothing if @p message is no passed request.
std::optional<peer_request> DecodePeerRequest(
    const runtime::http_request& message);

/// Field of a peer's refusal that concerns this peer alone; another one may
/// take the request. Holds the reason.
inline constexpr char kPeerRefusal[] = "Peer-Refusal";

/// @return whether @p head is such a refusal.
bool IsPeerRefusal(const runtime::http_response_head& head);

}  // namespace flamingoshunt::gateway

#endif  // FLAMINGOSHUNT_GATEWAY_PEER_REQUEST_H_
