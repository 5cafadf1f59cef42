// How a node acts for the groups of a service: steps, orders and questions.
#include <boost/asio/post.hpp>

#include <algorithm>
#include <cmath>
#include <exception>
#include <utility>

#include "base/milliseconds.h"
#include "daemon/fleet_duty.h"
#include "gateway/endpoint_probe.h"
#include "runtime/fiber_scheduler.h"
#include "telemetry/log.h"

namespace flamingoshunt::daemon {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kIdleStep{200};
// A living replica answers within a few network delays; the bound leaves room
// for one lost packet.
constexpr milliseconds kReportBound{170};
constexpr milliseconds kOrderBound{1000};

// The planner waits for the outcome of each exchange, so an unexpected error is
// one too.
void LogExchangeFailed(const base::instance_id& instance,
                       const std::exception& error) {
  telemetry::LogChange("groups", "exchange_failed",
                       {{"instance", instance.str()}, {"why", error.what()}},
                       telemetry::log_level::kError);
}

// @return the count for the log, -1 if there is none.
std::int64_t CountOrUnknown(const std::optional<std::uint64_t>& count) {
  return count ? static_cast<std::int64_t>(*count) : -1;
}

}  // namespace

void fleet_duty::Step() {
  const auto now = clock_.Now();
  TakeOutage();
  LogNewlyListed();
  LogNewlyUnusable();
  if (std::exchange(nodes_changed_, false))
    relays_.SetNodes(nodes_, now);
  // While the platform is unreachable, no entry can return or lapse.
  if (StoreReachable())
    ExpireEntries(now);
  Register();
  RequestConfiguration();
  const bool may_load_freely = settings_.gateway->first_start &&
                               !seen_requests_ && !AnyNodeSeenRequests();
  for (auto& [name, of] : services_) {
    if (!may_load_freely)
      of->planner.OnFirstRequest();
    StepService(name, *of);
    if (of->reach.cut_off() && of->reach.StartProbe(now))
      runtime::SpawnFiber([this, service = name] { ProbeReplicas(service); });
  }
  const auto live = peers_.LiveNodes(now, Silence()).size() + 1;
  if (live != live_nodes_) {
    live_nodes_ = live;
    view_due_ = true;
  }
  UpdateFleetSize();
  UpdatePollDelays();
  UpdatePassingPeers();
  if (now >= next_news_)
    outbox_.RequestFull();
  SendDue();
  if (now >= next_view_)
    view_due_ = true;
  if (view_due_)
    Publish();
  next_step_ = std::min<base::time_point>(now + kIdleStep, next_view_);
  // The idle step notices when the platform is reachable again.
  if (const auto due = replicas_.NextTimer(); due && StoreReachable())
    next_step_ = std::min(next_step_, *due);
  for (const auto& [name, of] : services_) {
    if (of->is_leader)
      next_step_ = std::min(next_step_, of->planner.NextTimer(now));
  }
  ArmTimer();
}

void fleet_duty::StepSoon() {
  if (std::exchange(step_due_, true))
    return;
  boost::asio::post(thread_.loop(), [this] {
    step_due_ = false;
    Step();
  });
}

void fleet_duty::ExpireEntries(base::time_point now) {
  for (const base::instance_id& id : replicas_.Expire(now)) {
    telemetry::LogChange("fleet", "replica_not_back", {{"instance", id.str()}});
    for (auto& [name, of] : services_)
      of->planner.OnUnlisted(id);
    view_due_ = true;
  }
  for (const fleet::replica& entry : replicas_.TakeRenewed(now))
    AddReplica(entry, "set_aside", base::revision());
}

void fleet_duty::ArmTimer() {
  base::time_point next = next_step_;
  if (const auto due = outbox_.NextTimer(clock_.Now()))
    next = std::min(next, *due);
  else
    next = std::min(next, next_news_);
  timer_.Arm(next);
}

