#include <catch2/catch.hpp>

#include <boost/json.hpp>

#include "caller/render_problem.h"
#include "caller/tests/fakes/sample_requests.h"
#include "caller/utf8.h"
#include "tests/fixed_seed.h"

namespace flamingoshunt::caller {
namespace {

// Replaces, removes or inserts a few bytes of a valid text.
std::string Mutate(std::string text) {
  const int edits = *rc::gen::inRange(0, 4);
  for (int i = 0; i < edits && !text.empty(); ++i) {
    const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
    const auto edit_kind = *rc::gen::inRange(0, 3);
    if (edit_kind == 0)
      text[position] = *rc::gen::arbitrary<char>();
    else if (edit_kind == 1)
      text.erase(position, 1);
    else
      text.insert(position, *rc::gen::arbitrary<std::string>());
  }
  return text;
}

sample_request AnyRequest() {
  sample_request sample;
  if (*rc::gen::arbitrary<bool>())
    sample = MakeServiceCall("POST", "/orders/7?x=%20");
  if (*rc::gen::arbitrary<bool>()) {
    sample.target = "/v1/chat/completions";
    sample.body = R"({"model":"ripen-llm","messages":[{"role":"user",)"
                  R"("content":"room 4"}],"max_tokens":3,"stream":true})";
  }
  sample.headers.push_back({"Idempotency-Key", "k"});
  sample.headers.push_back({"X-Request-Deadline-Ms", "100"});
  sample.headers.push_back({"X-Request-Id", "abc"});
  for (auto& [name, value] : sample.headers)
    if (*rc::gen::inRange(0, 8) == 0)
      value = Mutate(value);
  sample.method = Mutate(sample.method);
  sample.target = Mutate(sample.target);
  sample.body = Mutate(sample.body);
  return sample;
}

void CheckParsed(const parsed_request& parsed) {
  RC_ASSERT(!parsed.echoed_id.empty());
  if (const auto* refused = std::get_if<problem>(&parsed.result)) {
    RC_ASSERT(refused->status >= 400 && refused->status < 500);
    RC_ASSERT(refused->outcome == run_outcome::kNotRun);
    boost::json::parse(RenderProblem(*refused, parsed.echoed_id).body);
    return;
  }
  const auto& read = std::get<request>(parsed.result);
  RC_ASSERT(MakeSampleCatalogue().entries.contains(read.entry));
  RC_ASSERT(read.workspace.str() == "tablets");
  RC_ASSERT(!read.target.empty() && read.target.front() == '/');
  RC_ASSERT(!read.repeatable || read.idempotency_key.empty() ||
            read.shape == call_shape::kService);
}

}  // namespace

TEST_CASE("Any request is parsed or refused with a 4xx, without a crash") {
  CHECK(tests::Holds([] { CheckParsed(AnyRequest().Parse()); }, 5000));
}

TEST_CASE("Text cut anywhere is reassembled to the same valid text") {
  const auto property = [](const std::vector<std::string>& pieces) {
    utf8_reassembler reassembler;
    std::string complete_text;
    std::string valid_text;
    for (const std::string& piece : pieces) {
      complete_text += piece;
      valid_text += reassembler.Append(piece);
    }
    valid_text += reassembler.Flush();
    RC_ASSERT(valid_text == ReplaceInvalidUtf8(complete_text));
    RC_ASSERT(ReplaceInvalidUtf8(valid_text) == valid_text);
    boost::json::parse(boost::json::serialize(boost::json::string(valid_text)));
  };
  CHECK(tests::Holds(property, 2000));
}

}  // namespace flamingoshunt::caller
