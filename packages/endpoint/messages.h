// Defines the messages between the product and one endpoint instance: the
// instance's reports, the orders sent to it, the events of its prefix cache,
// and the attempts that carry requests.
#ifndef FLAMINGOSHUNT_ENDPOINT_MESSAGES_H_
#define FLAMINGOSHUNT_ENDPOINT_MESSAGES_H_

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace flamingoshunt::endpoint {

/// An endpoint instance as given by the platform's list, which may lag.
struct instance {
  base::instance_id id;
  std::string address;  ///< "IP:port" for orders, reports and requests.
  base::failure_domain_id failure_domain;
  base::fabric_domain_id fabric_domain;
  base::region_id region;
  bool leaving = false;
  bool operator==(const instance&) const = default;
};

struct load {
  int running = 0;        ///< Requests in the batch.
  int queued = 0;         ///< Requests waiting inside the engine.
  double cache_used = 0;  ///< Fraction of the KV cache in use, 0 to 1.
  bool operator==(const load&) const = default;
};

enum class member_state { kIdle, kLoading, kReady, kDraining, kFailed };

/// An instance's report of its own state. An instance that returns after a
/// failure reports the epoch that it last belonged to, which may be outdated.
struct report {
  base::instance_id instance;
  base::replica_id replica;  ///< Empty if it belongs to none.
  base::epoch epoch;
  member_state state = member_state::kIdle;
  base::entry_name entry;
  std::string version;  ///< Loaded model version.
  bool leaving = false;
  endpoint::load load;
  std::uint64_t sequence = 0;  ///< Increases with each report of one process.
  base::duration age{};        ///< Time between measurement and sending.
  bool operator==(const report&) const = default;
};

enum class order_kind {
  kJoin,      ///< Load the model and become a member of the replica.
  kRelease,   ///< Leave the replica and become idle.
  kDrain,     ///< Finish running work, accept nothing new.
  kAdapters,  ///< Change the set of loaded adapters.
};

using order_id = base::number_id<struct order_tag>;

/// An order to one instance. An instance that checks fencing numbers refuses an
/// order whose number is lower than the highest it has received. For one that
/// ignores them, protection comes from the order's validity and from the checks
/// of the instance's own reports.
struct order {
  order_id id;
  order_kind kind = order_kind::kJoin;
  base::instance_id target;
  std::string address;
  base::replica_id replica;
  base::epoch epoch;
  base::revision fencing_number;
  base::entry_name entry;
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  std::vector<base::instance_id> members;  ///< In rank order.
  base::duration validity{};               ///< Older orders are dropped.
};

enum class order_outcome {
  kAccepted,
  kStale,        ///< Refused for its fencing number.
  kRefused,      ///< Refused for another reason.
  kUnreachable,  ///< Certainly not accepted.
  kUnknown       ///< May be accepted, now or until its validity ends.
};

struct order_result {
  order_id id;
  base::instance_id instance;
  order_outcome outcome = order_outcome::kUnknown;
};

/// A change of an instance's prefix cache. Events may arrive late and with gaps
/// in sequence.
struct cache_event {
  base::instance_id instance;
  std::uint64_t sequence = 0;
  std::vector<std::uint64_t> added;    ///< Prefix hashes.
  std::vector<std::uint64_t> removed;  ///< Prefix hashes.
};

/// Position at which a broken stream resumes.
struct resume_point {
  std::uint64_t offset = 0;  ///< Tokens the caller already has.
  std::string text;          ///< Their text.
};

/// One attempt of one request at one endpoint.
struct attempt {
  base::attempt_id id;
  base::request_id request;
  base::replica_id replica;
  base::epoch epoch;
  std::string address;
  std::string method;
  std::string target;  ///< Path and query at the endpoint.
  std::string content_type;
  std::string body;
  int priority = 0;  ///< Passed to the engine; lower runs first.
  bool stream = false;
  bool fresh_connection = false;  ///< Do not use a pooled one.
  std::optional<resume_point> resume;
  std::string traceparent;
};

/// The head of the endpoint's answer.
struct answer_head {
  base::attempt_id attempt;
  int status = 0;  ///< HTTP status.
  std::string content_type;
};

/// One piece of an answer: text at a token offset for a stream, or bytes of the
/// body with a token_count of zero for a plain answer.
struct answer_chunk {
  base::attempt_id attempt;
  std::uint64_t offset = 0;  ///< Token offset, or byte offset.
  std::uint64_t token_count = 0;
  std::string data;
};

/// The endpoint reports the answer as complete.
struct answer_end {
  base::attempt_id attempt;
  std::uint64_t total = 0;  ///< Tokens (streams) or bytes (plain answers).
  std::string finish_reason;
};

enum class break_kind {
  kConnectFailed,  ///< No byte of the request was sent.
  kRefused,        ///< The endpoint reported that it did not run it.
  kStalled,        ///< No progress within the timeout.
  kClosed,         ///< The connection closed early.
  kMalformed,      ///< The answer violates the protocol.
};

/// The attempt ended without a complete answer.
struct answer_broken {
  base::attempt_id attempt;
  break_kind kind = break_kind::kClosed;
  bool request_may_have_been_sent = true;  ///< Any byte was written.
  std::string detail;
};

}  // namespace flamingoshunt::endpoint

#endif  // FLAMINGOSHUNT_ENDPOINT_MESSAGES_H_
