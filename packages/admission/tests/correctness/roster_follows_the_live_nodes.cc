#include <catch2/catch.hpp>

#include "admission/roster_keeper.h"

namespace flamingoshunt::admission {
namespace {

using std::chrono::seconds;

// A roster keeper whose writes the test answers itself.
struct keeper_fixture {
  roster_keeper keeper{{base::node_id("a"), 7}};
  base::time_point now{};

  keeper_fixture() {
    keeper.Start();
    store::watch_event bookmark;
    bookmark.kind = store::watch_event_kind::kBookmark;
    keeper.Handle(bookmark, now);
  }

  void SetPeers(std::vector<membership::peer> peers) {
    keeper.Handle(membership::peers_changed{std::move(peers)}, now);
  }

  // Advances the time until the keeper writes or @p limit has passed.
  std::optional<store::call> RunUntilWrite(base::duration limit) {
    const base::time_point end = now + limit;
    while (keeper.NextTimer() && *keeper.NextTimer() <= end) {
      now = *keeper.NextTimer();
      auto out = keeper.Tick(now);
      if (!out.calls.empty())
        return out.calls.front();
    }
    now = end;
    return std::nullopt;
  }

  void AcceptWrite(const store::call& write, std::uint64_t version) {
    store::reply reply;
    reply.id = write.id;
    reply.outcome = store::call_outcome::kOk;
    reply.current =
        store::object{write.key, base::revision(version), write.value};
    keeper.Handle(reply, now);
  }
};

membership::peer Peer(const char* id, membership::peer_state state) {
  membership::peer peer;
  peer.id = base::node_id(id);
  peer.state = state;
  return peer;
}

}  // namespace

TEST_CASE("A single node lists itself with the incarnation of its process") {
  keeper_fixture fixture;
  const auto write = fixture.RunUntilWrite(seconds(5));
  REQUIRE(write);
  CHECK(write->op == store::operation::kCreate);
  fixture.AcceptWrite(*write, 3);
  const std::vector<limit_roster::member> expected = {{base::node_id("a"), 7}};
  CHECK(fixture.keeper.agreed().members == expected);
  CHECK_FALSE(fixture.RunUntilWrite(seconds(60)));
}

TEST_CASE("A dead node counts as gone only after the removal delay") {
  keeper_fixture fixture;
  const std::vector<limit_roster::member> both = {{base::node_id("a"), 7},
                                                  {base::node_id("b"), 9}};
  store::watch_event listed;
  listed.kind = store::watch_event_kind::kPut;
  listed.changed = {
      {kRosterKind, kRosterName}, base::revision(4), EncodeRoster(both)};
  fixture.keeper.Handle(listed, fixture.now);
  fixture.SetPeers({Peer("b", membership::peer_state::kDead)});
  const base::time_point died = fixture.now;
  const auto write = fixture.RunUntilWrite(seconds(60));
  REQUIRE(write);
  CHECK(write->expected == base::revision(4));
  CHECK(fixture.now - died >= roster_keeper::kRemovalDelay);
}

TEST_CASE("A suspect peer and one that recovers stay in the roster") {
  keeper_fixture fixture;
  membership::item started;
  started.topic = kRosterTopic;
  started.origin = base::node_id("b");
  started.value = "9";
  fixture.SetPeers({Peer("b", membership::peer_state::kAlive)});
  fixture.keeper.Handle(membership::item_received{started}, fixture.now);
  store::watch_event listed;
  listed.kind = store::watch_event_kind::kPut;
  listed.changed = {
      {kRosterKind, kRosterName},
      base::revision(4),
      EncodeRoster({{base::node_id("a"), 7}, {base::node_id("b"), 9}})};
  fixture.keeper.Handle(listed, fixture.now);
  fixture.SetPeers({Peer("b", membership::peer_state::kSuspect)});
  CHECK_FALSE(fixture.RunUntilWrite(seconds(60)));
  fixture.SetPeers({Peer("b", membership::peer_state::kDead)});
  CHECK_FALSE(fixture.RunUntilWrite(seconds(5)));
  fixture.SetPeers({Peer("b", membership::peer_state::kAlive)});
  CHECK_FALSE(fixture.RunUntilWrite(seconds(60)));
}

}  // namespace flamingoshunt::admission
