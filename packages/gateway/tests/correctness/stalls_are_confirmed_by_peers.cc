#include <catch2/catch.hpp>

#include "gateway/stall_detector.h"
#include "gateway/tests/dispatch_fixture.h"

namespace flamingoshunt::gateway::testing {
namespace {

const base::instance_id kHead("head");
constexpr milliseconds kTimeout{120};

}  // namespace

TEST_CASE("A replica counts as stalled if no peer confirms its activity") {
  stall_detector detector;
  detector.RecordActivity(kHead, At(0));
  CHECK(detector.Evaluate(kHead, kTimeout, At(130)) ==
        stall_decision::kQueryPeers);
  CHECK(detector.Evaluate(kHead, kTimeout, At(150)) == stall_decision::kWait);
  CHECK(detector.Evaluate(kHead, kTimeout, At(170)) ==
        stall_decision::kStalled);
}

TEST_CASE("One peer that sees the replica active prevents a stall") {
  stall_detector detector;
  detector.RecordActivity(kHead, At(0));
  CHECK(detector.Evaluate(kHead, kTimeout, At(130)) ==
        stall_decision::kQueryPeers);
  detector.OnPeerActivity(kHead, At(140));
  CHECK(detector.Evaluate(kHead, kTimeout, At(170)) == stall_decision::kWait);
  // The peers are queried again if the inactivity continues.
  CHECK(detector.Evaluate(kHead, kTimeout, At(300)) ==
        stall_decision::kQueryPeers);
}

TEST_CASE("An event of another stream of the replica prevents a stall") {
  stall_detector detector;
  detector.RecordActivity(kHead, At(100));
  CHECK(detector.Evaluate(kHead, kTimeout, At(130)) == stall_decision::kWait);
}

TEST_CASE("Timeouts adapt to the gaps of a replica") {
  stall_detector detector;
  const auto initial = detector.GapTimeout(kHead, milliseconds(50));
  for (int i = 0; i < 50; ++i)
    detector.RecordGap(kHead, milliseconds(i % 2 ? 110 : 130));
  const auto learned = detector.GapTimeout(kHead, milliseconds(50));
  CHECK(learned > initial);
  CHECK(learned > milliseconds(200));
  CHECK(learned < milliseconds(300));
}

TEST_CASE(
    "The first-event timeout learns delays beyond the published performance") {
  stall_detector detector;
  CHECK(detector.FirstEventOverrun("llm/m") == base::duration::zero());
  for (int i = 0; i < 30; ++i)
    detector.RecordFirstEvent("llm/m", milliseconds(80), milliseconds(175));
  CHECK(detector.FirstEventOverrun("llm/m") == milliseconds(95));
  CHECK(detector.FirstEventTimeout("llm/m", milliseconds(80)) >
        milliseconds(227));
}

}  // namespace flamingoshunt::gateway::testing