void fleet_duty::StepService(const std::string& name, acting_service& of) {
  const auto now = clock_.Now();
  if (fleet_listed_)
    of.term.OnListed();
  if (now >= gather_until_ && StoreReachable()) {
    fleet::peer_status self;
    self.node = self_;
    self.cores = settings_.gateway->cores;
    self.cut_off_services = CutOffServices();
    const auto able =
        peers_.LeaderCandidates(self, name, of.term.leader(), now, Silence());
    if (auto write = of.term.Tick(able, now)) {
      pending_call purpose;
      purpose.service = name;
      Submit(std::move(*write), std::move(purpose));
    }
  }
  if (of.term.is_leader() != of.is_leader) {
    of.is_leader = of.term.is_leader();
    telemetry::LogChange("groups", of.is_leader ? "acting" : "not_acting",
                         {{"service", name},
                          {"term", of.term.term()},
                          {"actor", of.term.leader().str()}});
  }
  if (!of.is_leader) {
    ClearModelGauges(name);
    return;
  }
  if (of.begun_term != of.term.term()) {
    of.begun_term = of.term.term();
    of.planner.BeginTerm(of.begun_term, now);
  }
  if (settings_.gateway->groups_follow_demand)
    TakeDemand(name, of);
  const auto before = of.planner.announcement().edition;
  const groups::plan plan = of.planner.Tick(now);
  LogTargets(name, of);
  LogChanges(name, of);
  LogInventory(name, of);
  if (of.planner.announcement().edition != before) {
    groups_serving_.Set(
        static_cast<std::int64_t>(of.planner.announcement().groups.size()));
    outbox_.RequestFull();
    SendDue();
    view_due_ = true;
  }
  Carry(name, plan);
}

void fleet_duty::LogChanges(const std::string& name, acting_service& of) {
  for (const groups::group_change& change : of.planner.TakeChanges()) {
    if (change.changed_group.phase == groups::group_phase::kClosing &&
        change.event == "closing")
      groups_closed_.Add();
    telemetry::LogChange("groups", "group_" + change.event,
                         {{"service", name},
                          {"group", change.changed_group.name},
                          {"epoch", change.changed_group.epoch.value()},
                          {"model", change.changed_group.model},
                          {"head", change.changed_group.head().str()},
                          {"reason", change.changed_group.reason},
                          {"term", of.begun_term}});
  }
}

void fleet_duty::TakeDemand(const std::string& name, acting_service& of) {
  const auto now = clock_.Now();
  const bool relayed = relays_.in_use();
  const gateway::queue_length_map queued =
      relayed ? relayed_loads_.QueueLengths({}, now,
                                            fleet::peer_table::kPeerTimeout)
              : peers_.QueueLengths(now, Silence());
  groups::model_loads loads;
  for (const auto& [model, groups] : of.planner.target_and_serving()) {
    const std::string pool = gateway::PoolName(name, model);
    const auto at_others = queued.find(pool);
    const auto here = own_lines_.find(pool);
    loads[model].queued =
        (at_others == queued.end() ? 0 : at_others->second) +
        (relayed || here == own_lines_.end() ? 0 : here->second);
  }
  for (const fleet::serving_group& group : of.planner.announcement().groups) {
    const auto own = own_loads_.find(group.head);
    const int here =
        relayed || own == own_loads_.end() ? 0 : own->second.running;
    const gateway::placed_load at_others =
        relayed ? relayed_loads_.TotalOn(group.head)
                : peers_.LoadOn(group.head);
    loads[group.model].running += here + at_others.running;
  }
  of.planner.OnDemand(loads, now);
}

