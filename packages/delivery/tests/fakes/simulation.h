// Defines a simulation in virtual time around the real request machine: a
// platform store, admission with a few replicas, and endpoints that record the
// requests they executed. A plan injects faults at given steps of given calls;
// a step is one effect of the machine.
#ifndef FLAMINGOSHUNT_DELIVERY_TESTS_FAKES_SIMULATION_H_
#define FLAMINGOSHUNT_DELIVERY_TESTS_FAKES_SIMULATION_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "delivery/request_machine.h"
#include "delivery/tests/fakes/fake_store.h"

namespace flamingoshunt::delivery {

enum class fault {
  kSenderCrashesBefore,  ///< Before the step, which is not performed.
  kSenderCrashesAfter,
  kSenderPauses,  ///< Before the step, for half an hour.
  kCallerDisconnects,
  kNodeStops,
  kNoSlot,  ///< Admission refuses.
  kStoreUnavailable,
  kStoreLostBefore,
  kStoreLostAfter,
  kStoreDelayed,
  kStoreOutage,       ///< For ten minutes, for every call.
  kConnectFails,      ///< No byte is sent.
  kRefusedBeforeRun,  ///< The endpoint refuses; no byte is sent.
  kEndpointDiesBeforeRun,
  kEndpointDiesAfterRun,
  kBreaksInAnswer,  ///< After the run, with half of the answer sent.
  kStallsAfterRun,
  kRunsLate,  ///< The connection closes at once, the call runs a minute later.
  kCount
};

struct planned_fault {
  int call = 0;
  int step = 0;
  fault kind = fault::kCount;
};

class simulation;

/// One call of a caller, carried by its own machine.
class simulated_call {
 public:
  simulated_call(simulation& sim, int number, caller::request request);

  void HandleInput(const input& message);
  void Start();

  caller::request request;
  std::string data;          ///< Answer data sent to the caller.
  std::uint64_t tokens = 0;  ///< Tokens sent to the caller.
  bool has_gap = false;      ///< A chunk did not continue the previous one.
  bool complete = false;
  std::optional<caller::problem> problem;
  int held_slots = 0;  ///< Granted and not yet released.
  bool crashed = false;
  int steps = 0;
  bool finished() const { return machine_.finished(); }
  request_state state() const { return machine_.state(); }

 private:
  friend class simulation;
  void PerformPending();
  bool ApplySenderFault(const std::vector<fault>& faults);
  void Perform(const effect& effect, const std::vector<fault>& faults);

  simulation& sim_;
  const int number_;
  id_source ids_;
  request_machine machine_;
  std::deque<effect> pending_;
  bool pause_done_ = false;
  base::time_point paused_until_;
  std::uint64_t timer_generation_ = 0;
};

class simulation {
 public:
  explicit simulation(std::vector<planned_fault> plan = {})
      : plan_(std::move(plan)) {}

  simulated_call& StartCall(caller::request request);
  void At(base::duration when, std::function<void()> action);
  void RunUntil(base::duration when);

  /// Answers an attempt; tests may replace it.
  std::function<void(const endpoint::attempt&,
                     const std::vector<fault>&,
                     simulated_call&)>
      endpoint = [this](const auto& attempt, const auto& faults, auto& call) {
        RunService(attempt, faults, call);
      };

  base::time_point now{};
  settings limits;
  fake_store store;
  base::duration delayed_writes_after = std::chrono::seconds(4);
  std::vector<base::request_id> executed_requests;  ///< In order.
  int replicas = 3;
  std::set<int> occurred_faults;  ///< Indices into the plan.
  base::duration store_latency = std::chrono::milliseconds(1);
  /// Called before each step; its result is added to the planned faults.
  std::function<std::vector<fault>(int call, int step, const effect&)> on_step;

  void After(base::duration delay, std::function<void()> action);
  /// @return the faults planned for this step that apply to @p effect.
  std::vector<fault> FindFaults(int call, int step, const effect& effect);

 private:
  friend class simulated_call;
  void RunService(const endpoint::attempt& attempt,
                  const std::vector<fault>& faults,
                  simulated_call& call);
  void Answer(const store::call& call,
              const std::vector<fault>& faults,
              simulated_call& to);
  void Grant(const admission::slot_request& ask,
             const std::vector<fault>& faults,
             simulated_call& to);

  std::vector<planned_fault> plan_;
  std::multimap<base::time_point, std::function<void()>> events_;
  std::vector<std::unique_ptr<simulated_call>> calls_;
  base::time_point store_down_until_{};
};

/// @return an order that must not run twice, with an Idempotency-Key.
caller::request MakePalletOrder(const std::string& key = "order-7");

/// @return a streamed completion that may be repeated.
caller::request MakeDraft();

/// @return what is wrong with a call that sent a pallet order, or an empty
/// text.
std::string FindOrderViolation(const simulation& sim,
                               const simulated_call& call);

inline bool HasFault(const std::vector<fault>& faults, fault kind) {
  return std::find(faults.begin(), faults.end(), kind) != faults.end();
}

}  // namespace flamingoshunt::delivery

#endif  // FLAMINGOSHUNT_DELIVERY_TESTS_FAKES_SIMULATION_H_
