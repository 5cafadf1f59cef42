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

}  // namespace flamingoshunt::fleet
