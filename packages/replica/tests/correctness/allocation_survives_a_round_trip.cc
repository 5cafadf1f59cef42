#include <catch2/catch.hpp>

#include "replica/allocation.h"

namespace flamingoshunt::replica {

TEST_CASE("An allocation read back from its object is the one written") {
  allocation written;
  written.domain = base::fabric_domain_id("d1");
  written.version = base::revision(9);
  written.next_epoch = 8;
  written.cooling = {base::instance_id("i9")};
  written.replicas.push_back(
      {base::replica_id("d1-5"),
       base::epoch(6),
       base::entry_name("ripen-llm"),
       "v2",
       {"lora"},
       {base::instance_id("i1"), base::instance_id("i2")},
       {{base::instance_id("i2"), base::epoch(6)}},
       {{base::instance_id("i3"), 1}},
       base::epoch(7),
       true});
  const store::object object{
      {kAllocationKind, "d1"}, base::revision(9), ToJson(written)};
  CHECK(AllocationFromObject(object) == written);
}

}  // namespace flamingoshunt::replica
