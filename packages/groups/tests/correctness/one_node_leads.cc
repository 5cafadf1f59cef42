#include <catch2/catch.hpp>

#include "groups/leader_election.h"

namespace flamingoshunt::groups {
namespace {

using std::chrono::milliseconds;

const base::node_id kA("a");
const base::node_id kB("b");

base::time_point At(int ms) {
  return base::time_point(std::chrono::hours(1) + milliseconds(ms));
}

store::reply StoredReply(const store::call& write, std::uint64_t revision) {
  store::reply reply;
  reply.outcome = store::call_outcome::kOk;
  reply.current =
      store::object{write.key, base::revision(revision), write.value};
  return reply;
}

// Lets @p election take over at once.
// @return the object that it wrote.
store::object TakeOver(leader_election& election, const base::node_id& self) {
  election.OnListed();
  const auto write = election.Tick({self}, At(0));
  REQUIRE(write);
  const auto reply = StoredReply(*write, 10);
  election.OnWriteReply(reply, At(5));
  return *reply.current;
}

}  // namespace

TEST_CASE(
    "A node without an active leader takes the next term by a conditional "
    "write") {
  leader_election election(kA, 1, "llm");
  TakeOver(election, kA);
  CHECK(election.is_leader());
  CHECK(election.term() == 1);
}

TEST_CASE("No node takes over while the leader is active") {
  leader_election first(kA, 1, "llm");
  const auto object = TakeOver(first, kA);
  leader_election second(kB, 1, "llm");
  second.OnListed();
  second.OnTermObject(object);
  CHECK_FALSE(second.Tick({kA, kB}, At(100)));
  CHECK_FALSE(second.Tick({kA, kB}, At(60000)));
}

TEST_CASE(
    "A node that loses the write does not lead and waits before the next") {
  leader_election first(kA, 1, "llm");
  const auto object = TakeOver(first, kA);
  leader_election second(kB, 1, "llm");
  second.OnListed();
  REQUIRE(second.Tick({kB}, At(0)));
  store::reply conflict;
  conflict.outcome = store::call_outcome::kConflict;
  conflict.current = object;
  second.OnWriteReply(conflict, At(5));
  CHECK_FALSE(second.is_leader());
  CHECK_FALSE(second.Tick({kB}, At(1000)));
  CHECK(second.Tick({kB}, At(10000)));
}

TEST_CASE("A node that sees a later term stops leading") {
  leader_election first(kA, 1, "llm");
  auto object = TakeOver(first, kA);
  object.version = base::revision(11);
  object.value = R"({"node":"b","incarnation":1,"term":2})";
  first.OnTermObject(object);
  CHECK_FALSE(first.is_leader());
  CHECK(first.term() == 2);
}

TEST_CASE("A restarted node does not lead under the term of its previous run") {
  leader_election first(kA, 1, "llm");
  const auto object = TakeOver(first, kA);
  leader_election again(kA, 2, "llm");
  again.OnListed();
  again.OnTermObject(object);
  CHECK_FALSE(again.is_leader());
  const auto write = again.Tick({kA}, At(100));
  REQUIRE(write);
  CHECK(write->expected == object.version);
}

}  // namespace flamingoshunt::groups

namespace flamingoshunt::groups {

TEST_CASE(
    "Another node takes over from a leader that lost the store, which then "
    "stops") {
  leader_election first(kA, 1, "llm");
  const auto object = TakeOver(first, kA);
  leader_election second(kB, 1, "llm");
  second.OnListed();
  second.OnTermObject(object);
  CHECK_FALSE(second.Tick({kA, kB}, At(100)));
  // The leader is running but is not among the nodes that reach the store.
  const auto write = second.Tick({kB}, At(200));
  REQUIRE(write);
  second.OnWriteReply(StoredReply(*write, 20), At(210));
  CHECK(second.is_leader());
  CHECK(second.term() == 2);
  first.OnFenced(At(300));
  CHECK_FALSE(first.is_leader());
}

}  // namespace flamingoshunt::groups
