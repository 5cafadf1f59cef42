// Guards against listed replicas whose address can't be read: the error left
// the request's session, which a timer then used after its end.
#include <catch2/catch.hpp>

#include "gateway/tests/gateway_harness.h"

namespace flamingoshunt::gateway::testing {

TEST_CASE(
    "A request placed on a replica without an address is sent to another") {
  const gateway_harness harness([](gateway_harness& test) {
    target unreadable;
    unreadable.instance = base::instance_id("unreadable");
    unreadable.address = "localhost:9000";
    unreadable.slots = 8;
    test.SetTargets({unreadable});
    CHECK(test.Call("/once/x").status == 503);
    test.SetTargets({unreadable, test.AddReplica("sound", SendValidAnswer)});
    for (int call = 0; call < 8; ++call)
      CHECK(test.Call("/once/x").status == 200);
    CHECK(test.gateway().running() == 0);
  });
}

}  // namespace flamingoshunt::gateway::testing
