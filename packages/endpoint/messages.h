// Defines the messages between the product and one endpoint instance: the
// reports an instance gives of itself, the orders it takes, the events of its
// prefix cache, and the calls that carry requests.
#ifndef FLAMINGOSHUNT_ENDPOINT_MESSAGES_H_
#define FLAMINGOSHUNT_ENDPOINT_MESSAGES_H_

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace flamingoshunt::endpoint {

/// An endpoint instance as the platform's lagging list gives it.
struct instance {
  base::instance_id id;
  std::string address;  ///< "IP:port" of its orders, reports and requests.
  base::failure_domain_id failure_domain;
  base::fabric_domain_id fabric_domain;
  base::region_id region;
  bool leaving = false;
  bool operator==(const instance&) const = default;
};

struct load {
  int running = 0;        ///< Requests in the batch.
  int queued = 0;         ///< Requests waiting inside the engine.
  double cache_used = 0;  ///< Share of the KV cache in use, from 0 to 1.
  bool operator==(const load&) const = default;
};

enum class member_state { kIdle, kLoading, kReady, kDraining, kFailed };

/// What an instance says of itself. An instance that returns after a failure
/// reports the epoch it last belonged to, which may be old.
struct report {
  base::instance_id instance;
  base::replica_id replica;  ///< Empty when it belongs to none.
  base::epoch epoch;
  member_state state = member_state::kIdle;
  base::entry_name entry;
  std::string version;  ///< Model version that is loaded.
  bool leaving = false;
  endpoint::load load;
  std::uint64_t sequence = 0;  ///< Rises with each report of one process.
  base::duration age{};        ///< Time between measurement and sending.
  bool operator==(const report&) const = default;
};

enum class order_kind {
  kJoin,      ///< Load the model and become a member of the replica.
  kRelease,   ///< Leave the replica and become idle.
  kDrain,     ///< Finish what runs, take nothing new.
  kAdapters,  ///< Change the set of loaded adapters.
};

using order_id = base::number_id<struct order_tag>;

/// An order to one instance. An instance that checks fencing numbers refuses
/// one lower than the highest it has seen; one that ignores them relies on
/// validity and on the gate that its own reports make.
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
  base::duration validity{};  ///< The instance drops it when older.
};

enum class order_outcome {
  kAccepted,
  kStale,        ///< Refused for its fencing number.
  kRefused,      ///< Refused for another reason.
  kUnreachable,  ///< Surely not taken.
  kUnknown       ///< May be taken, now or until its validity ends.
};

struct order_result {
  order_id id;
  base::instance_id instance;
  order_outcome outcome = order_outcome::kUnknown;
};

/// A change of an instance's prefix cache; late, and with gaps in sequence.
struct cache_event {
  base::instance_id instance;
  std::uint64_t sequence = 0;
  std::vector<std::uint64_t> added;    ///< Prefix hashes.
  std::vector<std::uint64_t> removed;  ///< Prefix hashes.
};

/// Where a broken stream goes on.
struct resume_point {
  std::uint64_t offset = 0;  ///< Tokens the caller already has.
  std::string text;          ///< Their text.
};

/// One try of one request at one endpoint.
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
  bool fresh_connection = false;  ///< Never a pooled one.
  std::optional<resume_point> resume;
  std::string traceparent;
};

/// The endpoint's answer has begun.
struct answer_head {
  base::attempt_id attempt;
  int status = 0;  ///< HTTP status.
  std::string content_type;
};

/// One piece of an answer. For streams, text at a token offset; for whole
/// answers, bytes of the body with token_count zero.
struct answer_chunk {
  base::attempt_id attempt;
  std::uint64_t offset = 0;  ///< Token offset, or byte offset.
  std::uint64_t token_count = 0;
  std::string data;
};

/// The answer is complete as far as the endpoint says.
struct answer_end {
  base::attempt_id attempt;
  std::uint64_t total = 0;  ///< Tokens (streams) or bytes (whole answers).
  std::string finish_reason;
};

enum class break_kind {
  kConnectFailed,  ///< No byte of the request left.
  kRefused,        ///< The endpoint said that it didn't run it.
  kStalled,        ///< No progress within the bound.
  kClosed,         ///< The connection ended early.
  kMalformed,      ///< The answer is not of the agreed form.
};

/// The attempt is over without a complete answer.
struct answer_broken {
  base::attempt_id attempt;
  break_kind kind = break_kind::kClosed;
  bool request_may_have_been_sent = true;  ///< Any byte of it was written.
  std::string detail;
};

}  // namespace flamingoshunt::endpoint

#endif  // FLAMINGOSHUNT_ENDPOINT_MESSAGES_H_
