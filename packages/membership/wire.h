// Defines the typed messages between entry instances, before they are encoded:
// five requests and their answers. docs/interfaces/peer.md gives their form.
#ifndef FLAMINGOSHUNT_MEMBERSHIP_WIRE_H_
#define FLAMINGOSHUNT_MEMBERSHIP_WIRE_H_

#include <array>
#include <optional>
#include <tuple>
#include <variant>
#include <vector>

#include "membership/messages.h"

namespace flamingoshunt::membership {

/// Names one member or item for reconciliation; a hash of its key.
using record_id = base::number_id<struct record_tag>;

/// News about members and items. A later version replaces an earlier one.
struct updates {
  std::vector<peer> members;
  std::vector<item> items;
  bool empty() const { return members.empty() && items.empty(); }
  bool operator==(const updates&) const = default;
};

/// Are you there? Carries the hash of all that the sender knows.
struct ping {
  std::uint64_t digest = 0;
  updates carried;
  bool operator==(const ping&) const = default;
};

/// Asks a third node to ping @c target, which the sender can't reach.
struct indirect_ping {
  peer target;
  bool operator==(const indirect_ping&) const = default;
};

/// The nodes of one region whose position (hash of the id) lies from @c first
/// to @c last, both included.
struct node_range {
  base::region_id region;
  std::uint64_t first = 0;
  std::uint64_t last = ~std::uint64_t{0};
  bool operator==(const node_range&) const = default;
  bool operator<(const node_range& other) const {
    return std::tie(region, first, last) <
           std::tie(other.region, other.first, other.last);
  }
};

/// News for the receiver and, through it, for all nodes of @c range.
struct gossip {
  std::optional<node_range> range;
  updates carried;
  bool operator==(const gossip&) const = default;
};

inline constexpr std::size_t kDigestBuckets = 64;
using bucket_digests = std::array<std::uint32_t, kDigestBuckets>;

/// Asks what differs; records are spread over the buckets by id.
struct sync {
  bucket_digests buckets{};
  bool operator==(const sync&) const = default;
};

/// Gives what the receiver lacks and asks for what the sender lacks.
struct exchange {
  updates offered;
  std::vector<record_id> wanted;
  bool operator==(const exchange&) const = default;
};

using request = std::variant<ping, indirect_ping, gossip, sync, exchange>;

/// Answers ping.
struct ack {
  std::uint64_t digest = 0;
  updates carried;
  bool operator==(const ack&) const = default;
};

/// Answers indirect_ping.
struct indirect_ack {
  bool reached = false;
  updates carried;
  bool operator==(const indirect_ack&) const = default;
};

/// Answers gossip.
struct accepted {
  bool operator==(const accepted&) const = default;
};

struct record_stamp {
  record_id id;
  std::uint64_t version = 0;
  bool gone = false;  ///< A dead or left member, or a withdrawn item.
  bool operator==(const record_stamp&) const = default;
};

/// Answers sync: all records of the buckets named, which differ.
struct sync_answer {
  std::vector<std::uint32_t> buckets;
  std::vector<record_stamp> stamps;
  bool more = false;  ///< Other buckets differ too.
  bool operator==(const sync_answer&) const = default;
};

/// Answers exchange.
struct exchange_answer {
  updates carried;
  bool operator==(const exchange_answer&) const = default;
};

/// Answers any request whose counter was used before or is too old; the sender
/// goes on above @c highest.
struct counter_behind {
  std::uint64_t highest = 0;
  bool operator==(const counter_behind&) const = default;
};

using answer = std::variant<ack,
                            indirect_ack,
                            accepted,
                            sync_answer,
                            exchange_answer,
                            counter_behind>;

}  // namespace flamingoshunt::membership

#endif  // FLAMINGOSHUNT_MEMBERSHIP_WIRE_H_
