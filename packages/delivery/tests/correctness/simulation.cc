#include "delivery/tests/fakes/simulation.h"

#include <algorithm>

namespace flamingoshunt::delivery {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

constexpr base::duration kHop = milliseconds(1);
constexpr base::duration kSenderPause = minutes(30);
constexpr base::duration kOutage = minutes(10);

store_fault ToStoreFault(const std::vector<fault>& faults) {
  if (HasFault(faults, fault::kStoreUnavailable))
    return store_fault::kUnavailable;
  if (HasFault(faults, fault::kStoreLostBefore))
    return store_fault::kLostBefore;
  if (HasFault(faults, fault::kStoreLostAfter))
    return store_fault::kLostAfter;
  return HasFault(faults, fault::kStoreDelayed) ? store_fault::kDelayed
                                                : store_fault::kNone;
}

bool CanOccurAt(fault kind, const effect& effect) {
  if (kind <= fault::kNodeStops)
    return true;
  if (kind == fault::kNoSlot)
    return std::holds_alternative<request_slot>(effect);
  if (kind > fault::kStoreOutage)
    return std::holds_alternative<start_attempt>(effect);
  const auto* call = std::get_if<call_platform>(&effect);
  const bool reads = call && call->call.op == store::operation::kGet;
  const bool only_writes =
      kind != fault::kStoreUnavailable && kind != fault::kStoreOutage;
  return call && !(reads && only_writes);
}

}  // namespace

simulated_call::simulated_call(simulation& sim,
                               int number,
                               caller::request request)
    : request(std::move(request)),
      sim_(sim),
      number_(number),
      ids_("node-" + std::to_string(number)),
      machine_(request_machine::builder()
                   .WithSettings(sim.limits)
                   .WithIds(ids_)
                   .AcceptedAt(base::wall_time(sim.now.time_since_epoch()))
                   .Build()) {}

void simulated_call::Start() {
  HandleInput(request_accepted{request});
}

void simulated_call::HandleInput(const input& message) {
  if (crashed)
    return;
  if (sim_.now < paused_until_) {
    sim_.After(paused_until_ - sim_.now,
               [this, message] { HandleInput(message); });
    return;
  }
  for (effect& effect : machine_.Handle(message, sim_.now))
    pending_.push_back(std::move(effect));
  PerformPending();
}

void simulated_call::PerformPending() {
  while (!pending_.empty() && !crashed && sim_.now >= paused_until_) {
    if (const auto* timer = std::get_if<set_timer>(&pending_.front())) {
      const auto generation = ++timer_generation_;
      sim_.At(timer->when.time_since_epoch(), [this, generation] {
        if (generation == timer_generation_)
          HandleInput(timer_fired{});
      });
      pending_.pop_front();
      continue;
    }
    const auto faults = sim_.FindFaults(number_, steps, pending_.front());
    if (ApplySenderFault(faults))
      continue;
    ++steps;
    pause_done_ = false;
    const effect next = std::move(pending_.front());
    pending_.pop_front();
    Perform(next, faults);
    if (HasFault(faults, fault::kSenderCrashesAfter))
      crashed = true;
  }
}

// @return whether the step is delayed or never performed.
bool simulated_call::ApplySenderFault(const std::vector<fault>& faults) {
  if (HasFault(faults, fault::kSenderCrashesBefore)) {
    crashed = true;
    return true;
  }
  if (HasFault(faults, fault::kCallerDisconnects))
    sim_.After({}, [this] { HandleInput(caller_disconnected{}); });
  if (HasFault(faults, fault::kNodeStops))
    sim_.After({}, [this] { HandleInput(node_stopping{}); });
  if (!HasFault(faults, fault::kSenderPauses) || pause_done_)
    return false;
  pause_done_ = true;
  paused_until_ = sim_.now + kSenderPause;
  sim_.After(kSenderPause, [this] { PerformPending(); });
  return true;
}

void simulated_call::Perform(const effect& effect,
                             const std::vector<fault>& faults) {
  if (const auto* requested = std::get_if<request_slot>(&effect))
    sim_.Grant(requested->slot_request, faults, *this);
  if (std::holds_alternative<release_slot>(effect))
    --held_slots;
  if (const auto* call = std::get_if<call_platform>(&effect))
    sim_.Answer(call->call, faults, *this);
  if (const auto* start = std::get_if<start_attempt>(&effect))
    sim_.endpoint(start->attempt, faults, *this);
  if (const auto* chunk = std::get_if<send_chunk>(&effect)) {
    has_gap |= chunk->offset != tokens;
    tokens += chunk->token_count;
    data += chunk->data;
  }
  if (std::holds_alternative<send_end>(effect))
    complete = true;
  if (const auto* failed = std::get_if<send_problem>(&effect))
    problem = failed->problem;
}

simulated_call& simulation::StartCall(caller::request request) {
  const int number = static_cast<int>(calls_.size());
  request.id = base::request_id("request-" + std::to_string(number));
  calls_.push_back(
      std::make_unique<simulated_call>(*this, number, std::move(request)));
  calls_.back()->Start();
  return *calls_.back();
}

void simulation::At(base::duration when, std::function<void()> action) {
  events_.emplace(std::max(now, base::time_point(when)), std::move(action));
}

void simulation::After(base::duration delay, std::function<void()> action) {
  events_.emplace(now + delay, std::move(action));
}

void simulation::RunUntil(base::duration when) {
  while (!events_.empty() && events_.begin()->first <= base::time_point(when)) {
    const auto next = events_.extract(events_.begin());
    now = next.key();
    next.mapped()();
  }
  now = base::time_point(when);
}

