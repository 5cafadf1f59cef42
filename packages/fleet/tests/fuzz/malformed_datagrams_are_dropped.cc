#include <catch2/catch.hpp>

#include "base/random.h"
#include "fleet/peer_status.h"

namespace flamingoshunt::fleet {

TEST_CASE("Damaged datagrams are rejected or decoded without a crash") {
  peer_status status;
  status.node = base::node_id("a");
  status.loads[base::instance_id("i")] = {1, 2, 3};
  status.announcements["s"] = {1, 1, {{"g", base::epoch(1), "m", {}}}};
  const std::string valid = EncodePeerStatus(status);
  base::random_engine random(7);
  int read = 0;
  for (int round = 0; round < 5000; ++round) {
    std::string damaged = valid;
    for (int byte = 0; byte < 3; ++byte)
      damaged[base::RandomIndex(random, damaged.size())] =
          static_cast<char>(base::RandomIndex(random, 256));
    damaged.resize(base::RandomIndex(random, damaged.size() + 1));
    read += DecodePeerStatus(damaged) ? 1 : 0;
  }
  CHECK(DecodePeerStatus(valid));
  CHECK(read < 5000);
}

TEST_CASE("A damaged status in a bundle leaves the others readable") {
  peer_status first;
  first.node = base::node_id("a");
  peer_status last;
  last.node = base::node_id("c");
  const auto read =
      DecodeDatagram("[" + EncodePeerStatus(first) + R"(,{"node":"\udcff"},)" +
                     EncodePeerStatus(last) + "]");
  REQUIRE(read.size() == 2);
  CHECK(read.front().node == first.node);
  CHECK(read.back().node == last.node);
}

TEST_CASE("Damaged bundles of digests are rejected or decoded, not passed on") {
  peer_status digest;
  digest.kind = status_kind::kDigest;
  digest.node = base::node_id("r");
  digest.loads[base::instance_id("i")] = {1, 2, 3};
  digest.members = {{base::node_id("a"), 5, true, 1, false, true, 0.5, {"s"}}};
  digest.known_announcements["s"] = {1, 2};
  const std::string text = EncodePeerStatus(digest);
  const std::string valid = BundleStatuses({text, text}).front();
  REQUIRE(DecodeDatagram(valid).size() == 2);
  CHECK(DecodeDatagram(valid).front().members == digest.members);
  base::random_engine random(8);
  int read = 0;
  for (int round = 0; round < 5000; ++round) {
    std::string damaged = valid;
    for (int byte = 0; byte < 3; ++byte)
      damaged[base::RandomIndex(random, damaged.size())] =
          static_cast<char>(base::RandomIndex(random, 256));
    damaged.resize(base::RandomIndex(random, damaged.size() + 1));
    read += DecodeDatagram(damaged).empty() ? 0 : 1;
  }
  CHECK(read < 5000);
}

TEST_CASE("A status of a kind that this program doesn't know is dropped") {
  CHECK(DecodeDatagram(R"({"kind":"other","node":"a","incarnation":1,)"
                       R"("sequence":1,"changes_only":true,"loads":[],)"
                       R"("lines":{},"questions":[],"heard_of":[]})")
            .empty());
}

}  // namespace flamingoshunt::fleet
