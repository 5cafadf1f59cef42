#include <catch2/catch.hpp>

#include "endpoint/http_codec.h"

namespace flamingoshunt::endpoint {

TEST_CASE("A stream yields the same events wherever its bytes are cut") {
  const std::string stream = EncodeChunk(0, 2, "Set \"room\"\n") +
                             EncodeChunk(2, 1, " 4") + EncodeEnd(3, "stop");
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    stream_parser parser(base::attempt_id(7));
    auto events = parser.Parse(std::string_view(stream).substr(0, cut));
    for (auto& event : parser.Parse(std::string_view(stream).substr(cut)))
      events.push_back(std::move(event));
    REQUIRE(events.size() == 3);
    CHECK(std::get<answer_chunk>(events[0]).data == "Set \"room\"\n");
    CHECK(std::get<answer_chunk>(events[1]).offset == 2);
    CHECK(std::get<answer_end>(events[2]).total == 3);
    CHECK(parser.ended());
  }
}

TEST_CASE("Orders and reports survive a round trip") {
  order sent;
  sent.id = order_id(5);
  sent.target = base::instance_id("i-1");
  sent.replica = base::replica_id("r-1");
  sent.epoch = base::epoch(3);
  sent.fencing_number = base::revision(99);
  sent.members = {base::instance_id("i-1"), base::instance_id("i-2")};
  sent.validity = std::chrono::milliseconds(1500);
  const order received = DecodeOrder(EncodeOrder(sent));
  CHECK(received.members == sent.members);
  CHECK(received.fencing_number == sent.fencing_number);
  CHECK(received.validity == sent.validity);

  report state;
  state.instance = base::instance_id("i-1");
  state.state = member_state::kReady;
  state.load = {3, 1, 0.5};
  CHECK(DecodeReport(EncodeReport(state), state.instance) == state);
}

}  // namespace flamingoshunt::endpoint
