#include <catch2/catch.hpp>

#include <sstream>

#include "gateway/tests/gateway_harness.h"
#include "telemetry/log.h"

namespace flamingoshunt::gateway::testing {
namespace {

/// Collects the log of the process while it lives.
class captured_log {
 public:
  captured_log() {
    telemetry::log_settings settings;
    settings.stream = &text_;
    telemetry::SetUpLog(settings);
  }
  ~captured_log() { telemetry::SetUpLog({}); }
  captured_log(const captured_log&) = delete;
  captured_log& operator=(const captured_log&) = delete;

  std::string text() const {
    telemetry::FlushLog();
    return text_.str();
  }

 private:
  std::ostringstream text_;
};

void AbortAnswer(runtime::http_exchange& exchange) {
  exchange.Abort();
}

}  // namespace

// Guards against a failed request whose logs don't say which check kept it from
// another replica.
TEST_CASE("A request that used up its attempts logs so") {
  const captured_log log;
  const gateway_harness harness([](gateway_harness& test) {
    test.SetTargets({test.AddReplica("a", AbortAnswer),
                     test.AddReplica("b", AbortAnswer),
                     test.AddReplica("c", AbortAnswer)});
    CHECK(test.Call("/safe/x").status == 502);
  });
  CHECK(log.text().find(R"("reason":"attempts_used_up","attempts":2)") !=
        std::string::npos);
}

TEST_CASE("A request whose service used up its retries logs so") {
  const captured_log log;
  const gateway_harness harness([](gateway_harness& test) {
    test.SetTargets(
        {test.AddReplica("a", AbortAnswer), test.AddReplica("b", AbortAnswer)});
    fleet_update update;
    update.allowance = retry_allowance{0, 0, std::chrono::seconds(10)};
    test.gateway().ApplyUpdate(update);
    CHECK(test.Call("/safe/x").status == 502);
  });
  CHECK(log.text().find(R"("reason":"budget_used_up","attempts":1)") !=
        std::string::npos);
}

TEST_CASE("A request that must not run twice logs so") {
  const captured_log log;
  const gateway_harness harness([](gateway_harness& test) {
    test.SetTargets(
        {test.AddReplica("a", AbortAnswer), test.AddReplica("b", AbortAnswer)});
    CHECK(test.Call("/once/x").status == 502);
  });
  CHECK(log.text().find(R"("reason":"not_retryable","attempts":1)") !=
        std::string::npos);
}

}  // namespace flamingoshunt::gateway::testing