void fleet_duty::LogTargets(const std::string& name, acting_service& of) {
  for (const auto& decision : of.planner.TakeTargetDecisions()) {
    for (const auto& line : decision.lines)
      telemetry::LogChange("groups",
                           decision.taken ? "target_changed" : "target_kept",
                           {{"service", name},
                            {"model", line.model},
                            {"demand", line.demand},
                            {"proposed", line.target},
                            {"target", line.before},
                            {"existing", line.existing},
                            {"gained_replica_s", decision.gained},
                            {"cost_replica_s", decision.cost}});
  }
  for (const auto& [model, groups] : of.planner.target_and_serving()) {
    model_gauges& gauges = model_gauges_[{name, model}];
    if (!gauges.target) {
      const std::vector<telemetry::label> labels{{"service", name},
                                                 {"model", model}};
      gauges.target =
          &metrics_.AddGauge("fleet_model_groups_target",
                             "Groups that a model should have", labels);
      gauges.serving = &metrics_.AddGauge(
          "fleet_model_groups_serving", "Groups of a model that serve", labels);
    }
    gauges.target->Set(std::llround(groups.first));
    gauges.serving->Set(groups.second);
  }
}

// Those of the node that leads count.
void fleet_duty::ClearModelGauges(const std::string& service) {
  for (auto& [key, gauges] : model_gauges_) {
    if (key.first != service)
      continue;
    gauges.target->Set(0);
    gauges.serving->Set(0);
  }
}

void fleet_duty::LogInventory(const std::string& name, acting_service& of) {
  const std::pair reached(of.begun_term, of.planner.inventory_stage());
  if (std::exchange(of.logged_inventory, reached) == reached)
    return;
  const groups::inventory known = of.planner.Inventory(clock_.Now());
  telemetry::LogChange("groups", groups::NameOf(reached.second),
                       {{"service", name},
                        {"term", of.begun_term},
                        {"replicas", known.replicas},
                        {"reported", known.reported},
                        {"lost", known.lost},
                        {"unsettled_domains", known.unsettled_domains},
                        {"after_ms", base::WholeMilliseconds(known.elapsed)}});
}

void fleet_duty::Carry(const std::string& name, const groups::plan& plan) {
  for (const fleet::order& order : plan.orders)
    runtime::SpawnFiber([this, name, order] { SendOrder(name, order); });
  for (const groups::report_query& each : plan.report_queries)
    runtime::SpawnFiber([this, name, each] { AskReport(name, each); });
}

// One exchange on an idle connection or a fresh one, never repeated here.
// @param connected set once a fresh connection is established.
runtime::http_reply fleet_duty::ExchangeOnce(const std::string& address,
                                             runtime::http_request request,
                                             base::duration timeout,
                                             bool* connected) {
  auto connection = pool_.TakeIdle(address);
  if (!connection) {
    connection = pool_.Open(address, timeout);
    if (connected)
      *connected = true;
  }
  try {
    runtime::http_reply reply =
        runtime::Exchange(*connection, request, timeout);
    pool_.Return(std::move(connection));
    return reply;
  } catch (const runtime::transport_error&) {
    pool_.Forget(address);
    throw;
  }
}

void fleet_duty::SendOrder(const std::string& service,
                           const fleet::order& order) {
  orders_sent_.Add();
  auto result = fleet::order_result::kNoAnswer;
  try {
    const auto reply =
        ExchangeOnce(order.address, wire_.MakeOrderRequest(order), kOrderBound);
    result = wire_.ReadOrderResult(reply.head.status);
    LearnLeavingFrom(order.to, reply.head);
  } catch (const runtime::transport_error&) {
    // Told to the planner as an order that may be carried out later.
  } catch (const std::exception& error) {
    LogExchangeFailed(order.to, error);
  }
  const bool known = order.membership_known_at != base::time_point();
  const std::int64_t membership_age =
      known ? base::WholeMilliseconds(clock_.Now() - order.membership_known_at)
            : -1;
  telemetry::LogChange("groups", "order",
                       {{"instance", order.to.str()},
                        {"order", fleet::NameOf(order.body)},
                        {"fence", order.fence},
                        {"membership_age_ms", membership_age},
                        {"orders_known", CountOrUnknown(order.orders_known)},
                        {"result", fleet::NameOf(result)}});
  acting_service& of = *services_.at(service);
  if (of.begun_term != order.term)
    return;
  of.planner.OnOrderResult(order, result, clock_.Now());
  if (result == fleet::order_result::kFenced &&
      of.planner.ShowsLaterLeader(order))
    of.term.OnFenced(clock_.Now());
  StepSoon();
}

