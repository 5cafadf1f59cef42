// Defines the messages between the delivery of one request and admission:
// request a slot, receive a grant or a refusal, report progress, release the
// slot.
#ifndef FLAMINGOSHUNT_ADMISSION_MESSAGES_H_
#define FLAMINGOSHUNT_ADMISSION_MESSAGES_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "catalogue/entry.h"
#include "endpoint/messages.h"
#include "membership/messages.h"
#include "replica/messages.h"
#include "routing/messages.h"

namespace flamingoshunt::admission {

/// Requests a slot on a replica; sent again for each new attempt.
struct slot_request {
  routing::request_shape shape;
  catalogue::work_class work = catalogue::work_class::kStandard;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t max_tokens = 0;  ///< The caller's own bound; zero if none.
  std::optional<base::time_point> deadline;
  int attempt = 1;  ///< Above one, the retry budget is charged.
  /// Its stream may be cancelled while it runs and resumed at its offset.
  bool resumable = false;
  /// Repeated after a preemption; nothing failed and no retry is charged.
  bool preempted = false;
  std::uint64_t tokens_done = 0;  ///< Of the answer, by earlier attempts.
};

struct grant {
  base::request_id request;
  routing::placement place;
  int engine_priority = 0;
};

enum class refusal_reason {
  kUnknownEntry,
  kOverLimit,  ///< The workspace's or entry's own limit.
  kQueueFull,
  kDeadline,     ///< Cannot start in time.
  kNoReplica,    ///< None is serving.
  kQuarantined,  ///< The request crashed endpoints before.
  kRetryBudget,  ///< This node's retry budget is spent.
  kConfigurationUnconfirmed,
  kStopping
};

/// The request gets no slot. It did not run in this attempt.
struct refusal {
  base::request_id request;
  refusal_reason reason = refusal_reason::kQueueFull;
  std::optional<base::duration> retry_after;
};

/// Queued short work needs the slot of this long request. Delivery cancels the
/// attempt, releases the slot as cancelled and requests a slot again with
/// @c preempted and @c tokens_done set. Sent only for resumable requests.
struct preemption {
  base::request_id request;
  base::replica_id replica;
  base::epoch epoch;
};

/// Tokens produced since the last progress message.
struct progress {
  base::request_id request;
  std::uint64_t tokens = 0;
};

/// Releases the slot of a finished attempt.
struct release {
  routing::attempt_finished finished;
};

/// The caller disconnected or the request ended while it was queued.
struct withdrawal {
  base::request_id request;
};

/// The catalogue in force; @c confirmed is false while this node cannot
/// determine whether a newer one has been accepted.
struct catalogue_in_force {
  catalogue::snapshot_ptr snapshot;
  bool confirmed = true;
};

/// The nodes between which fleet-wide limits are divided, agreed by a
/// conditional write to the platform store. A node that restarts is listed with
/// its new incarnation, under a higher revision.
struct limit_roster {
  struct member {
    base::node_id node;
    std::uint64_t incarnation = 0;
    auto operator<=>(const member&) const = default;
  };
  base::revision version;
  std::vector<member> members;
};

/// An operator lifts the quarantine of a request.
struct lift_quarantine {
  base::fingerprint fingerprint;
};

/// The time returned by NextTimer() has come.
struct tick {};

/// The node shuts down; requests not yet admitted are refused.
struct shutdown_started {};

using input = std::variant<slot_request,
                           progress,
                           release,
                           withdrawal,
                           catalogue_in_force,
                           limit_roster,
                           lift_quarantine,
                           replica::serving_changed,
                           endpoint::report,
                           endpoint::cache_event,
                           membership::item,
                           membership::peers_changed,
                           tick,
                           shutdown_started>;

using effect = std::variant<grant, refusal, preemption, membership::publish>;
using effects = std::vector<effect>;

}  // namespace flamingoshunt::admission

#endif  // FLAMINGOSHUNT_ADMISSION_MESSAGES_H_
