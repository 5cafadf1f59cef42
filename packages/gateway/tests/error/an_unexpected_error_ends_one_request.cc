// Guards against errors that nothing on a request's path expects: the request
// stayed registered after its end, where the next timer used freed memory, and
// its slot was never given back.
#include <boost/fiber/operations.hpp>
#include <boost/system/system_error.hpp>

#include <catch2/catch.hpp>

#include <new>
#include <stdexcept>

#include "base/errors.h"
#include "gateway/tests/gateway_harness.h"

namespace flamingoshunt::gateway::testing {
namespace {

using thrower = void (*)();

constexpr thrower kErrors[] = {
    [] { throw base::internal_error("broken invariant"); },
    [] { throw base::user_error("unreadable"); },
    [] { throw std::bad_alloc(); }, [] { throw std::out_of_range("index"); },
    [] {
      throw boost::system::system_error(boost::system::errc::make_error_code(
          boost::system::errc::too_many_files_open));
    }};

// Longer than two checks of the streams for stalls.
constexpr milliseconds kStallChecks{150};

}  // namespace

TEST_CASE("An error before a request is sent refuses it and frees its slot") {
  for (const thrower fail : kErrors) {
    const gateway_harness harness([fail](gateway_harness& test) {
      target only = test.AddReplica("only", SendValidAnswer);
      only.slots = 1;
      test.SetTargets({only});
      test.wire().fail_attempt = fail;
      CHECK(test.Call("/once/x").status == 503);
      CHECK(test.gateway().running() == 0);
      CHECK(test.gateway().CollectUpdate().loads.empty());
      test.wire().fail_attempt = nullptr;
      CHECK(test.Call("/once/x").status == 200);
      CHECK(test.arrivals["only"] == 1);
    });
  }
}

TEST_CASE("An error after a request was sent leaves its outcome unknown") {
  for (const thrower fail : kErrors) {
    const gateway_harness harness([fail](gateway_harness& test) {
      target only = test.AddReplica("only", SendValidAnswer);
      only.slots = 1;
      test.SetTargets({only});
      test.wire().fail_answer = fail;
      CHECK(test.Call("/once/x").status == 502);
      CHECK(test.gateway().CollectUpdate().loads.empty());
      test.wire().fail_answer = nullptr;
      CHECK(test.Call("/once/x").status == 200);
      CHECK(test.arrivals["only"] == 2);
    });
  }
}

TEST_CASE("Timers leave a stream alone that an error has ended") {
  for (const thrower fail : kErrors) {
    const gateway_harness harness([fail](gateway_harness& test) {
      const target head = test.AddReplica(
          "head", [](auto& exchange) { StreamEvents(exchange, 40); });
      test.SetTargets({}, {head});
      test.wire().fail_answer = fail;
      CHECK(test.Call("/stream/x").status == 502);
      CHECK(test.gateway().running() == 0);
      test.wire().fail_answer = nullptr;
      boost::this_fiber::sleep_for(kStallChecks);
      CHECK(test.Call("/stream/x").body == AllEvents(40));
    });
  }
}

}  // namespace flamingoshunt::gateway::testing
