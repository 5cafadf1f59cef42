#include <catch2/catch.hpp>

#include "caller/tests/fakes/sample_requests.h"

namespace flamingoshunt::caller {

TEST_CASE("A completion is parsed with its key, class, limits and headers") {
  sample_request sample;
  sample.headers.push_back({"x-request-id", "tablet-9"});
  sample.headers.push_back({"X-Request-Deadline-Ms", "1500"});
  sample.body = R"({"model":"ripen-llm","prompt":"room 4","max_tokens":12,
                    "stream":true,"temperature":0.5,"n":null,"best_of":1})";
  const base::time_point received(std::chrono::seconds(7));
  const parsed_request parsed = sample.Parse(received);
  REQUIRE(std::holds_alternative<request>(parsed.result));
  const request& read = std::get<request>(parsed.result);
  CHECK(read.entry.str() == "ripen-llm");
  CHECK(read.workspace.str() == "tablets");
  CHECK(read.work == catalogue::work_class::kStandard);
  CHECK(read.echoed_id == "tablet-9");
  CHECK(read.id.str() != "tablet-9");
  CHECK(read.stream);
  CHECK(read.repeatable);
  CHECK(read.max_tokens == 12);
  CHECK(read.prompt_tokens == 2);
  CHECK(read.deadline == received + std::chrono::milliseconds(1500));
  CHECK(read.body == sample.body);
}

TEST_CASE(
    "Equal prompt prefixes have equal hashes up to the first difference") {
  const auto hashes = [](const std::string& prompt) {
    sample_request sample;
    sample.body = R"({"model":"ripen-llm","prompt":")" + prompt + "\"}";
    return std::get<request>(sample.Parse().result).prefix_hashes;
  };
  const std::string shared(2 * kPrefixBlockBytes, 'a');
  const auto first_hashes =
      hashes(shared + std::string(kPrefixBlockBytes, 'b'));
  const auto second_hashes =
      hashes(shared + std::string(kPrefixBlockBytes, 'c'));
  REQUIRE(first_hashes.size() == 3);
  CHECK(first_hashes[1] == second_hashes[1]);
  CHECK(first_hashes[0] != first_hashes[1]);
  CHECK(first_hashes[2] != second_hashes[2]);
  CHECK(hashes(std::string(kMaxPromptBytes, 'a')).size() == kMaxPrefixBlocks);
}

TEST_CASE("Only calls that may run twice are repeatable") {
  struct row {
    sample_request sample;
    bool repeatable;
  };
  sample_request with_key;
  with_key.headers.push_back({"Idempotency-Key", "k1"});
  sample_request non_idempotent = MakeServiceCall("GET", "/rooms");
  non_idempotent.headers.push_back({"X-Non-Idempotent", "true"});
  const std::vector<row> rows = {
      {sample_request(), true},
      {with_key, false},
      {non_idempotent, false},
      {MakeServiceCall("GET", "/rooms?x=%2F"), true},
      {MakeServiceCall("POST", "/orders"), false},
      {MakeServiceCall("PATCH", "/rooms"), false},
      {MakeServiceCall("PUT", "/rooms"), true},
      {MakeServiceCall("PUT", "/orders/7"), false},
      {MakeServiceCall("POST", "/drafts/7"), true},
      {MakeServiceCall("POST", "/drafts/final/7"), false},
  };
  for (const row& row : rows) {
    INFO(row.sample.method << " " << row.sample.target);
    const parsed_request parsed = row.sample.Parse();
    REQUIRE(std::holds_alternative<request>(parsed.result));
    CHECK(std::get<request>(parsed.result).repeatable == row.repeatable);
  }
}

}  // namespace flamingoshunt::caller