std::vector<fault> simulation::FindFaults(int call,
                                          int step,
                                          const effect& effect) {
  std::vector<fault> faults;
  for (std::size_t i = 0; i < plan_.size(); ++i) {
    if (plan_[i].call != call || plan_[i].step != step ||
        !CanOccurAt(plan_[i].kind, effect))
      continue;
    faults.push_back(plan_[i].kind);
    occurred_faults.insert(static_cast<int>(i));
  }
  if (on_step) {
    const std::vector<fault> extra_faults = on_step(call, step, effect);
    faults.insert(faults.end(), extra_faults.begin(), extra_faults.end());
  }
  return faults;
}

void simulation::Grant(const admission::slot_request& ask,
                       const std::vector<fault>& faults,
                       simulated_call& to) {
  const base::request_id request = ask.shape.request;
  for (int i = 0; i < replicas && !HasFault(faults, fault::kNoSlot); ++i) {
    const base::replica_id replica("replica-" + std::to_string(i));
    const auto& excluded = ask.shape.excluded;
    if (std::find(excluded.begin(), excluded.end(), replica) != excluded.end())
      continue;
    ++to.held_slots;
    admission::grant grant;
    grant.request = request;
    grant.place.replica = replica;
    grant.place.address = replica.str();
    After(kHop, [&to, grant] { to.HandleInput(grant); });
    return;
  }
  After(kHop, [&to, request] {
    to.HandleInput(admission::refusal{
        request, admission::refusal_reason::kNoReplica, std::nullopt});
  });
}

void simulation::Answer(const store::call& call,
                        const std::vector<fault>& faults,
                        simulated_call& to) {
  if (HasFault(faults, fault::kStoreOutage))
    store_down_until_ = now + kOutage;
  const store_fault kind = now < store_down_until_ ? store_fault::kUnavailable
                                                   : ToStoreFault(faults);
  const store::reply reply = store.Call(call, kind);
  if (kind == store_fault::kDelayed)
    After(delayed_writes_after, [this] { store.ApplyDelayed(); });
  const bool lost = reply.outcome == store::call_outcome::kUnknown;
  After(lost ? call.timeout : store_latency,
        [&to, reply] { to.HandleInput(reply); });
}

void simulation::RunService(const endpoint::attempt& attempt,
                            const std::vector<fault>& faults,
                            simulated_call& call) {
  using endpoint::break_kind;
  const auto id = attempt.id;
  const auto break_attempt = [&](break_kind kind, bool may_have_been_sent) {
    After(2 * kHop, [&call, id, kind, may_have_been_sent] {
      call.HandleInput(
          endpoint::answer_broken{id, kind, may_have_been_sent, "fault"});
    });
  };
  const auto request = attempt.request;
  const auto record_run = [this, request] {
    executed_requests.push_back(request);
  };
  if (HasFault(faults, fault::kConnectFails))
    return break_attempt(break_kind::kConnectFailed, false);
  if (HasFault(faults, fault::kRefusedBeforeRun))
    return break_attempt(break_kind::kRefused, false);
  if (HasFault(faults, fault::kEndpointDiesBeforeRun))
    return break_attempt(break_kind::kClosed, true);
  if (HasFault(faults, fault::kRunsLate)) {
    After(minutes(1), record_run);
    return break_attempt(break_kind::kClosed, true);
  }
  After(kHop, record_run);
  if (HasFault(faults, fault::kStallsAfterRun))
    return;
  if (HasFault(faults, fault::kEndpointDiesAfterRun))
    return break_attempt(break_kind::kClosed, true);
  After(kHop, [&call, id] {
    call.HandleInput(endpoint::answer_head{id, 201, "text/plain"});
    call.HandleInput(endpoint::answer_chunk{id, 0, 0, "released "});
  });
  if (HasFault(faults, fault::kBreaksInAnswer))
    return break_attempt(break_kind::kClosed, true);
  After(2 * kHop, [&call, id] {
    call.HandleInput(endpoint::answer_chunk{id, 9, 0, "pallet"});
    call.HandleInput(endpoint::answer_end{id, 15, ""});
  });
}

std::string FindOrderViolation(const simulation& sim,
                               const simulated_call& call) {
  const std::string name = call.request.id.str();
  const auto runs = std::count(sim.executed_requests.begin(),
                               sim.executed_requests.end(), call.request.id);
  const bool reported_not_run =
      call.problem && call.problem->outcome == caller::run_outcome::kNotRun;
  if (reported_not_run && runs > 0)
    return name + " was refused as not run and ran";
  if (call.complete && call.problem)
    return name + " got an answer and a problem";
  if (call.complete && call.data != "released pallet")
    return name + " got a wrong answer: " + call.data;
  if (call.complete && sim.executed_requests.empty())
    return name + " got an answer without a run";
  if (!call.crashed && !call.finished())
    return name + " never ended";
  if (!call.crashed && call.held_slots != 0)
    return name + " kept its slot";
  return {};
}

caller::request MakePalletOrder(const std::string& key) {
  caller::request request;
  request.workspace = base::workspace_id("dispatch");
  request.entry = base::entry_name("room-ops");
  request.shape = caller::call_shape::kService;
  request.method = "POST";
  request.target = "/orders/release";
  request.body = R"({"pallet":7})";
  request.repeatable = false;
  request.idempotency_key = key;
  return request;
}

caller::request MakeDraft() {
  caller::request request;
  request.workspace = base::workspace_id("tablets");
  request.entry = base::entry_name("ripen-llm");
  request.method = "POST";
  request.target = "/v1/completions";
  request.body = R"({"model":"ripen-llm","prompt":"room 4"})";
  request.stream = true;
  return request;
}

}  // namespace flamingoshunt::delivery
