#include <catch2/catch.hpp>

#include <functional>

#include "caller/tests/fakes/sample_requests.h"

namespace flamingoshunt::caller {
namespace {

struct refused_request {
  std::function<void(sample_request&)> modify;
  int status;
  std::string type;
};

std::function<void(sample_request&)> SetBody(std::string body) {
  return [body](sample_request& sample) { sample.body = body; };
}

std::function<void(sample_request&)> AddHeader(std::string name,
                                               std::string value) {
  return [=](sample_request& sample) {
    sample.headers.push_back({name, value});
  };
}

std::function<void(sample_request&)> SetServiceTarget(std::string target) {
  return
      [=](sample_request& sample) { sample = MakeServiceCall("PUT", target); };
}

std::string MakePromptBody(const std::string& prompt) {
  return R"({"model":"ripen-llm","prompt":)" + prompt + "}";
}

const std::vector<refused_request>& RefusedRequests() {
  using s = sample_request;
  static const std::vector<refused_request> rows = {
      {[](s& r) { r.headers.clear(); }, 401, "key_missing"},
      {[](s& r) { r.headers[0].second = "Bearer wrong"; }, 401, "key_unknown"},
      {[](s& r) { r.headers[0].second = "Basic secret"; }, 401, "key_missing"},
      {AddHeader("authorization", "Bearer secret"), 400, "header_repeated"},
      {[](s& r) { r.headers.resize(kMaxHeaderFields + 1); }, 431,
       "headers_too_many"},
      {AddHeader("X", std::string(kMaxHeaderBytes, 'x')), 431,
       "headers_too_large"},
      {AddHeader("Idempotency-Key", ""), 400, "idempotency_key_invalid"},
      {AddHeader("Idempotency-Key", std::string(256, 'k')), 400,
       "idempotency_key_invalid"},
      {AddHeader("X-Request-Deadline-Ms", "0"), 400, "deadline_invalid"},
      {AddHeader("X-Request-Deadline-Ms", "5s"), 400, "deadline_invalid"},
      {AddHeader("X-Request-Deadline-Ms", "99999999999999999999"), 400,
       "deadline_invalid"},
      {[](s& r) { r.method = "GET"; }, 405, "method_not_allowed"},
      {[](s& r) { r.target = "/v2/x"; }, 404, "path_unknown"},
      {[](s& r) { r.target = ""; }, 400, "target_invalid"},
      {[](s& r) { r.target = "/" + std::string(kMaxTargetBytes, 'a'); }, 414,
       "target_too_long"},
      {SetBody("{"), 400, "body_invalid"},
      {SetBody("[]"), 400, "body_invalid"},
      {SetBody(R"({"model":"ripen-llm"})"), 400, "body_invalid"},
      {SetBody(MakePromptBody("{}")), 400, "body_invalid"},
      {SetBody(MakePromptBody(R"(["a","b"])")), 400, "body_invalid"},
      {SetBody(MakePromptBody(R"("a","n":2)")), 400, "body_invalid"},
      {SetBody(MakePromptBody(R"("a","max_tokens":-1)")), 400, "body_invalid"},
      {SetBody(MakePromptBody(R"("a","stream":"yes")")), 400, "body_invalid"},
      {SetBody(
           MakePromptBody('"' + std::string(kMaxPromptBytes + 1, 'a') + '"')),
       413, "prompt_too_large"},
      {SetBody(std::string(kMaxBodyBytes + 1, ' ')), 413, "body_too_large"},
      {SetBody(R"({"model":"room-ops","prompt":"a"})"), 404, "entry_unknown"},
      {SetBody(R"({"model":"other","prompt":"a"})"), 404, "entry_unknown"},
      {[](s& r) {
         r.target = "/v1/chat/completions";
         r.body = R"({"model":"ripen-llm","messages":[]})";
       },
       400, "body_invalid"},
      {[](s& r) {
         r.target = "/v1/chat/completions";
         r.body = R"({"model":"ripen-llm","messages":[{"content":1}]})";
       },
       400, "body_invalid"},
      {[](s& r) { r.target = "/services/ripen-llm/x"; }, 404, "entry_unknown"},
      {SetServiceTarget("/%6frders"), 400, "target_invalid"},
      {SetServiceTarget("/rooms/../orders"), 400, "target_invalid"},
      {SetServiceTarget("//orders"), 400, "target_invalid"},
      {SetServiceTarget("/orders%2"), 400, "target_invalid"},
  };
  return rows;
}

}  // namespace

TEST_CASE("An invalid request is refused with its own 4xx and as not run") {
  for (std::size_t i = 0; i < RefusedRequests().size(); ++i) {
    sample_request sample;
    RefusedRequests()[i].modify(sample);
    const parsed_request parsed = sample.Parse();
    INFO("row " << i);
    REQUIRE(std::holds_alternative<problem>(parsed.result));
    const problem& refused = std::get<problem>(parsed.result);
    CHECK(refused.status == RefusedRequests()[i].status);
    CHECK(refused.type == RefusedRequests()[i].type);
    CHECK(refused.outcome == run_outcome::kNotRun);
    CHECK_FALSE(parsed.echoed_id.empty());
  }
}

}  // namespace flamingoshunt::caller
