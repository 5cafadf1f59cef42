#include <catch2/catch.hpp>

#include "replica/readiness.h"

namespace flamingoshunt::replica {
namespace {

using std::chrono::milliseconds;

struct gate_fixture {
  settings replica_settings;
  readiness_gate gate{replica_settings};
  instance_table table;
  base::time_point now{std::chrono::seconds(100)};

  gate_fixture() {
    allocation current;
    current.domain = base::fabric_domain_id("d");
    current.next_epoch = 3;
    allocated_replica replica;
    replica.id = base::replica_id("r");
    replica.epoch = base::epoch(2);
    replica.entry = base::entry_name("e");
    replica.version = "v";
    for (const char* name : {"a", "b"}) {
      endpoint::instance instance;
      instance.id = base::instance_id(name);
      table.ApplyListChange(instance, false, now);
      replica.members.push_back(instance.id);
    }
    current.replicas.push_back(replica);
    gate.SetAllocation(current);
    Report("a");
    Report("b");
  }

  endpoint::report Ready(const char* name) const {
    endpoint::report report;
    report.instance = base::instance_id(name);
    report.replica = base::replica_id("r");
    report.epoch = base::epoch(2);
    report.entry = base::entry_name("e");
    report.version = "v";
    report.state = endpoint::member_state::kReady;
    return report;
  }
  void Report(const char* name) { table.RecordReport(Ready(name), now); }

  serving_state State() {
    std::vector<serving_changed> out;
    gate.EvaluateAll(table, now, out);
    if (!out.empty())
      last = out.back().replica.state;
    return last;
  }
  serving_state last = serving_state::kGone;
};

}  // namespace

TEST_CASE("A replica stops serving when the report of one member expires") {
  gate_fixture fixture;
  REQUIRE(fixture.State() == serving_state::kServing);
  fixture.now += milliseconds(1000);
  fixture.Report("a");
  REQUIRE(fixture.State() == serving_state::kServing);
  fixture.now = *fixture.gate.next_expiry();
  CHECK(fixture.State() == serving_state::kGone);
  fixture.Report("b");
  CHECK(fixture.State() == serving_state::kServing);
}

TEST_CASE("A member report that does not match the allocation stops serving") {
  const auto change = GENERATE(0, 1, 2, 3, 4);
  gate_fixture fixture;
  REQUIRE(fixture.State() == serving_state::kServing);
  endpoint::report report = fixture.Ready("b");
  if (change == 0)
    report.epoch = base::epoch(1);
  if (change == 1)
    report.replica = base::replica_id("other");
  if (change == 2)
    report.state = endpoint::member_state::kLoading;
  if (change == 3)
    report.version = "old";
  if (change == 4)
    report.leaving = true;
  fixture.now += milliseconds(100);
  fixture.table.RecordReport(report, fixture.now);
  CHECK(fixture.State() ==
        (change == 4 ? serving_state::kDraining : serving_state::kGone));
}

TEST_CASE("A request failure stops serving until every member reports later") {
  gate_fixture fixture;
  REQUIRE(fixture.State() == serving_state::kServing);
  fixture.gate.RecordFailure(base::replica_id("r"), base::epoch(1),
                             fixture.now);
  REQUIRE(fixture.State() == serving_state::kServing);
  fixture.gate.RecordFailure(base::replica_id("r"), base::epoch(2),
                             fixture.now);
  REQUIRE(fixture.State() == serving_state::kGone);
  fixture.now += fixture.replica_settings.report_timeout;
  fixture.Report("a");
  fixture.Report("b");
  CHECK(fixture.State() == serving_state::kGone);
  fixture.now += milliseconds(1);
  fixture.Report("a");
  CHECK(fixture.State() == serving_state::kGone);
  fixture.Report("b");
  CHECK(fixture.State() == serving_state::kServing);
}

}  // namespace flamingoshunt::replica
