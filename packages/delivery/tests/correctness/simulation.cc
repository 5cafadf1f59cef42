#include "delivery/tests/fakes/simulation.h"

#include <algorithm>

namespace flamingoshunt::delivery {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

constexpr base::duration kHop = milliseconds(1);
constexpr base::duration kPauseOfSender = minutes(30);
constexpr base::duration kOutage = minutes(10);

store_fault StoreFaultOf(const std::vector<fault>& faults) {
  if (Has(faults, fault::kStoreUnavailable))
    return store_fault::kUnavailable;
  if (Has(faults, fault::kStoreLostBefore))
    return store_fault::kLostBefore;
  if (Has(faults, fault::kStoreLostAfter))
    return store_fault::kLostAfter;
  return Has(faults, fault::kStoreDelayed) ? store_fault::kDelayed
                                           : store_fault::kNone;
}

bool CanBefall(fault kind, const effect& effect) {
  if (kind <= fault::kStopping)
    return true;
  if (kind == fault::kNoPlace)
    return std::holds_alternative<ask_place>(effect);
  if (kind > fault::kStoreDown)
    return std::holds_alternative<start_attempt>(effect);
  const auto* call = std::get_if<call_platform>(&effect);
  const bool reads = call && call->call.op == store::operation::kGet;
  const bool only_writes =
      kind != fault::kStoreUnavailable && kind != fault::kStoreDown;
  return call && !(reads && only_writes);
}

}  // namespace

simulated_call::simulated_call(simulation& world,
                               int number,
                               caller::request request)
    : request(std::move(request)),
      world_(world),
      number_(number),
      ids_("node-" + std::to_string(number)),
      machine_(request_machine::builder()
                   .WithSettings(world.limits)
                   .WithIds(ids_)
                   .AcceptedAt(base::wall_time(world.now.time_since_epoch()))
                   .Build()) {}

void simulated_call::Start() {
  Feed(request_accepted{request});
}

void simulated_call::Feed(const input& message) {
  if (dead)
    return;
  if (world_.now < paused_until_) {
    world_.After(paused_until_ - world_.now,
                 [this, message] { Feed(message); });
    return;
  }
  for (effect& effect : machine_.Handle(message, world_.now))
    pending_.push_back(std::move(effect));
  PerformPending();
}

void simulated_call::PerformPending() {
  while (!pending_.empty() && !dead && world_.now >= paused_until_) {
    if (const auto* timer = std::get_if<set_timer>(&pending_.front())) {
      const auto generation = ++timer_generation_;
      world_.At(timer->when.time_since_epoch(), [this, generation] {
        if (generation == timer_generation_)
          Feed(timer_fired{});
      });
      pending_.pop_front();
      continue;
    }
    const auto faults = world_.FaultsAt(number_, steps, pending_.front());
    if (ApplySenderFault(faults))
      continue;
    ++steps;
    pause_served_ = false;
    const effect next = std::move(pending_.front());
    pending_.pop_front();
    Perform(next, faults);
    if (Has(faults, fault::kSenderDiesAfter))
      dead = true;
  }
}

// @return whether the step has to wait or never comes.
bool simulated_call::ApplySenderFault(const std::vector<fault>& faults) {
  if (Has(faults, fault::kSenderDiesBefore)) {
    dead = true;
    return true;
  }
  if (Has(faults, fault::kCallerGone))
    world_.After({}, [this] { Feed(caller_gone{}); });
  if (Has(faults, fault::kStopping))
    world_.After({}, [this] { Feed(stopping{}); });
  if (!Has(faults, fault::kSenderPauses) || pause_served_)
    return false;
  pause_served_ = true;
  paused_until_ = world_.now + kPauseOfSender;
  world_.After(kPauseOfSender, [this] { PerformPending(); });
  return true;
}

