// Defines what a replica says of itself, in the platform's list or when asked:
// where it listens, whether it is leaving, and its place in a group.
#ifndef FLAMINGOSHUNT_FLEET_REPLICA_H_
#define FLAMINGOSHUNT_FLEET_REPLICA_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"

namespace flamingoshunt::fleet {

enum class member_state { kJoining, kReady, kOpen, kClosing, kBroken };

/// @return the name used in logs.
const char* NameOf(member_state state);

/// A replica's place in a group, as it reports it.
struct membership {
  std::string group;
  base::epoch epoch;
  int rank = 0;  ///< 0 is the head, which takes the requests.
  member_state state = member_state::kJoining;
  bool operator==(const membership&) const = default;
};

/// The part that changes with orders; told in the list and in reports.
struct engine_state {
  std::uint64_t started_ms = 0;  ///< Unix time of this start of the process.
  base::fabric_domain_id fabric_domain;
  std::vector<std::string> staged_models;  ///< Models on its host.
  std::string model;  ///< Of its last group since the start.
  std::optional<membership> member;
  double slowness = 1;  ///< Factor on its times; above 1 it is slow.
  bool busy = false;    ///< Carries out an order; told in reports only.
  bool operator==(const engine_state&) const = default;
};

/// An entry of the platform's list.
struct replica {
  base::instance_id id;
  std::string service;
  std::string address;  ///< "IP:port".
  base::failure_domain_id failure_domain;
  int slots = 1;
  bool leaving = false;
  engine_state engine;
  bool operator==(const replica&) const = default;
};

}  // namespace flamingoshunt::fleet

#endif  // FLAMINGOSHUNT_FLEET_REPLICA_H_