void fleet_duty::LearnLeavingFrom(const base::instance_id& id,
                                  const runtime::http_response_head& head) {
  const auto listed = replicas_.replicas().find(id);
  if (listed == replicas_.replicas().end() || !wire_.ReadLeaving(head))
    return;
  LearnLeaving({id, listed->second.engine.started_ms}, kFromAnswer);
  outbox_.RequestChanges();
}

std::set<std::string> fleet_duty::CutOffServices() const {
  std::set<std::string> services = cut_off_services_;
  for (const auto& [name, of] : services_) {
    if (of->is_leader && of->reach.cut_off())
      services.insert(name);
  }
  return services;
}

bool fleet_duty::ReachesOthers(const std::string& service,
                               base::time_point asked_at) {
  gateway::endpoint_reach& reach = services_.at(service)->reach;
  const auto reached = [&] {
    return !cut_off_services_.contains(service) && !reach.cut_off() &&
           reach.WasReachedSince(asked_at);
  };
  reach.OnFailed();
  if (reached())
    return true;
  if (reach.StartProbe(clock_.Now()))
    ProbeReplicas(service);
  else if (reach.probing())
    probe_finished_.Wait();
  return reached();
}

void fleet_duty::ProbeReplicas(const std::string& service) {
  gateway::endpoint_reach& reach = services_.at(service)->reach;
  std::vector<std::string> addresses;
  for (const auto& [id, replica] : replicas_.replicas()) {
    if (replica.service == service && !replica.leaving)
      addresses.push_back(replica.address);
  }
  const auto result = gateway::ProbeEndpoints(
      thread_.loop(),
      gateway::ChooseProbed(std::move(addresses), reach, random_),
      kReportBound);
  const bool before = reach.cut_off();
  reach.OnProbed(result, clock_.Now());
  probe_finished_.NotifyAll();
  if (reach.cut_off() == before)
    return;
  telemetry::LogChange("fleet", reach.cut_off() ? "cut_off" : "reconnected",
                       {{"service", service},
                        {"probed_reached", result.reached.size()},
                        {"probed_failed", result.failed}});
  outbox_.RequestFull();
  StepSoon();
}

void fleet_duty::AskReport(const std::string& service,
                           const groups::report_query& question) {
  const base::instance_id& id = question.to;
  acting_service& of = *services_.at(service);
  std::optional<fleet::engine_state> state;
  bool refused = false;
  bool answered = true;
  bool connected = false;
  bool silent = false;
  const auto asked_at = clock_.Now();
  reports_asked_.Add();
  try {
    const auto reply = ExchangeOnce(
        question.address, wire_.MakeReportRequest(id, question.address),
        kReportBound, &connected);
    of.reach.OnReached(question.address, clock_.Now());
    state = wire_.ReadReport(reply.head.status, reply.body);
    LearnLeavingFrom(id, reply.head);
    refused = wire_.ReadOrderResult(reply.head.status) ==
              fleet::order_result::kOtherInstance;
  } catch (const runtime::transport_error& error) {
    refused = error.failure() == runtime::transport_failure::kRefused;
    silent =
        connected && error.failure() == runtime::transport_failure::kTimeout;
    answered = false;
  } catch (const std::exception& error) {
    LogExchangeFailed(id, error);
  }
  if (state) {
    of.planner.OnReport(id, *state, clock_.Now());
  } else if (!answered && !ReachesOthers(service, asked_at)) {
    telemetry::LogChange("groups", "report_inconclusive",
                         {{"service", service},
                          {"instance", id.str()},
                          {"cut_off", of.reach.cut_off()}});
    of.planner.OnInconclusive(id);
  } else {
    telemetry::LogChange(
        "groups", "no_report",
        {{"instance", id.str()}, {"refused", refused}, {"silent", silent}});
    if (silent)
      of.planner.OnSilent(id, clock_.Now());
    else
      of.planner.OnUnreachable(id, refused, clock_.Now());
  }
  StepSoon();
}

}  // namespace flamingoshunt::daemon