void simulated_call::Perform(const effect& effect,
                             const std::vector<fault>& faults) {
  if (const auto* ask = std::get_if<ask_place>(&effect))
    world_.Grant(ask->ask, faults, *this);
  if (std::holds_alternative<release_place>(effect))
    --places;
  if (const auto* call = std::get_if<call_platform>(&effect))
    world_.Answer(call->call, faults, *this);
  if (const auto* start = std::get_if<start_attempt>(&effect))
    world_.endpoint(start->attempt, faults, *this);
  if (const auto* chunk = std::get_if<send_chunk>(&effect)) {
    skipped |= chunk->offset != tokens;
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

std::vector<fault> simulation::FaultsAt(int call,
                                        int step,
                                        const effect& effect) {
  std::vector<fault> found;
  for (std::size_t i = 0; i < plan_.size(); ++i) {
    if (plan_[i].call != call || plan_[i].step != step ||
        !CanBefall(plan_[i].kind, effect))
      continue;
    found.push_back(plan_[i].kind);
    faults_met.insert(static_cast<int>(i));
  }
  if (on_step) {
    const std::vector<fault> more = on_step(call, step, effect);
    found.insert(found.end(), more.begin(), more.end());
  }
  return found;
}

void simulation::Grant(const admission::slot_request& ask,
                       const std::vector<fault>& faults,
                       simulated_call& to) {
  const base::request_id request = ask.shape.request;
  for (int i = 0; i < replicas && !Has(faults, fault::kNoPlace); ++i) {
    const base::replica_id replica("replica-" + std::to_string(i));
    const auto& excluded = ask.shape.excluded;
    if (std::find(excluded.begin(), excluded.end(), replica) != excluded.end())
      continue;
    ++to.places;
    admission::grant grant;
    grant.request = request;
    grant.place.replica = replica;
    grant.place.address = replica.str();
    After(kHop, [&to, grant] { to.Feed(grant); });
    return;
  }
  After(kHop, [&to, request] {
    to.Feed(admission::refusal{request, admission::refusal_reason::kNoReplica,
                               std::nullopt});
  });
}

void simulation::Answer(const store::call& call,
                        const std::vector<fault>& faults,
                        simulated_call& to) {
  if (Has(faults, fault::kStoreDown))
    store_down_until_ = now + kOutage;
  const store_fault kind = now < store_down_until_ ? store_fault::kUnavailable
                                                   : StoreFaultOf(faults);
  const store::reply reply = store.Call(call, kind);
  if (kind == store_fault::kDelayed)
    After(delayed_writes_after, [this] { store.ApplyDelayed(); });
  const bool lost = reply.outcome == store::call_outcome::kUnknown;
  After(lost ? call.timeout : store_latency, [&to, reply] { to.Feed(reply); });
}

void simulation::RunService(const endpoint::attempt& attempt,
                            const std::vector<fault>& faults,
                            simulated_call& call) {
  using endpoint::break_kind;
  const auto id = attempt.id;
  const auto breaks = [&](break_kind kind, bool may_have_left) {
    After(2 * kHop, [&call, id, kind, may_have_left] {
      call.Feed(endpoint::answer_broken{id, kind, may_have_left, "fault"});
    });
  };
  const auto request = attempt.request;
  const auto run = [this, request] { ledger.push_back(request); };
  if (Has(faults, fault::kConnectFails))
    return breaks(break_kind::kConnectFailed, false);
  if (Has(faults, fault::kRefusedUnrun))
    return breaks(break_kind::kRefused, false);
  if (Has(faults, fault::kEndpointDiesBeforeRun))
    return breaks(break_kind::kClosed, true);
  if (Has(faults, fault::kRunsLate)) {
    After(minutes(1), run);
    return breaks(break_kind::kClosed, true);
  }
  After(kHop, run);
  if (Has(faults, fault::kSilentAfterRun))
    return;
  if (Has(faults, fault::kEndpointDiesAfterRun))
    return breaks(break_kind::kClosed, true);
  After(kHop, [&call, id] {
    call.Feed(endpoint::answer_head{id, 201, "text/plain"});
    call.Feed(endpoint::answer_chunk{id, 0, 0, "released "});
  });
  if (Has(faults, fault::kBreaksInAnswer))
    return breaks(break_kind::kClosed, true);
  After(2 * kHop, [&call, id] {
    call.Feed(endpoint::answer_chunk{id, 9, 0, "pallet"});
    call.Feed(endpoint::answer_end{id, 15, ""});
  });
}

std::string WrongWithOrder(const simulation& world,
                           const simulated_call& call) {
  const std::string name = call.request.id.str();
  const auto runs =
      std::count(world.ledger.begin(), world.ledger.end(), call.request.id);
  const bool says_not_run =
      call.problem && call.problem->outcome == caller::run_outcome::kNotRun;
  if (says_not_run && runs > 0)
    return name + " was refused as not run and ran";
  if (call.complete && call.problem)
    return name + " got an answer and a problem";
  if (call.complete && call.data != "released pallet")
    return name + " got a wrong answer: " + call.data;
  if (call.complete && world.ledger.empty())
    return name + " got an answer without a run";
  if (!call.dead && !call.finished())
    return name + " never ended";
  if (!call.dead && call.places != 0)
    return name + " kept a place";
  return {};
}

caller::request PalletOrder(const std::string& key) {
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

caller::request Draft() {
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
