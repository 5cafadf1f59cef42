#include <catch2/catch.hpp>

#include "gateway/crash_guard.h"
#include "gateway/tests/dispatch_fixture.h"
#include "gateway/tests/gateway_harness.h"

namespace flamingoshunt::gateway::testing {

TEST_CASE("A request is refused after its third crash, by body and workspace") {
  crash_guard guard;
  const auto crashing_request = crash_guard::Fingerprint("w", "/x", "poison");
  for (const char* replica : {"a", "b"})
    CHECK(guard.Record({crashing_request, base::instance_id(replica)}, At(0)));
  CHECK_FALSE(guard.ShouldRefuse(crashing_request, At(0)));
  CHECK_FALSE(guard.Record({crashing_request, base::instance_id("b")}, At(0)));
  CHECK_FALSE(guard.ShouldRefuse(crashing_request, At(0)));
  guard.Record({crashing_request, base::instance_id("c")}, At(0));
  CHECK(guard.ShouldRefuse(crashing_request, At(0)));
  CHECK_FALSE(
      guard.ShouldRefuse(crash_guard::Fingerprint("v", "/x", "poison"), At(0)));
  CHECK_FALSE(guard.ShouldRefuse(crashing_request,
                                 At(0) + crash_guard::kReportLifetime));
}

TEST_CASE("A request that crashes three replicas reaches no fourth") {
  int reached = 0;
  const gateway_harness harness([&](gateway_harness& test) {
    const auto crash = [&](runtime::http_exchange& exchange) {
      ++reached;
      exchange.Abort();
    };
    test.SetTargets({test.AddReplica("a", crash), test.AddReplica("b", crash),
                     test.AddReplica("c", crash), test.AddReplica("d", crash)});
    // Each call may reach two replicas, chosen anew.
    caller_answer answer;
    for (int i = 0; i < 20; ++i)
      answer = test.Call("/safe/x");
    CHECK(answer.status == 503);
    const int before = reached;
    CHECK(test.Call("/safe/x").status == 503);
    CHECK(reached == before);
  });
}

TEST_CASE("The number of tracked requests is bounded") {
  crash_guard guard;
  for (std::uint64_t i = 0; i < 3 * crash_guard::kMaxRequests; ++i)
    guard.Record({base::fingerprint(i), base::instance_id("a")},
                 At(static_cast<int>(i)));
  guard.Record({base::fingerprint(1), base::instance_id("b")}, At(99999));
  CHECK_FALSE(guard.ShouldRefuse(base::fingerprint(1), At(99999)));
}

}  // namespace flamingoshunt::gateway::testing
