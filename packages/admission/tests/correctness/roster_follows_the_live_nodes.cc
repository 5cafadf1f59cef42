#include <catch2/catch.hpp>

#include "admission/roster_keeper.h"

namespace flamingoshunt::admission {
namespace {

using std::chrono::seconds;

// One keeper whose writes the test answers by hand.
struct keeper_bench {
  roster_keeper keeper{{base::node_id("a"), 7}};
  base::time_point now{};

  keeper_bench() {
    keeper.Start();
    store::watch_event bookmark;
    bookmark.kind = store::watch_event_kind::kBookmark;
    keeper.Handle(bookmark, now);
  }

  void Peers(std::vector<membership::peer> peers) {
    keeper.Handle(membership::peers_changed{std::move(peers)}, now);
  }

  // Moves on until the keeper writes or has nothing left to do.
  std::optional<store::call> RunToWrite(base::duration limit) {
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

  void Accept(const store::call& write, std::uint64_t version) {
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

TEST_CASE("A lone node lists itself with the incarnation of its process") {
  keeper_bench bench;
  const auto write = bench.RunToWrite(seconds(5));
  REQUIRE(write);
  CHECK(write->op == store::operation::kCreate);
  bench.Accept(*write, 3);
  const std::vector<limit_roster::member> expected = {{base::node_id("a"), 7}};
  CHECK(bench.keeper.agreed().members == expected);
  CHECK_FALSE(bench.RunToWrite(seconds(60)));
}

TEST_CASE("A node counts as gone only after it was dead for the dead time") {
  keeper_bench bench;
  const std::vector<limit_roster::member> both = {{base::node_id("a"), 7},
                                                  {base::node_id("b"), 9}};
  store::watch_event listed;
  listed.kind = store::watch_event_kind::kPut;
  listed.changed = {
      {kRosterKind, kRosterName}, base::revision(4), EncodeRoster(both)};
  bench.keeper.Handle(listed, bench.now);
  bench.Peers({Peer("b", membership::peer_state::kDead)});
  const base::time_point died = bench.now;
  const auto write = bench.RunToWrite(seconds(60));
  REQUIRE(write);
  CHECK(write->expected == base::revision(4));
  CHECK(bench.now - died >= roster_keeper::kDeadTime);
}

TEST_CASE("A suspect peer and one that comes back keep their place") {
  keeper_bench bench;
  membership::item started;
  started.topic = kRosterTopic;
  started.origin = base::node_id("b");
  started.value = "9";
  bench.Peers({Peer("b", membership::peer_state::kAlive)});
  bench.keeper.Handle(membership::item_received{started}, bench.now);
  store::watch_event listed;
  listed.kind = store::watch_event_kind::kPut;
  listed.changed = {
      {kRosterKind, kRosterName},
      base::revision(4),
      EncodeRoster({{base::node_id("a"), 7}, {base::node_id("b"), 9}})};
  bench.keeper.Handle(listed, bench.now);
  bench.Peers({Peer("b", membership::peer_state::kSuspect)});
  CHECK_FALSE(bench.RunToWrite(seconds(60)));
  bench.Peers({Peer("b", membership::peer_state::kDead)});
  CHECK_FALSE(bench.RunToWrite(seconds(5)));
  bench.Peers({Peer("b", membership::peer_state::kAlive)});
  CHECK_FALSE(bench.RunToWrite(seconds(60)));
}

}  // namespace flamingoshunt::admission
