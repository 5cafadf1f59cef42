// Guards against an entry that another writer has made unreadable: its replica
// was taken for one whose entry had lapsed, and used for two seconds more.
#include <catch2/catch.hpp>

#include "fleet/replica_directory.h"

namespace flamingoshunt::fleet {
namespace {

constexpr base::time_point kStart{std::chrono::hours(1)};

replica MakeReplica() {
  replica made;
  made.id = base::instance_id("a");
  made.engine.started_ms = 5;
  return made;
}

}  // namespace

TEST_CASE(
    "An unusable entry removes its replica at once, also after an outage") {
  replica_directory directory;
  directory.Put(MakeReplica(), kStart);
  directory.RecordOutageEnd(kStart);
  CHECK(directory.Withdraw(base::instance_id("a"), kStart));
  CHECK(directory.replicas().empty());
  CHECK(directory.lapsed() == 0);
  CHECK_FALSE(directory.Withdraw(base::instance_id("a"), kStart));
}

TEST_CASE("A replica is used again when its entry is readable again") {
  replica_directory directory;
  directory.Put(MakeReplica(), kStart);
  directory.Withdraw(base::instance_id("a"), kStart);
  CHECK(directory.Put(MakeReplica(), kStart + std::chrono::seconds(1)));
  CHECK(directory.replicas().size() == 1);
}

TEST_CASE("A lapsed entry that comes back unusable is not waited for") {
  replica_directory directory;
  directory.Put(MakeReplica(), kStart);
  directory.RecordOutageEnd(kStart);
  CHECK_FALSE(directory.Delete(base::instance_id("a"), kStart));
  CHECK(directory.Withdraw(base::instance_id("a"), kStart));
  CHECK(directory.lapsed() == 0);
}

}  // namespace flamingoshunt::fleet
