// Defines what a replica reports about itself, in the platform's list or when
// queried: its address, whether it is leaving, and its membership in a group.
#ifndef FLAMINGOSHUNT_FLEET_REPLICA_H_
#define FLAMINGOSHUNT_FLEET_REPLICA_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace flamingoshunt::fleet {

enum class member_state { kJoining, kReady, kOpen, kClosing, kBroken };

/// @return the name used in logs.
const char* NameOf(member_state state);

/// A replica's membership in a group, as reported by the replica.
struct membership {
  std::string group;
  base::epoch epoch;
  int rank = 0;  ///< 0 is the head, which accepts the requests.
  member_state state = member_state::kJoining;
  bool operator==(const membership&) const = default;
};

/// The part that orders change; in the list and in reports.
struct engine_state {
  std::uint64_t started_ms = 0;  ///< Unix time at which the process started.
  base::fabric_domain_id fabric_domain;
  std::vector<std::string> staged_models;  ///< Weights on its host.
  std::string model;  ///< Of its latest group since the start.
  std::optional<membership> member;
  double slowness = 1;  ///< Multiplies its times; slow if above 1.
  bool busy = false;    ///< Executing an order; only in reports.
  /// Orders that the process has begun since its start; only in reports.
  std::optional<std::uint64_t> orders_begun;
  bool operator==(const engine_state&) const = default;
};

/// An entry of the platform's list of replicas.
struct replica {
  base::instance_id id;
  std::string service;
  std::string address;  ///< "IP:port".
  base::failure_domain_id failure_domain;
  int slots = 1;
  bool leaving = false;  ///< Draining; gets no new requests.
  /// How long it stays cold, as of the writing of its entry.
  base::duration cold_remaining{};
  engine_state engine;
  bool operator==(const replica&) const = default;
};

}  // namespace flamingoshunt::fleet

#endif  // FLAMINGOSHUNT_FLEET_REPLICA_H_
