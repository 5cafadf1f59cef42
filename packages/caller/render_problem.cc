#include "caller/render_problem.h"

#include <boost/json.hpp>

#include <algorithm>

#include "caller/utf8.h"

namespace flamingoshunt::caller {
namespace {

// "queue_full" becomes "Queue full".
std::string MakeTitle(std::string type) {
  std::replace(type.begin(), type.end(), '_', ' ');
  if (!type.empty() && type.front() >= 'a' && type.front() <= 'z')
    type.front() = static_cast<char>(type.front() - 'a' + 'A');
  return type;
}

}  // namespace

std::string RenderProblemJson(const problem& problem) {
  boost::json::object json;
  json["type"] = problem.type;
  json["title"] = MakeTitle(problem.type);
  json["status"] = problem.status;
  json["detail"] = ReplaceInvalidUtf8(problem.detail);
  json["outcome"] =
      problem.outcome == run_outcome::kNotRun ? "not_run" : "unknown";
  if (problem.retry_after)
    json["retry_after"] = problem.retry_after->count();
  return boost::json::serialize(json);
}

rendered_answer RenderProblem(const problem& problem,
                              const std::string& echoed_id) {
  rendered_answer answer{.status = problem.status,
                         .content_type = "application/problem+json",
                         .headers = {{"X-Request-Id", echoed_id}},
                         .body = RenderProblemJson(problem)};
  if (problem.retry_after)
    answer.headers.push_back(
        {"Retry-After", std::to_string(problem.retry_after->count())});
  if (problem.status == 401)
    answer.headers.push_back({"WWW-Authenticate", "Bearer"});
  return answer;
}

}  // namespace flamingoshunt::caller
