// Defines how a problem is rendered as an HTTP answer: application/problem+json
// with the outcome, and Retry-After if a retry time is known.
#ifndef FLAMINGOSHUNT_CALLER_RENDER_PROBLEM_H_
#define FLAMINGOSHUNT_CALLER_RENDER_PROBLEM_H_

#include <string>
#include <utility>
#include <vector>

#include "caller/messages.h"

namespace flamingoshunt::caller {

struct answer_header {
  std::string name;
  std::string value;
};

struct rendered_answer {
  int status = 200;
  std::string content_type;
  std::vector<answer_header> headers;  ///< Besides type and length.
  std::string body;
};

/// @return the problem as JSON: type, title, status, detail, outcome
///         ("not_run" or "unknown") and, if known, retry_after in seconds.
std::string RenderProblemJson(const problem& problem);

/// @param echoed_id value of X-Request-Id.
rendered_answer RenderProblem(const problem& problem,
                              const std::string& echoed_id);

}  // namespace flamingoshunt::caller

#endif  // FLAMINGOSHUNT_CALLER_RENDER_PROBLEM_H_
