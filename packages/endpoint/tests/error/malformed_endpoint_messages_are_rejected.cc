#include <catch2/catch.hpp>

#include "endpoint/http_codec.h"

namespace flamingoshunt::endpoint {

TEST_CASE("A stream that violates the protocol is refused") {
  for (const char* line :
       {"data: {\"offset\":-1,\"tokens\":1,\"text\":\"\"}\n",
        "data: not json\n", "data: []\n", "data: {\"end\":{}}\n",
        "data: {\"end\":{\"total\":1}}\ndata: {\"offset\":1,\"tokens\":1}\n"}) {
    stream_parser parser(base::attempt_id(1));
    CHECK_THROWS_AS(parser.Parse(line), malformed_message);
  }
}

TEST_CASE("A report that names another instance is refused") {
  report state;
  state.instance = base::instance_id("i-1");
  CHECK_THROWS_AS(DecodeReport(EncodeReport(state), base::instance_id("i-2")),
                  malformed_message);
}

}  // namespace flamingoshunt::endpoint
