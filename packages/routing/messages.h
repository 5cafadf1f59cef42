// Defines the messages of routing: the request to place, the resulting
// placement and the outcome of an attempt.
#ifndef FLAMINGOSHUNT_ROUTING_MESSAGES_H_
#define FLAMINGOSHUNT_ROUTING_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "endpoint/messages.h"
#include "replica/messages.h"

namespace flamingoshunt::routing {

/// The properties of a request that routing uses.
struct request_shape {
  base::request_id request;
  base::workspace_id workspace;
  base::entry_name entry;
  base::fingerprint fingerprint;
  std::vector<std::uint64_t> prefix_hashes;  ///< Shortest prefix first.
  double cost = 1;  ///< Estimated tokens, prompt and answer together.
  bool expected_long = false;
  std::vector<base::replica_id> excluded;  ///< Already tried by this request.
};

struct placement {
  base::replica_id replica;
  base::epoch epoch;
  std::string address;
  base::failure_domain_id failure_domain;
};

enum class attempt_result {
  kCompleted,
  kCancelled,  ///< By this node or the caller; no failure of the replica.
  kSlow,       ///< Abandoned for lack of progress.
  kBroken,     ///< The endpoint failed while it ran.
  kNotStarted  ///< Never reached the endpoint, or refused there.
};

/// Outcome of an attempt of this node.
struct attempt_finished {
  base::request_id request;
  base::replica_id replica;
  base::epoch epoch;
  base::fingerprint fingerprint;
  attempt_result result = attempt_result::kCompleted;
  base::duration to_first_token{};
  base::duration total{};
  std::uint64_t tokens = 0;
};

}  // namespace flamingoshunt::routing

#endif  // FLAMINGOSHUNT_ROUTING_MESSAGES_H_
