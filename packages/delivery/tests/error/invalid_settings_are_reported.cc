#include <catch2/catch.hpp>

#include "delivery/claim_sweeper.h"
#include "delivery/errors.h"
#include "delivery/settings.h"

namespace flamingoshunt::delivery {

TEST_CASE("A setting out of range is reported with its name and value") {
  settings valid;
  CHECK_NOTHROW(Check(valid));
  settings invalid = valid;
  invalid.silence.head = base::duration(-5);
  CHECK_THROWS_WITH(Check(invalid), "silence.head: -5 ns: must be above zero");
  invalid = valid;
  invalid.attempts.max_attempts = 0;
  CHECK_THROWS_WITH(Check(invalid),
                    "attempts.max_attempts: 0: must be at least 1");
  invalid = valid;
  invalid.claims.stored_answer = std::size_t{1} << 20;
  CHECK_THROWS_AS(Check(invalid), settings_error);
  id_source ids("node");
  CHECK_THROWS_AS(claim_sweeper({.deletions_per_second = 0}, ids),
                  settings_error);
}

}  // namespace flamingoshunt::delivery
