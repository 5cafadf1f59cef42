#include <catch2/catch.hpp>

#include "stand_ins/platform_stand_in.h"
#include "store/settled_write.h"

namespace flamingoshunt::store {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Runs one settled write against a stand-in until it is done.
class bench {
 public:
  write_result Run(const call& request,
                   const std::function<void()>& meanwhile) {
    settled_write write(request, ids_);
    platform.Send(0, write.Start(now_), now_);
    meanwhile();
    std::optional<write_result> done;
    while (!done) {
      const auto next = NextTimer(write);
      REQUIRE(next);
      now_ = std::max(now_, *next);
      Take(write.Tick(now_), done);
      for (const auto& delivery : platform.Due(now_))
        Take(write.Handle(std::get<reply>(delivery.message), now_), done);
    }
    maybe_applied = write.maybe_applied();
    return *done;
  }

  // Lets delayed writes take effect.
  void RunOut() { platform.Due(now_ + seconds(60)); }

  stand_ins::platform_stand_in platform;
  bool maybe_applied = false;

 private:
  std::optional<base::time_point> NextTimer(const settled_write& write) const {
    auto next = write.NextTimer();
    const auto other = platform.NextTimer();
    return !next || (other && *other < *next) ? other : next;
  }
  void Take(const settled_write::step& step,
            std::optional<write_result>& done) {
    if (step.send)
      platform.Send(0, *step.send, now_);
    if (step.done)
      done = step.done;
  }

  call_id_source ids_{call_owner::kReplica};
  base::time_point now_{};
};

call Write(operation op, std::string value, std::uint64_t expected = 0) {
  call request;
  request.op = op;
  request.key = {"allocation", "a"};
  request.value = std::move(value);
  request.expected = base::revision(expected);
  return request;
}

const auto kNothing = [] {};

}  // namespace

TEST_CASE("A write that took effect without an answer counts as applied") {
  for (const int lost : {0, 1, 2}) {
    bench run;
    run.platform.faults.lose_answers = lost;
    CHECK(run.Run(Write(operation::kCreate, "me"), kNothing) ==
          write_result::kApplied);
    run.platform.faults.lose_answers = lost;
    CHECK(run.Run(Write(operation::kUpdate, "me2", 2), kNothing) ==
          write_result::kApplied);
    CHECK(run.platform.store.revision() == base::revision(3));
    run.platform.faults.lose_answers = lost;
    CHECK(run.Run(Write(operation::kDelete, "", 3), kNothing) ==
          write_result::kApplied);
  }
}

TEST_CASE("A delayed write and its repeat take effect once") {
  bench run;
  run.platform.store.Apply(Write(operation::kCreate, "first"));
  run.platform.faults.delay_writes = 1;
  CHECK(run.Run(Write(operation::kUpdate, "me", 2), kNothing) ==
        write_result::kApplied);
  run.RunOut();
  CHECK(run.platform.store.revision() == base::revision(3));
}

TEST_CASE("Another writer's update is a conflict, never overwritten") {
  bench run;
  run.platform.store.Apply(Write(operation::kCreate, "first"));
  run.platform.faults.delay_writes = 1;
  const auto other = [&] {
    run.platform.store.Apply(Write(operation::kUpdate, "other", 2));
  };
  CHECK(run.Run(Write(operation::kUpdate, "me", 2), other) ==
        write_result::kConflict);
  run.RunOut();
  const auto current = run.platform.store.Apply(Write(operation::kGet, ""));
  CHECK(current.current->value == "other");
}

TEST_CASE(
    "A write overwritten before it was settled says it may have applied") {
  bench run;
  run.platform.store.Apply(Write(operation::kCreate, "first"));
  run.platform.faults.lose_answers = 1;
  const auto other = [&] {
    run.platform.store.Apply(Write(operation::kUpdate, "other", 3));
  };
  CHECK(run.Run(Write(operation::kUpdate, "me", 2), other) ==
        write_result::kConflict);
  CHECK(run.maybe_applied);
}

TEST_CASE(
    "An outage leaves a refused write not applied, a sent one unsettled") {
  bench run;
  run.platform.faults.refuse = true;
  CHECK(run.Run(Write(operation::kCreate, "me"), kNothing) ==
        write_result::kNotApplied);
  run.platform.faults.refuse = false;
  run.platform.faults.silent = true;
  CHECK(run.Run(Write(operation::kCreate, "me"), kNothing) ==
        write_result::kUnsettled);
}

}  // namespace flamingoshunt::store
