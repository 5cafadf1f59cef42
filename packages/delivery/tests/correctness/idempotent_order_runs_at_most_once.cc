// Injects every fault at every step of a call with an Idempotency-Key, alone
// and in pairs, while the caller repeats the call through other nodes.
#include <catch2/catch.hpp>

#include <string>

#include "delivery/tests/fakes/simulation.h"

namespace flamingoshunt::delivery {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr int kMaxSteps = 14;
constexpr int kKinds = static_cast<int>(fault::kCount);
constexpr base::duration kFirstRepeat[] = {milliseconds(0), milliseconds(3),
                                           seconds(5)};
constexpr base::duration kDelays[] = {milliseconds(2500), seconds(20),
                                      minutes(100)};

struct trial_result {
  bool all_occurred = false;  // All planned faults were injected.
  std::string violation;
};

std::string Describe(const std::vector<planned_fault>& plan) {
  std::string text;
  for (const planned_fault& fault : plan)
    text += " call " + std::to_string(fault.call) + " step " +
            std::to_string(fault.step) + " fault " +
            std::to_string(static_cast<int>(fault.kind)) + ";";
  return text;
}

// @return whether the faults leave the outcome certain in the end, so that a
// late repeat must get the answer of the only run.
bool HasCertainOutcome(const std::vector<planned_fault>& plan) {
  return std::all_of(plan.begin(), plan.end(),
                     [](const planned_fault& planned) {
                       return planned.kind >= fault::kCallerDisconnects &&
                              planned.kind <= fault::kRefusedBeforeRun &&
                              planned.kind != fault::kStoreOutage;
                     });
}

trial_result RunTrial(const std::vector<planned_fault>& plan,
                      base::duration first_repeat,
                      base::duration write_delay,
                      bool checks_versions = true) {
  simulation sim(plan);
  sim.delayed_writes_after = write_delay;
  sim.store.checks_versions = checks_versions;
  const auto& first = sim.StartCall(MakePalletOrder());
  sim.RunUntil(first_repeat);
  const auto& second = sim.StartCall(MakePalletOrder());
  sim.RunUntil(hours(2));
  const auto& last = sim.StartCall(MakePalletOrder());
  sim.RunUntil(hours(3));
  trial_result result;
  result.all_occurred = sim.occurred_faults.size() == plan.size();
  if (sim.executed_requests.size() > 1)
    result.violation =
        "ran " + std::to_string(sim.executed_requests.size()) + " times";
  if (HasCertainOutcome(plan) && !last.complete)
    result.violation = "the last repeat got no answer";
  for (const simulated_call* call : {&first, &second, &last})
    if (result.violation.empty())
      result.violation = FindOrderViolation(sim, *call);
  return result;
}

bool HasDelayedWrite(const std::vector<planned_fault>& plan) {
  return std::any_of(plan.begin(), plan.end(),
                     [](const planned_fault& planned) {
                       return planned.kind == fault::kStoreDelayed;
                     });
}

int RunAllTimings(const std::vector<planned_fault>& plan) {
  int all_occurred = 0;
  for (const base::duration repeat : kFirstRepeat)
    for (const base::duration write_delay : kDelays) {
      const trial_result result = RunTrial(plan, repeat, write_delay);
      all_occurred += result.all_occurred;
      if (!result.violation.empty())
        FAIL(result.violation << ":" << Describe(plan) << " repeat after "
                              << repeat.count() << " ns, write delayed by "
                              << write_delay.count() << " ns");
      if (!result.all_occurred)
        return all_occurred;
      if (!HasDelayedWrite(plan))
        break;
    }
  return all_occurred;
}

template <class Action>
void ForEachFault(int call, const Action& action) {
  for (int step = 0; step < kMaxSteps; ++step)
    for (int kind = 0; kind < kKinds; ++kind)
      action(planned_fault{call, step, static_cast<fault>(kind)});
}

}  // namespace

TEST_CASE("An order runs at most once under any single fault") {
  int all_occurred = RunAllTimings({});
  for (const int call : {0, 1})
    ForEachFault(call, [&](const planned_fault& fault) {
      all_occurred += RunAllTimings({fault});
    });
  CHECK(all_occurred > 270);
}

TEST_CASE("The test detects a store without conditional writes") {
  CHECK(RunTrial({}, milliseconds(0), seconds(20), false).violation ==
        "ran 2 times");
}

TEST_CASE("An order without a key is sent at most once") {
  int all_occurred = 0;
  const auto send = [&](const std::vector<planned_fault>& plan) {
    simulation sim(plan);
    const auto& call = sim.StartCall(MakePalletOrder(""));
    sim.RunUntil(hours(2));
    all_occurred += sim.occurred_faults.size() == plan.size();
    if (sim.executed_requests.size() > 1)
      FAIL("ran twice:" << Describe(plan));
    if (const std::string violation = FindOrderViolation(sim, call);
        !violation.empty())
      FAIL(violation << ":" << Describe(plan));
  };
  ForEachFault(0, [&](const planned_fault& first_fault) {
    send({first_fault});
    ForEachFault(0, [&](const planned_fault& second_fault) {
      send({first_fault, second_fault});
    });
  });
  CHECK(all_occurred > 500);
}

TEST_CASE("An order runs at most once under any two faults of one call") {
  int all_occurred = 0;
  ForEachFault(0, [&](const planned_fault& first_fault) {
    if (!RunTrial({first_fault}, kFirstRepeat[0], kDelays[0]).all_occurred)
      return;
    ForEachFault(0, [&](const planned_fault& second_fault) {
      if (second_fault.step > first_fault.step)
        all_occurred += RunAllTimings({first_fault, second_fault});
    });
  });
  CHECK(all_occurred > 3000);
}

TEST_CASE("An order runs at most once under faults in both its calls") {
  int all_occurred = 0;
  ForEachFault(0, [&](const planned_fault& first_fault) {
    if (!RunTrial({first_fault}, kFirstRepeat[0], kDelays[0]).all_occurred)
      return;
    ForEachFault(1, [&](const planned_fault& second_fault) {
      all_occurred += RunAllTimings({first_fault, second_fault});
    });
  });
  CHECK(all_occurred > 6900);
}

}  // namespace flamingoshunt::delivery
