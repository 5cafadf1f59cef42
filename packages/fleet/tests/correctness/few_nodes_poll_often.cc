// Tests how often the nodes of a fleet poll the platform's lists.
#include <catch2/catch.hpp>

#include "fleet/poll_delays.h"

namespace flamingoshunt::fleet {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kDrain{4000};

}  // namespace

TEST_CASE("The nodes of a small fleet poll for themselves") {
  CHECK(ChoosePollDelays(false, false, 5, kDrain) == poll_delays{});
}

TEST_CASE(
    "Informed nodes of a large fleet poll seldom, inside the drain time") {
  const auto delays = ChoosePollDelays(true, false, 2, kDrain);
  CHECK(delays.replicas == milliseconds(2400));
  CHECK(ChoosePollDelays(true, false, 2, milliseconds(500)).replicas ==
        poll_delays::kOwnReplicas);
}

TEST_CASE("Relays, leaders and nodes with one informed relay poll often") {
  CHECK(ChoosePollDelays(true, true, 5, kDrain).replicas ==
        poll_delays::kOwnReplicas);
  CHECK(ChoosePollDelays(true, false, 1, kDrain).replicas ==
        poll_delays::kOwnReplicas);
}

}  // namespace flamingoshunt::fleet
