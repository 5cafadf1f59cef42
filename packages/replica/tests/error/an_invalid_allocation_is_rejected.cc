#include <catch2/catch.hpp>

#include "replica/allocation.h"

namespace flamingoshunt::replica {

TEST_CASE("An allocation that is malformed or inconsistent is rejected") {
  struct refused {
    const char* value;
    const char* message;
  };
  const refused cases[] = {
      {"{", "(document)"},
      {R"({"next_epoch": 0, "replicas": []})", "next_epoch: 0"},
      {R"({"next_epoch": 3, "replicas": [], "colour": 1})", "colour"},
      {R"({"next_epoch": 3, "cooling": ["i1", "i1"]})", "i1"},
      {R"({"next_epoch": 3, "replicas": [
        {"id": "a", "epoch": 1, "entry": "e", "members": ["i1"]},
        {"id": "b", "epoch": 2, "entry": "e", "members": ["i1"]}]})",
       "i1"},
      {R"({"next_epoch": 2, "replicas": [
        {"id": "a", "epoch": 2, "entry": "e", "members": ["i1"]}]})",
       "epoch"},
  };
  for (const refused& test_case : cases) {
    INFO(test_case.value);
    const store::object object{
        {kAllocationKind, "d1"}, base::revision(1), test_case.value};
    CHECK_THROWS_WITH(AllocationFromObject(object),
                      Catch::Contains(test_case.message));
  }
}

TEST_CASE("An allocation above the maximum object size is not written") {
  allocation written;
  written.domain = base::fabric_domain_id("d1");
  const std::string long_name(1000, 'x');
  for (int i = 0; i < 1100; ++i)
    written.cooling.emplace_back(long_name + std::to_string(i));
  CHECK_THROWS_AS(ToJson(written), allocation_error);
}

}  // namespace flamingoshunt::replica
