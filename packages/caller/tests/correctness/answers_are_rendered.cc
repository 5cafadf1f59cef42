#include <catch2/catch.hpp>

#include <boost/json.hpp>

#include "caller/render_problem.h"
#include "caller/render_stream.h"

namespace flamingoshunt::caller {
namespace {

const base::wall_time kCreated(std::chrono::seconds(1000));

request MakeChatRequest() {
  request request;
  request.id = base::request_id("7");
  request.shape = call_shape::kChatCompletion;
  request.entry = base::entry_name("ripen-llm");
  request.prompt_tokens = 3;
  return request;
}

boost::json::value ParseData(const std::string& event) {
  REQUIRE(event.rfind("data: ", 0) == 0);
  return boost::json::parse(event.substr(6, event.find("\n\n") - 6));
}

}  // namespace

TEST_CASE("A chat streams deltas, then finish reason and usage, then [DONE]") {
  stream_renderer renderer(MakeChatRequest(), kCreated);
  const auto first = ParseData(renderer.RenderChunk("18 \xc2"));
  CHECK(first.at_pointer("/choices/0/delta/role") == "assistant");
  CHECK(first.at_pointer("/choices/0/delta/content") == "18 ");
  CHECK(first.at_pointer("/object") == "chat.completion.chunk");
  const auto second = ParseData(renderer.RenderChunk("\xb0"));
  CHECK(second.at_pointer("/choices/0/delta/content") == "\xc2\xb0");
  CHECK_FALSE(
      second.at_pointer("/choices/0/delta").as_object().contains("role"));
  CHECK(renderer.RenderChunk("\xe2\x82").empty());
  const std::string end = renderer.RenderEnd("length", 5);
  CHECK(ParseData(end).at_pointer("/choices/0/delta/content") ==
        "\xef\xbf\xbd");
  CHECK(ParseData(end).at_pointer("/choices/0/finish_reason") == "length");
  CHECK(ParseData(end).at_pointer("/usage/total_tokens") == 8);
  CHECK(end.substr(end.size() - 14) == "data: [DONE]\n\n");
}

TEST_CASE("A complete completion contains text, finish reason and usage") {
  request completion = MakeChatRequest();
  completion.shape = call_shape::kCompletion;
  const auto json = boost::json::parse(
      RenderCompleteAnswer(completion, kCreated, "a\"b", "", 2));
  CHECK(json.at_pointer("/choices/0/text") == "a\"b");
  CHECK(json.at_pointer("/choices/0/finish_reason") == "stop");
  CHECK(json.at_pointer("/object") == "text_completion");
  CHECK(json.at_pointer("/created") == 1000);
  CHECK(json.at_pointer("/usage/completion_tokens") == 2);
}

TEST_CASE("A problem contains its outcome and the retry time") {
  const problem queue_full{503, "queue_full", "busy \xff", run_outcome::kNotRun,
                           std::chrono::seconds(4)};
  const rendered_answer answer = RenderProblem(queue_full, "tablet-9");
  CHECK(answer.status == 503);
  CHECK(answer.content_type == "application/problem+json");
  const auto json = boost::json::parse(answer.body);
  CHECK(json.at_pointer("/type") == "queue_full");
  CHECK(json.at_pointer("/title") == "Queue full");
  CHECK(json.at_pointer("/outcome") == "not_run");
  CHECK(json.at_pointer("/retry_after") == 4);
  REQUIRE(answer.headers.size() == 2);
  CHECK(answer.headers[0].value == "tablet-9");
  CHECK(answer.headers[1].value == "4");
  CHECK(stream_renderer::RenderError(queue_full)
            .rfind("event: error\ndata: {", 0) == 0);
}

}  // namespace flamingoshunt::caller
