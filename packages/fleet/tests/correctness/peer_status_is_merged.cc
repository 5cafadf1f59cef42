#include <catch2/catch.hpp>

#include "fleet/peer_status.h"

namespace flamingoshunt::fleet {
namespace {

using std::chrono::milliseconds;

const base::instance_id kHead("head");
constexpr milliseconds kSilence{1200};

base::time_point At(int ms) {
  return base::time_point(std::chrono::hours(1) + milliseconds(ms));
}

peer_news News(const std::string& node, std::uint64_t sequence, int running) {
  peer_news news;
  news.node = base::node_id(node);
  news.incarnation = 1;
  news.sequence = sequence;
  if (running > 0)
    news.loads[kHead] = {running, 10 * running, 0};
  return news;
}

}  // namespace

TEST_CASE("News survive the wire") {
  peer_news news = News("a", 3, 2);
  news.configuration = 9;
  news.seen_requests = true;
  news.suspects = {kHead};
  news.crashes = {{base::fingerprint(~0ULL), kHead}};
  news.questions = {{kHead, 60}};
  news.lines = {{"llm/m", 7}};
  news.cores = 0.5;
  news.statements["llm"] = {4, 5, {{"g", base::epoch(4000001), "m", kHead}}};
  const auto back = DecodeNews(EncodeNews(news));
  REQUIRE(back);
  CHECK(back->sequence == 3);
  CHECK(back->configuration == 9);
  CHECK(back->seen_requests);
  CHECK(back->loads == news.loads);
  CHECK(back->suspects == news.suspects);
  CHECK(back->crashes == news.crashes);
  CHECK(back->questions == news.questions);
  CHECK(back->statements == news.statements);
  CHECK(back->lines == news.lines);
  CHECK(back->cores == 0.5);
}

TEST_CASE("The lines of the live nodes are added up, as last told") {
  peer_table peers;
  auto a = News("a", 1, 0);
  a.lines = {{"llm/m", 7}, {"llm/n", 1}};
  auto b = News("b", 1, 0);
  b.lines = {{"llm/m", 2}};
  peers.Take(a, At(0));
  peers.Take(b, At(1000));
  CHECK(peers.Lines(At(1000), kSilence) ==
        gateway::line_map{{"llm/m", 9}, {"llm/n", 1}});
  auto part = News("b", 2, 0);
  part.partial = true;
  part.lines = {{"llm/m", 4}};
  peers.Take(part, At(1100));
  // The first has been silent since.
  CHECK(peers.Lines(At(1300), kSilence) == gateway::line_map{{"llm/m", 4}});
}

TEST_CASE("The sum of loads follows full and partial news") {
  peer_table peers;
  CHECK(peers.Take(News("a", 1, 2), At(0)));
  CHECK(peers.Take(News("b", 1, 3), At(0)));
  CHECK(peers.TakeChangedLoads(At(0), kSilence).at(kHead).running == 5);
  CHECK(peers.TakeChangedLoads(At(0), kSilence).empty());
  auto part = News("a", 2, 4);
  part.partial = true;
  CHECK(peers.Take(part, At(10)));
  CHECK(peers.TakeChangedLoads(At(10), kSilence).at(kHead).running == 7);
  // A full statement that leaves the replica out frees it.
  CHECK(peers.Take(News("b", 2, 0), At(20)));
  CHECK(peers.TakeChangedLoads(At(20), kSilence).at(kHead).running == 4);
}

TEST_CASE("A silent peer's loads count for nothing") {
  peer_table peers;
  peers.Take(News("a", 1, 2), At(0));
  peers.TakeChangedLoads(At(0), kSilence);
  CHECK(peers.TakeChangedLoads(At(2000), kSilence).at(kHead).running == 0);
  CHECK(peers.Live(At(2000), kSilence).empty());
}

TEST_CASE(
    "Old news change nothing, unless their node restarted with its clock "
    "back") {
  peer_table peers;
  peers.Take(News("a", 5, 2), At(0));
  CHECK_FALSE(peers.Take(News("a", 4, 7), At(10)));
  auto restarted = News("a", 1, 1);
  restarted.incarnation = 0;
  CHECK_FALSE(peers.Take(restarted, At(20)));
  CHECK(peers.Take(restarted, At(3000)));
}

TEST_CASE("The statement of the later term wins") {
  peer_table peers;
  auto first = News("a", 1, 0);
  first.statements["llm"] = {2, 9, {}};
  auto second = News("b", 1, 0);
  second.statements["llm"] = {3, 1, {{"g", base::epoch(1), "m", kHead}}};
  peers.Take(second, At(0));
  peers.Take(first, At(10));
  CHECK(peers.Statement("llm")->term == 3);
}

}  // namespace flamingoshunt::fleet

namespace flamingoshunt::fleet {

TEST_CASE("A node that doesn't reach the store lives but can't act") {
  peer_table peers;
  auto cut_off = News("a", 1, 0);
  cut_off.store_reachable = false;
  peers.Take(cut_off, At(0));
  peers.Take(News("b", 1, 0), At(0));
  CHECK(peers.Live(At(10), kSilence).size() == 2);
  CHECK(peers.AbleToAct(At(10), kSilence) ==
        std::vector<base::node_id>{base::node_id("b")});
  CHECK_FALSE(DecodeNews(EncodeNews(cut_off))->store_reachable);
}

TEST_CASE("Only the strongest act, and a silent actor is replaced soon") {
  peer_table peers;
  peer_news self = News("weak", 1, 0);
  self.cores = 0.08;
  for (const char* name : {"strong-1", "strong-2", "small"}) {
    peer_news news = News(name, 1, 0);
    news.cores = news.node == base::node_id("small") ? 0.08 : 0.5;
    peers.Take(DecodeNews(EncodeNews(news)).value(), At(0));
  }
  // Of a large fleet, whose nodes speak seldom.
  constexpr milliseconds kLong{5000};
  const base::node_id actor("strong-1");
  CHECK(peers.MayAct(self, actor, At(1000), kLong) ==
        std::vector{base::node_id("strong-1"), base::node_id("strong-2")});
  CHECK(peers.MayAct(self, actor, At(2000), kLong) ==
        std::vector{base::node_id("strong-2")});
  // With nobody else in reach the weak one acts.
  CHECK(peers.MayAct(self, actor, At(9000), kLong) == std::vector{self.node});
}

}  // namespace flamingoshunt::fleet
