// Defines the inputs and effects of the state machine that carries one request
// from its acceptance to its complete answer. The I/O thread passes inputs in
// and performs the effects in order; the machine itself uses no socket and
// reads no clock.
#ifndef FLAMINGOSHUNT_DELIVERY_MESSAGES_H_
#define FLAMINGOSHUNT_DELIVERY_MESSAGES_H_

#include <string>
#include <variant>
#include <vector>

#include "admission/messages.h"
#include "base/clock.h"
#include "caller/messages.h"
#include "endpoint/messages.h"
#include "store/messages.h"

namespace flamingoshunt::delivery {

// Inputs.

/// The first input: a validated request.
struct request_accepted {
  caller::request request;
};
/// The caller closed its connection.
struct caller_disconnected {};
/// The time of the last set_timer has been reached.
struct timer_fired {};
/// The node is stopping: running work completes, no new work starts.
struct node_stopping {};

using input = std::variant<request_accepted,
                           caller_disconnected,
                           timer_fired,
                           node_stopping,
                           admission::grant,
                           admission::refusal,
                           admission::preemption,
                           endpoint::answer_head,
                           endpoint::answer_chunk,
                           endpoint::answer_end,
                           endpoint::answer_broken,
                           store::reply>;

// Effects.

struct request_slot {
  admission::slot_request slot_request;
};
struct withdraw_slot_request {
  admission::withdrawal withdraw;
};
struct release_slot {
  admission::release release;
};
struct report_progress {
  admission::progress progress;
};
struct start_attempt {
  endpoint::attempt attempt;
};
struct cancel_attempt {
  base::attempt_id attempt;
};
struct call_platform {
  store::call call;
};
/// Replaces any earlier timer of this request.
struct set_timer {
  base::time_point when;
};
/// Starts the answer to the caller.
struct send_head {
  int status = 200;
  std::string content_type;
  bool stream = false;
};
struct send_chunk {
  std::uint64_t offset = 0;
  std::uint64_t token_count = 0;
  std::string data;
};
/// The answer is complete and the request is finished for the caller.
struct send_end {
  std::uint64_t total = 0;
  std::string finish_reason;
};
/// Refuses or fails the request: as an HTTP error before send_head, as an
/// explicit error event (or an aborted connection) after it.
struct send_problem {
  caller::problem problem;
};

using effect = std::variant<request_slot,
                            withdraw_slot_request,
                            release_slot,
                            report_progress,
                            start_attempt,
                            cancel_attempt,
                            call_platform,
                            set_timer,
                            send_head,
                            send_chunk,
                            send_end,
                            send_problem>;

using effects = std::vector<effect>;

}  // namespace flamingoshunt::delivery

#endif  // FLAMINGOSHUNT_DELIVERY_MESSAGES_H_
