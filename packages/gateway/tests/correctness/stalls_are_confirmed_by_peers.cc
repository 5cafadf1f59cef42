#include <catch2/catch.hpp>

#include "gateway/stall_detector.h"
#include "gateway/tests/dispatch_fixture.h"

namespace flamingoshunt::gateway::testing {
namespace {

const base::instance_id kHead("head");
constexpr milliseconds kBound{120};

}  // namespace

TEST_CASE("A silence is believed when no other node hears of the replica") {
  stall_watch watch;
  watch.Heard(kHead, At(0));
  CHECK(watch.Judge(kHead, kBound, At(130)) == silence_verdict::kAsk);
  CHECK(watch.Judge(kHead, kBound, At(150)) == silence_verdict::kWait);
  CHECK(watch.Judge(kHead, kBound, At(170)) == silence_verdict::kStalled);
}

TEST_CASE("One node that hears of the replica is enough") {
  stall_watch watch;
  watch.Heard(kHead, At(0));
  CHECK(watch.Judge(kHead, kBound, At(130)) == silence_verdict::kAsk);
  watch.Refuted(kHead, At(140));
  CHECK(watch.Judge(kHead, kBound, At(170)) == silence_verdict::kWait);
  // It is asked again when the silence goes on.
  CHECK(watch.Judge(kHead, kBound, At(300)) == silence_verdict::kAsk);
}

TEST_CASE("Another stream's event at the same replica is an answer as well") {
  stall_watch watch;
  watch.Heard(kHead, At(100));
  CHECK(watch.Judge(kHead, kBound, At(130)) == silence_verdict::kWait);
}

TEST_CASE("Bounds follow the gaps that a replica shows") {
  stall_watch watch;
  const auto fresh = watch.GapBound(kHead, milliseconds(50));
  for (int i = 0; i < 50; ++i)
    watch.NoteGap(kHead, milliseconds(i % 2 ? 110 : 130));
  const auto slower = watch.GapBound(kHead, milliseconds(50));
  CHECK(slower > fresh);
  CHECK(slower > milliseconds(200));
  CHECK(slower < milliseconds(300));
}

TEST_CASE("First events learn what the published pace leaves out") {
  stall_watch watch;
  CHECK(watch.FirstEventDelay("llm/m") == base::duration::zero());
  for (int i = 0; i < 30; ++i)
    watch.NoteFirstEvent("llm/m", milliseconds(80), milliseconds(175));
  CHECK(watch.FirstEventDelay("llm/m") == milliseconds(95));
  CHECK(watch.FirstEventBound("llm/m", milliseconds(80)) > milliseconds(227));
}

}  // namespace flamingoshunt::gateway::testing
