// Defines a caller's validated request and the problems that callers receive.
#ifndef FLAMINGOSHUNT_CALLER_MESSAGES_H_
#define FLAMINGOSHUNT_CALLER_MESSAGES_H_

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "catalogue/entry.h"

namespace flamingoshunt::caller {

enum class call_shape {
  kCompletion,      ///< POST /v1/completions
  kChatCompletion,  ///< POST /v1/chat/completions
  kService          ///< /services/<entry>/...
};

struct request {
  base::request_id id;    ///< Generated; unique even if callers reuse ids.
  std::string echoed_id;  ///< X-Request-Id of the answer.
  base::workspace_id workspace;
  base::entry_name entry;
  call_shape shape = call_shape::kCompletion;
  /// The less urgent of the entry's class and the workspace's best class.
  catalogue::work_class work = catalogue::work_class::kStandard;
  std::string method;
  std::string target;  ///< Path and query to use at the endpoint.
  std::string content_type;
  std::string body;
  bool stream = false;
  bool repeatable = true;
  std::string idempotency_key;  ///< Empty when none was given.
  std::optional<base::time_point> deadline;
  std::string traceparent;
  std::uint64_t prompt_tokens = 0;  ///< Estimated.
  std::uint64_t max_tokens = 0;     ///< Zero if unlimited.
  base::fingerprint fingerprint;
  std::vector<std::uint64_t> prefix_hashes;
};

/// Whether a refused or failed request ran.
enum class run_outcome { kNotRun, kUnknown };

/// Rendered as application/problem+json.
struct problem {
  int status = 500;  ///< HTTP status.
  std::string type;  ///< Short stable name, such as "queue_full".
  std::string detail;
  run_outcome outcome = run_outcome::kNotRun;
  std::optional<std::chrono::seconds> retry_after = std::nullopt;
};

}  // namespace flamingoshunt::caller

#endif  // FLAMINGOSHUNT_CALLER_MESSAGES_H_
