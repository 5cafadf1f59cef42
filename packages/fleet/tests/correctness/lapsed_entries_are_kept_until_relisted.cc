#include <catch2/catch.hpp>

#include "fleet/replica_directory.h"

namespace flamingoshunt::fleet {
namespace {

using std::chrono::milliseconds;

base::time_point At(int ms) {
  return base::time_point(std::chrono::hours(1) + milliseconds(ms));
}

replica Replica(const std::string& id) {
  replica of;
  of.id = base::instance_id(id);
  of.service = "llm";
  of.engine.started_ms = 5;
  return of;
}

}  // namespace

TEST_CASE(
    "A replica that leaves the list of a sound platform is gone at once") {
  replica_directory list;
  list.Put(Replica("a"));
  CHECK(list.Delete(base::instance_id("a"), At(0)));
  CHECK(list.replicas().empty());
}

TEST_CASE(
    "Entries missing after an outage are kept until they had time to return") {
  replica_directory list;
  list.Put(Replica("a"));
  list.Put(Replica("b"));
  list.NotePlatformFailure();
  list.NotePlatformContact(At(0));
  CHECK_FALSE(list.Delete(base::instance_id("a"), At(10)));
  CHECK_FALSE(list.Delete(base::instance_id("b"), At(10)));
  list.Put(Replica("b"));
  CHECK(list.Expire(At(2000)).empty());
  CHECK(list.Expire(At(2400)) ==
        std::vector<base::instance_id>{base::instance_id("a")});
  CHECK(list.replicas().size() == 1);
}

TEST_CASE(
    "What leaves after the first news of a platform that is back is gone") {
  replica_directory list;
  list.Put(Replica("a"));
  list.NotePlatformFailure();
  list.NotePlatformContact(At(0));
  CHECK(list.Delete(base::instance_id("a"), At(600)));
}

TEST_CASE("A replica that said it leaves isn't waited for") {
  replica_directory list;
  replica leaving = Replica("a");
  leaving.leaving = true;
  list.Put(leaving);
  list.NotePlatformFailure();
  list.NotePlatformContact(At(0));
  CHECK(list.Delete(base::instance_id("a"), At(10)));
}

TEST_CASE("An entry of an earlier start does not replace a later one") {
  replica_directory list;
  list.Put(Replica("a"));
  replica old = Replica("a");
  old.engine.started_ms = 4;
  old.address = "old";
  CHECK_FALSE(list.Put(old));
  CHECK(list.replicas().at(base::instance_id("a")).address.empty());
}

}  // namespace flamingoshunt::fleet
