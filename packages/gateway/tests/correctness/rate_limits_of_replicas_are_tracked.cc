#include <catch2/catch.hpp>

#include "gateway/replica_limits.h"
#include "gateway/tests/dispatch_fixture.h"

namespace flamingoshunt::gateway::testing {
namespace {

const base::instance_id kReplica("a");
const base::node_id kPeer("n2");

limit_map Statement(std::optional<double> limit, int at_ms, int sent) {
  return {{kReplica, {limit, At(at_ms), static_cast<std::uint64_t>(sent)}}};
}

}  // namespace

TEST_CASE("A replica without a limit is not tracked") {
  replica_limits limits;
  CHECK_FALSE(limits.OnAnswer(kReplica, std::nullopt, At(0)));
  CHECK(limits.empty());
  CHECK_FALSE(limits.Available(kReplica, At(0)));
}

TEST_CASE("Requests become available at the named rate, up to a burst") {
  replica_limits limits;
  CHECK(limits.OnAnswer(kReplica, 4, At(0)));
  CHECK(limits.Available(kReplica, At(0)) == 0);
  CHECK(limits.Available(kReplica, At(250)) == 1);
  CHECK(limits.Available(kReplica, At(9000)) == 2);
  limits.OnSent(kReplica, At(9000));
  limits.OnSent(kReplica, At(9000));
  CHECK(limits.Available(kReplica, At(9200)) == 0);
  CHECK(limits.Available(kReplica, At(9300)) == 1);
}

TEST_CASE("What peers send counts against the limit, once") {
  replica_limits limits;
  limits.OnAnswer(kReplica, 4, At(0));
  limits.ApplyPeer(kPeer, Statement(4, 0, 3), At(1000));
  limits.ApplyPeer(kPeer, Statement(4, 0, 3), At(1010));
  // Of two requests available at 1,000, three were sent.
  CHECK(limits.Available(kReplica, At(1400)) == 0);
  CHECK(limits.Available(kReplica, At(1500)) == 1);
  // The peer has started again, and has sent one since.
  limits.ApplyPeer(kPeer, Statement(4, 0, 1), At(1500));
  CHECK(limits.Available(kReplica, At(1600)) == 0);
}

TEST_CASE("A debt is limited") {
  replica_limits limits;
  limits.OnAnswer(kReplica, 4, At(0));
  limits.ApplyPeer(kPeer, Statement(4, 0, 1000), At(0));
  CHECK(limits.Available(kReplica, At(2200)) == 0);
  CHECK(limits.Available(kReplica, At(2300)) == 1);
}

TEST_CASE("A limit ends with the first answer that names none") {
  replica_limits limits;
  limits.OnAnswer(kReplica, 4, At(0));
  CHECK(limits.OnAnswer(kReplica, std::nullopt, At(500)));
  CHECK_FALSE(limits.Available(kReplica, At(500)));
  // A peer that doesn't know yet doesn't restore it.
  limits.ApplyPeer(kPeer, Statement(4, 400, 0), At(510));
  CHECK_FALSE(limits.Available(kReplica, At(510)));
  limits.ApplyPeer(kPeer, Statement(4, 600, 0), At(610));
  CHECK(limits.Available(kReplica, At(610)) == 0);
  limits.ApplyPeer(kPeer, Statement(std::nullopt, 700, 0), At(710));
  CHECK_FALSE(limits.Available(kReplica, At(710)));
}

TEST_CASE("A replica that accepts nothing is asked again now and then") {
  replica_limits limits;
  limits.OnAnswer(kReplica, 0, At(0));
  CHECK(limits.Available(kReplica, At(4900)) == 0);
  CHECK(limits.Available(kReplica, At(5100)) == 1);
}

TEST_CASE("Replicas that are gone are forgotten") {
  replica_limits limits;
  limits.OnAnswer(kReplica, 4, At(0));
  limits.RetainIf([](const base::instance_id&) { return true; }, At(60'000));
  CHECK_FALSE(limits.empty());
  limits.RetainIf([](const base::instance_id&) { return false; }, At(60'000));
  CHECK(limits.empty());
}

}  // namespace flamingoshunt::gateway::testing
