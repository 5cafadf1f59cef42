#include <catch2/catch.hpp>

#include "base/random.h"
#include "fleet/peer_status.h"

namespace flamingoshunt::fleet {

TEST_CASE("Damaged datagrams are dropped without harm") {
  peer_news news;
  news.node = base::node_id("a");
  news.loads[base::instance_id("i")] = {1, 2, 3};
  news.statements["s"] = {1, 1, {{"g", base::epoch(1), "m", {}}}};
  const std::string sound = EncodeNews(news);
  base::random_engine random(7);
  int read = 0;
  for (int round = 0; round < 5000; ++round) {
    std::string damaged = sound;
    for (int hit = 0; hit < 3; ++hit)
      damaged[base::RandomIndex(random, damaged.size())] =
          static_cast<char>(base::RandomIndex(random, 256));
    damaged.resize(base::RandomIndex(random, damaged.size() + 1));
    read += DecodeNews(damaged) ? 1 : 0;
  }
  CHECK(DecodeNews(sound));
  CHECK(read < 5000);
}

}  // namespace flamingoshunt::fleet
