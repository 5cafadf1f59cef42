// Defines how one request's answer goes out to its caller: a stream of events,
// one whole completion, or a service's bytes. A strategy for each form; the
// session drives it with the effects of the request machine.
#ifndef FLAMINGOSHUNT_DAEMON_ANSWER_WRITER_H_
#define FLAMINGOSHUNT_DAEMON_ANSWER_WRITER_H_

#include <memory>
#include <string>

#include "base/clock.h"
#include "caller/messages.h"
#include "delivery/messages.h"
#include "runtime/http_server.h"

namespace flamingoshunt::daemon {

class answer_writer {
 public:
  virtual ~answer_writer() = default;

  /// Each writes to the caller and may suspend the fiber.
  virtual void Head(const delivery::send_head& head) = 0;
  virtual void Chunk(const delivery::send_chunk& chunk) = 0;
  virtual void End(const delivery::send_end& end) = 0;
  virtual void Problem(const caller::problem& problem) = 0;
};

/// Sends @p problem as application/problem+json.
void SendProblem(runtime::http_exchange& exchange,
                 const caller::problem& problem,
                 const std::string& echoed_id);

/// @param echoed_id goes out as X-Request-Id.
/// @param max_bytes bound on a whole answer that must be collected.
std::unique_ptr<answer_writer> MakeAnswerWriter(
    runtime::http_exchange& exchange,
    const caller::request& request,
    std::string echoed_id,
    base::wall_time now,
    std::size_t max_bytes);

}  // namespace flamingoshunt::daemon

#endif  // FLAMINGOSHUNT_DAEMON_ANSWER_WRITER_H_
