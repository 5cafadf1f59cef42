#include <catch2/catch.hpp>

#include "packages/admission/tests/cluster.h"

namespace flamingoshunt::admission {

TEST_CASE("Requests are granted up to the slots and the rest wait") {
  fleet one(1);
  one.Handle(0, Serving(0, 2));
  const ask first = MakeAsk("first");
  const auto granted = Only<grant>(one.Handle(0, first));
  REQUIRE(granted.size() == 1);
  CHECK(granted[0].place.replica == base::replica_id("r0"));
  CHECK(Only<grant>(one.Handle(0, MakeAsk("second"))).size() == 1);
  CHECK(one.Handle(0, MakeAsk("third")).empty());
  CHECK(one.At(0).Waiting() == 1);

  const auto next = Only<grant>(one.Handle(0, MakeRelease(granted[0], first)));
  REQUIRE(next.size() == 1);
  CHECK(next[0].request == base::request_id("third"));
  CHECK(one.At(0).Waiting() == 0);
}

TEST_CASE("A withdrawn request frees its place at once") {
  fleet one(1);
  one.Handle(0, Serving(0, 1));
  one.Handle(0, MakeAsk("runs"));
  one.Handle(0, MakeAsk("leaves"));
  one.Handle(0, MakeAsk("stays"));
  one.Handle(0, withdraw{base::request_id("leaves")});
  CHECK(one.At(0).Waiting() == 1);

  // The grant of "runs" crosses its withdrawal.
  const auto next =
      Only<grant>(one.Handle(0, withdraw{base::request_id("runs")}));
  REQUIRE(next.size() == 1);
  CHECK(next[0].request == base::request_id("stays"));
}

}  // namespace flamingoshunt::admission
