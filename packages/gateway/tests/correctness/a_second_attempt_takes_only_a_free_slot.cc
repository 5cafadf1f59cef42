#include <catch2/catch.hpp>

#include "gateway/tests/dispatch_fixture.h"

namespace flamingoshunt::gateway::testing {
namespace {

dispatcher MakeDispatcher(int slots) {
  dispatcher placing(base::random_engine(1));
  placing.SetView(MakeView(1, slots), At(0));
  return placing;
}

}  // namespace

// Load pattern: all heads of a model are silent, and their streams ask for
// slots elsewhere at the same time.
TEST_CASE("A second attempt gets a free slot or none") {
  dispatcher placing = MakeDispatcher(1);
  const auto granted = placing.PlaceNow(MakeStreamRequest(1, 0), At(0));
  REQUIRE(granted);
  CHECK(placing.own_loads().at(granted->replica.instance).running == 1);
  CHECK_FALSE(placing.PlaceNow(MakeStreamRequest(2, 0), At(1)));
  CHECK(placing.waiting() == 0);
  placing.Release(granted->ticket, false, At(2));
  CHECK(placing.own_loads().empty());
  CHECK(placing.PlaceNow(MakeStreamRequest(3, 0), At(3)));
}

TEST_CASE("Queued requests go before the second attempt of one not begun") {
  dispatcher placing = MakeDispatcher(2);
  // Other nodes queue more than this one, so its request waits for its share.
  placing.SetPeerQueueLengths({{"llm/m", 1000}});
  const auto queued = placing.Submit(MakeStreamRequest(1, 0), At(0));
  REQUIRE(queued.grants.empty());
  REQUIRE(placing.waiting() == 1);
  placing.SetPeerQueueLengths({});
  CHECK_FALSE(placing.PlaceNow(MakeStreamRequest(2, 0), At(1)));
  slot_request begun = MakeStreamRequest(3, 0);
  begun.has_begun = true;
  CHECK(placing.PlaceNow(begun, At(1)));
  CHECK(placing.waiting() == 1);
}

TEST_CASE("A second attempt avoids replicas that are suspected or tried") {
  dispatcher placing = MakeDispatcher(4);
  slot_request tried = MakeStreamRequest(1, 0);
  tried.avoid = {base::instance_id("h0")};
  CHECK_FALSE(placing.PlaceNow(tried, At(0)));
  placing.Suspect(base::instance_id("h0"), At(500));
  CHECK_FALSE(placing.PlaceNow(MakeStreamRequest(2, 0), At(100)));
  CHECK(placing.PlaceNow(MakeStreamRequest(3, 0), At(600)));
}

}  // namespace flamingoshunt::gateway::testing
