#include <catch2/catch.hpp>

#include "delivery/tests/fakes/scripted_engine.h"
#include "tests/fixed_seed.h"

namespace flamingoshunt::delivery {
namespace {

rc::Gen<attempt_script> AnyAttemptScript() {
  return rc::gen::build<attempt_script>(
      rc::gen::set(&attempt_script::fails_at,
                   rc::gen::inRange<std::uint64_t>(
                       0, scripted_engine::TokenCount() + 1)),
      rc::gen::set(
          &attempt_script::failure,
          rc::gen::map(rc::gen::inRange(0, kEngineFailures),
                       [](int i) { return static_cast<engine_failure>(i); })),
      rc::gen::set(&attempt_script::overlap,
                   rc::gen::inRange<std::uint64_t>(0, 6)),
      rc::gen::set(&attempt_script::chunk,
                   rc::gen::inRange<std::uint64_t>(1, 4)),
      rc::gen::set(&attempt_script::duplicates_chunks),
      rc::gen::set(&attempt_script::continues_later));
}

}  // namespace

TEST_CASE("Late, duplicate and overlapping chunks do not corrupt an answer") {
  const auto property = [] {
    // At a smaller size, rapidcheck restricts every range to its low end.
    const auto script = *rc::gen::resize(
        rc::kNominalSize,
        rc::gen::mapcat(rc::gen::inRange<std::size_t>(0, 6), [](auto size) {
          return rc::gen::container<std::vector<attempt_script>>(
              size, AnyAttemptScript());
        }));
    const std::string violation = FindStreamViolation(script);
    RC_LOG() << violation;
    RC_ASSERT(violation.empty());
  };
  CHECK(tests::Holds(property, 2000));
}

}  // namespace flamingoshunt::delivery
