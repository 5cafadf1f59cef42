#include "daemon/fleet_duty.h"

#include <boost/asio/post.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <utility>

#include "runtime/fiber_scheduler.h"
#include "telemetry/log.h"

namespace flamingoshunt::daemon {
namespace {

using boost::asio::ip::udp;
using std::chrono::milliseconds;

constexpr std::size_t kRingDeliveries = 4096;
constexpr std::size_t kRingNews = 1024;
constexpr std::size_t kDatagramBytes = 64 * 1024;
constexpr char kNodePrefix[] = "node.";

// Nodes tell their news this often for each node of the fleet, so that a node's
// part in it stays the same at any size.
constexpr milliseconds kNewsPerNode{10};
constexpr milliseconds kShortestNews{250};
constexpr milliseconds kLongestNews{1000};
// A peer counts as silent after so many of its periods, but not before the
// table's own bound.
constexpr int kSilentPeriods = 5;
// Time for the first datagrams before anybody decides who acts.
constexpr milliseconds kGather{500};
// News of a suspicion are repeated for so long, since datagrams get lost.
constexpr milliseconds kSuspicionRepeat{400};
constexpr milliseconds kRegisterRetry{500};
// An acting node that doesn't reach the store learns nothing of new and leaving
// replicas; after this another one may act. Shorter troubles are waited out.
constexpr milliseconds kStoreGrace{1500};
constexpr milliseconds kConfigurationRetry{500};
constexpr milliseconds kIdleStep{200};
// A living replica answers within a few network delays; the bound leaves room
// for one lost packet.
constexpr milliseconds kReportBound{170};
constexpr milliseconds kOrderBound{1000};
constexpr std::size_t kMaxCrashes = 64;  // sightings told to peers

std::string NodeStatement(const std::string& address,
                          std::uint64_t incarnation) {
  return boost::json::serialize(
      boost::json::object{{"address", address}, {"incarnation", incarnation}});
}

std::optional<udp::endpoint> AddressIn(const std::string& statement) {
  boost::system::error_code error;
  const auto value = boost::json::parse(statement, error);
  const auto* object = value.if_object();
  const auto* address = object ? object->if_contains("address") : nullptr;
  if (error || !address || !address->is_string())
    return std::nullopt;
  const auto parsed =
      settings::ParseIpEndpoint(std::string(address->as_string()));
  if (!parsed)
    return std::nullopt;
  return udp::endpoint(boost::asio::ip::make_address(parsed->ip), parsed->port);
}

bool StartsWith(const std::string& text, std::string_view prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

gateway::retry_allowance Allowance(const settings::gateway_settings& from) {
  return {from.retry_ratio, from.retry_slack, from.retry_window};
}

}  // namespace

fleet_duty::fleet_duty(const settings::daemon_settings& settings,
                       const fleet::deployment& wire,
                       const base::clock& clock,
                       telemetry::metric_registry& metrics,
                       std::uint64_t incarnation)
    : settings_(settings),
      wire_(wire),
      clock_(clock),
      incarnation_(incarnation),
      self_(settings.self.node),
      thread_("fleet"),
      deliveries_(kRingDeliveries,
                  thread_.loop(),
                  [this](platform_delivery&& delivery) {
                    TakeDelivery(std::move(delivery));
                  }),
      news_(kRingNews,
            thread_.loop(),
            [this](gateway::entry_news&& news) {
              TakeEntryNews(std::move(news));
            }),
      socket_(thread_.loop()),
      datagram_(kDatagramBytes),
      timer_(thread_.loop(), [this] { Step(); }),
      pool_(thread_.loop()),
      orders_sent_(
          metrics.AddCounter("fleet_orders_total", "Orders sent to replicas")),
      reports_asked_(metrics.AddCounter("fleet_reports_total",
                                        "Reports asked of replicas")),
      peer_sends_failed_(metrics.AddCounter(
          "fleet_peer_sends_failed_total",
          "Datagrams to peers that the system did not take")),
      groups_closed_(metrics.AddCounter("fleet_groups_closed_total",
                                        "Groups that stopped serving")),
      groups_serving_(metrics.AddGauge("fleet_groups_serving",
                                       "Groups that take requests")),
      configuration_version_(metrics.AddGauge("fleet_configuration_version",
                                              "Configuration in force")) {
  const auto& listen = settings_.listen.peer;
  socket_.open(udp::v4());
  boost::system::error_code error;
  socket_.bind({boost::asio::ip::make_address(listen.ip), listen.port}, error);
  if (error)
    throw base::user_error("listen address \"" + listen.Text() +
                           "\": " + error.message());
  socket_.non_blocking(true);
}

fleet_duty::~fleet_duty() = default;

std::vector<std::string> fleet_duty::WatchedKinds() const {
  return {std::string(wire_.configuration_kind()),
          std::string(wire_.replica_kind()), groups::kFleetKind};
}

void fleet_duty::ConnectPlatform(duty::channel<store::call>& calls,
                                 const platform_duty& duty) {
  calls_.emplace(thread_.loop(), calls);
  platform_duty_ = &duty;
}

void fleet_duty::ConnectEntry(duty::channel<gateway::fleet_update>& updates) {
  updates_.emplace(thread_.loop(), updates);
}

void fleet_duty::Start() {
  thread_.Start([this](boost::asio::io_context& loop) {
    runtime::RunFibers(loop, [this] {
      gather_until_ = clock_.Now() + kGather;
      gateway::fleet_update first;
      first.allowance = Allowance(*settings_.gateway);
      updates_->Send(std::move(first));
      Receive();
      Step();
      runtime::fiber_signal forever;
      forever.Wait();
    });
  });
}

void fleet_duty::BeginStop() {
  boost::asio::post(thread_.loop(), [this] {
    stopping_ = true;
    for (auto& [name, of] : services_)
      of->term.Resign();
    TellPeers();
  });
}

// --- The platform's store.

void fleet_duty::TakeDelivery(platform_delivery&& delivery) {
  if (const auto* event = std::get_if<store::watch_event>(&delivery))
    TakeEvent(*event);
  else
    TakeReply(std::get<store::reply>(delivery));
  if (view_due_)
    Publish();
  Step();
}

void fleet_duty::TakeEvent(const store::watch_event& event) {
  const std::string& kind = event.changed.key.kind;
  if (kind == wire_.replica_kind())
    replicas_.NotePlatformContact(clock_.Now());
  const bool deleted = event.kind == store::watch_event_kind::kDelete;
  if (event.kind == store::watch_event_kind::kBookmark) {
    if (kind == groups::kFleetKind && !fleet_listed_) {
      fleet_listed_ = true;
      gather_until_ = clock_.Now() + kGather;
      Register();
    }
    return;
  }
  if (kind == wire_.configuration_kind()) {
    if (!deleted && event.changed.key.name == wire_.configuration_name())
      TakeConfiguration(event.changed);
  } else if (kind == wire_.replica_kind()) {
    TakeReplica(event.changed, deleted);
  } else if (kind == groups::kFleetKind) {
    TakeFleetObject(event.changed, deleted);
  }
}

void fleet_duty::TakeConfiguration(const store::object& object) {
  gateway::configuration_ptr read;
  try {
    read = wire_.ReadConfiguration(object.value);
  } catch (const base::user_error& error) {
    telemetry::LogChange(
        "fleet", "configuration_unreadable",
        {{"revision", object.version.value()},
         {"why", error.what()},
         {"kept", configuration_ ? configuration_->version() : 0}},
        telemetry::log_level::kWarning);
    return;
  }
  // What was in force never comes back.
  if (configuration_ && read->version() <= configuration_->version())
    return;
  telemetry::LogChange(
      "fleet", "configuration",
      {{"version", read->version()},
       {"before", configuration_ ? configuration_->version() : 0},
       {"revision", object.version.value()}});
  configuration_ = std::move(read);
  configuration_version_.Set(
      static_cast<std::int64_t>(configuration_->version()));
  for (const auto& [name, service] : configuration_->services()) {
    if (!service.engine)
      continue;
    auto& acting = services_[name];
    if (!acting) {
      acting = std::make_unique<acting_service>(self_, incarnation_, name);
      if (stopping_)
        acting->term.Resign();
      if (const auto term = terms_.find(name); term != terms_.end())
        acting->term.Seen(term->second);
      if (fleet_listed_)
        acting->term.Listed();
      for (const auto& [id, replica] : replicas_.replicas()) {
        if (replica.service == name)
          acting->planner.Listed(replica, clock_.Now());
      }
    }
    acting->planner.SetLayout(*service.engine);
  }
  view_due_ = true;
}

void fleet_duty::TakeReplica(const store::object& object, bool deleted) {
  const auto now = clock_.Now();
  const base::instance_id id(object.key.name);
  const auto entry =
      deleted ? std::nullopt : wire_.ReadReplica(id.str(), object.value);
  if (!entry) {
    const auto known = replicas_.replicas().find(id);
    const std::string service =
        known == replicas_.replicas().end() ? "" : known->second.service;
    const bool gone = replicas_.Delete(id, now);
    if (service.empty())
      return;
    telemetry::LogChange("fleet", gone ? "replica_gone" : "replica_lapsed",
                         {{"instance", id.str()},
                          {"service", service},
                          {"revision", object.version.value()},
                          {"unreadable", !deleted}});
    if (gone)
      Forget(id, service);
    return;
  }
  const auto known = replicas_.replicas().find(id);
  const bool fresh = known == replicas_.replicas().end();
  const bool leaves = entry->leaving && (fresh || !known->second.leaving);
  if (!replicas_.Put(*entry))
    return;
  if (fresh || leaves)
    telemetry::LogChange("fleet", leaves ? "replica_leaving" : "replica_listed",
                         {{"instance", id.str()},
                          {"service", entry->service},
                          {"address", entry->address},
                          {"revision", object.version.value()}});
  if (const auto of = services_.find(entry->service); of != services_.end())
    of->second->planner.Listed(*entry, now);
  view_due_ = true;
}

void fleet_duty::Forget(const base::instance_id& id,
                        const std::string& service) {
  if (const auto of = services_.find(service); of != services_.end())
    of->second->planner.Gone(id);
  view_due_ = true;
}

void fleet_duty::TakeFleetObject(const store::object& object, bool deleted) {
  const std::string& name = object.key.name;
  if (StartsWith(name, groups::kTermPrefix)) {
    const std::string service = name.substr(std::size(groups::kTermPrefix) - 1);
    const auto of = services_.find(service);
    if (deleted) {
      terms_.erase(service);
      if (of != services_.end())
        of->second->term.SeenDeleted();
      return;
    }
    terms_[service] = object;
    if (of != services_.end())
      of->second->term.Seen(object);
  } else if (StartsWith(name, kNodePrefix)) {
    const base::node_id node(name.substr(std::size(kNodePrefix) - 1));
    if (node == self_) {
      own_entry_ = deleted ? std::nullopt : std::optional(object);
      Register();
      return;
    }
    const auto address = deleted ? std::nullopt : AddressIn(object.value);
    if (address)
      addresses_[node] = *address;
    else
      addresses_.erase(node);
  }
}

// Writes the node's own entry until the store holds it.
void fleet_duty::Register() {
  const std::string value =
      NodeStatement(settings_.listen.peer.Text(), incarnation_);
  if (!fleet_listed_ || registering_ || clock_.Now() < register_not_before_)
    return;
  // The store may have written the JSON in another order.
  if (own_entry_ &&
      boost::json::parse(own_entry_->value) == boost::json::parse(value))
    return;
  registering_ = true;
  store::call write;
  write.op = own_entry_ ? store::operation::kUpdate : store::operation::kCreate;
  write.key = {groups::kFleetKind, kNodePrefix + self_.str()};
  if (own_entry_)
    write.expected = own_entry_->version;
  write.value = value;
  Submit(std::move(write), {});
}

void fleet_duty::Submit(store::call call, pending_call purpose) {
  call.id = store::call_id(next_call_++);
  pending_[call.id] = std::move(purpose);
  calls_->Send(std::move(call));
}

void fleet_duty::TakeReply(const store::reply& reply) {
  const auto found = pending_.find(reply.id);
  if (found == pending_.end())
    return;
  const pending_call purpose = std::move(found->second);
  pending_.erase(found);
  if (purpose.configuration) {
    if (reply.current)
      TakeConfiguration(*reply.current);
  } else if (purpose.service.empty()) {
    registering_ = false;
    register_not_before_ = clock_.Now() + kRegisterRetry;
    if (reply.current)
      own_entry_ = *reply.current;
  } else if (const auto of = services_.find(purpose.service);
             of != services_.end()) {
    of->second->term.Settle(reply, clock_.Now());
  }
}

// --- Peers.

base::duration fleet_duty::NewsPeriod() const {
  return std::clamp<base::duration>(
      kNewsPerNode * static_cast<int>(addresses_.size()), kShortestNews,
      kLongestNews);
}

base::duration fleet_duty::Silence() const {
  return std::max<base::duration>(fleet::peer_table::kSilence,
                                  kSilentPeriods * NewsPeriod());
}

bool fleet_duty::StoreReachable() const {
  const auto since = platform_duty_->failing_since();
  return since == base::time_point::max() || clock_.Now() - since < kStoreGrace;
}

void fleet_duty::Receive() {
  socket_.async_receive_from(
      boost::asio::buffer(datagram_), sender_,
      [this](const boost::system::error_code& error, std::size_t bytes) {
        if (error == boost::asio::error::operation_aborted)
          return;
        // Errors tell of datagrams that a peer's address did not take.
        if (!error) {
          if (auto news = fleet::DecodeNews({datagram_.data(), bytes}))
            TakeNews(*news);
        }
        Receive();
      });
}

void fleet_duty::TakeNews(const fleet::peer_news& news) {
  const auto now = clock_.Now();
  if (news.node == self_ || !peers_.Take(news, now))
    return;
  gateway::fleet_update update;
  for (const fleet::silence_question& each : news.questions)
    update.questions.push_back(
        {news.node, each.replica, milliseconds(each.within_ms)});
  update.heard_of = news.heard_of;
  update.loads = peers_.TakeChangedLoads(now, Silence());
  if (news.partial) {
    // Loads matter when the next request is placed; questions can't wait.
    if (update.questions.empty() && update.heard_of.empty())
      updates_->SendQuietly(std::move(update));
    else
      updates_->Send(std::move(update));
    return;
  }
  for (const base::instance_id& each : news.suspects) {
    auto& known = heard_suspects_[each];
    if (known != base::time_point() && now - known < 2 * kSuspicionRepeat)
      continue;
    known = now;
    update.suspects.push_back(each);
    for (auto& [name, of] : services_)
      of->planner.Suspected(each, now);
  }
  update.crashes = news.crashes;
  if (update.suspects.empty() && update.crashes.empty())
    updates_->SendQuietly(std::move(update));
  else
    updates_->Send(std::move(update));
  for (const auto& [service, statement] : news.statements) {
    // This node may be cut off from the store that named another one.
    const auto own = services_.find(service);
    if (own != services_.end() && statement.term > own->second->term.term())
      own->second->term.Fenced(now);
    if (told_[service] == statement)
      continue;
    told_[service] = statement;
    view_due_ = true;
  }
  const std::uint64_t own = configuration_ ? configuration_->version() : 0;
  if (news.configuration > own && now >= configuration_not_before_) {
    // The own watch is behind or silent.
    configuration_not_before_ = now + kConfigurationRetry;
    store::call get;
    get.op = store::operation::kGet;
    get.key = {std::string(wire_.configuration_kind()),
               std::string(wire_.configuration_name())};
    pending_call purpose;
    purpose.configuration = true;
    Submit(std::move(get), std::move(purpose));
  }
  if (view_due_)
    Publish();
  if (!news.suspects.empty())
    Step();
}

fleet::peer_news fleet_duty::OwnNews() {
  const auto now = clock_.Now();
  fleet::peer_news news;
  news.node = self_;
  news.incarnation = incarnation_;
  news.sequence = ++sequence_;
  news.configuration = configuration_ ? configuration_->version() : 0;
  news.seen_requests = seen_requests_ || peers_.AnySeenRequests();
  news.stopping = stopping_;
  news.store_reachable = StoreReachable();
  news.loads = own_loads_;
  told_loads_ = own_loads_;
  std::erase_if(suspects_, [&](const auto& each) {
    return now - each.second > kSuspicionRepeat;
  });
  for (const auto& [instance, since] : suspects_)
    news.suspects.push_back(instance);
  news.crashes = crashes_;
  for (const auto& [name, of] : services_) {
    if (of->acting && of->planner.statement().edition != 0)
      news.statements[name] = of->planner.statement();
  }
  return news;
}

void fleet_duty::TellPeers() {
  next_news_ = clock_.Now() + NewsPeriod();
  SendToPeers(OwnNews());
}

// Tells at once what helps the peers to place their next request.
void fleet_duty::TellChanges(const gateway::entry_news& news) {
  fleet::peer_news part;
  part.partial = true;
  part.node = self_;
  part.incarnation = incarnation_;
  for (const auto& [instance, load] : news.loads) {
    const auto told = told_loads_.find(instance);
    if (told == told_loads_.end() || !(told->second == load))
      part.loads[instance] = load;
  }
  for (const auto& [instance, load] : told_loads_) {
    if (!news.loads.contains(instance))
      part.loads[instance] = {};
  }
  told_loads_ = news.loads;
  for (const gateway::silence_ask& each : news.questions)
    part.questions.push_back(
        {each.replica,
         std::chrono::duration_cast<milliseconds>(each.within).count()});
  part.sequence = ++sequence_;
  SendToPeers(part);
}

// Answers the nodes that asked whether a replica goes on.
void fleet_duty::AnswerPeers(const gateway::entry_news& news) {
  for (const gateway::silence_refuted& each : news.answers) {
    const auto address = addresses_.find(each.asker);
    if (address == addresses_.end())
      continue;
    fleet::peer_news part;
    part.partial = true;
    part.node = self_;
    part.incarnation = incarnation_;
    part.heard_of = {each.replica};
    part.sequence = ++sequence_;
    SendTo(fleet::EncodeNews(part), address->second);
  }
}

void fleet_duty::SendToPeers(const fleet::peer_news& news) {
  if (addresses_.empty())
    return;
  const std::string text = fleet::EncodeNews(news);
  for (const auto& [node, address] : addresses_)
    SendTo(text, address);
}

void fleet_duty::SendTo(const std::string& text, const udp::endpoint& address) {
  boost::system::error_code error;
  socket_.send_to(boost::asio::buffer(text), address, 0, error);
  // A full buffer or an unreachable peer; the next datagram says it again.
  if (error)
    peer_sends_failed_.Add();
}

// --- Groups.

void fleet_duty::Step() {
  const auto now = clock_.Now();
  const auto failed = platform_duty_->last_failure();
  if (failed != last_failure_ && failed != base::time_point::min()) {
    last_failure_ = failed;
    replicas_.NotePlatformFailure();
  }
  for (const base::instance_id& id : replicas_.Expire(now)) {
    telemetry::LogChange("fleet", "replica_not_back", {{"instance", id.str()}});
    for (auto& [name, of] : services_)
      of->planner.Gone(id);
    view_due_ = true;
  }
  Register();
  const bool may_load_freely = settings_.gateway->first_start &&
                               !seen_requests_ && !peers_.AnySeenRequests();
  for (auto& [name, of] : services_) {
    if (!may_load_freely)
      of->planner.RequestsBegan();
    StepService(name, *of);
  }
  const auto live = peers_.Live(now, Silence()).size() + 1;
  if (live != live_nodes_) {
    live_nodes_ = live;
    view_due_ = true;
  }
  if (now >= next_news_)
    TellPeers();
  if (view_due_)
    Publish();
  base::time_point next = std::min(now + kIdleStep, next_news_);
  if (const auto due = replicas_.NextTimer())
    next = std::min(next, *due);
  for (const auto& [name, of] : services_) {
    if (of->acting)
      next = std::min(next, of->planner.NextTimer(now));
  }
  timer_.Arm(next);
}

void fleet_duty::StepService(const std::string& name, acting_service& of) {
  const auto now = clock_.Now();
  if (fleet_listed_)
    of.term.Listed();
  if (now >= gather_until_ && StoreReachable()) {
    auto able = peers_.AbleToAct(now, Silence());
    able.push_back(self_);
    if (auto write = of.term.Tick(able, now)) {
      pending_call purpose;
      purpose.service = name;
      Submit(std::move(*write), std::move(purpose));
    }
  }
  if (of.term.acting() != of.acting) {
    of.acting = of.term.acting();
    telemetry::LogChange("groups", of.acting ? "acting" : "not_acting",
                         {{"service", name},
                          {"term", of.term.term()},
                          {"actor", of.term.actor().str()}});
  }
  if (!of.acting)
    return;
  if (of.begun_term != of.term.term()) {
    of.begun_term = of.term.term();
    of.planner.BeginTerm(of.begun_term, now);
  }
  const auto before = of.planner.statement().edition;
  const groups::plan plan = of.planner.Tick(now);
  LogChanges(name, of);
  if (of.planner.statement().edition != before) {
    groups_serving_.Set(
        static_cast<std::int64_t>(of.planner.statement().groups.size()));
    TellPeers();
    view_due_ = true;
  }
  Carry(name, plan);
}

void fleet_duty::LogChanges(const std::string& name, acting_service& of) {
  for (const groups::group_change& change : of.planner.TakeChanges()) {
    if (change.what.phase == groups::group_phase::kClosing &&
        change.event == "closing")
      groups_closed_.Add();
    telemetry::LogChange("groups", "group_" + change.event,
                         {{"service", name},
                          {"group", change.what.name},
                          {"epoch", change.what.epoch.value()},
                          {"model", change.what.model},
                          {"head", change.what.head().str()},
                          {"reason", change.what.reason},
                          {"term", of.begun_term}});
  }
}

void fleet_duty::Carry(const std::string& name, const groups::plan& plan) {
  for (const fleet::order& order : plan.orders)
    runtime::SpawnFiber([this, name, order] { SendOrder(name, order); });
  for (const groups::question& each : plan.questions)
    runtime::SpawnFiber([this, name, each] { AskReport(name, each); });
}

// One exchange on an idle connection or a fresh one, never repeated here.
runtime::http_reply fleet_duty::ExchangeOnce(const std::string& address,
                                             runtime::http_request request,
                                             base::duration timeout) {
  auto connection = pool_.TakeIdle(address);
  if (!connection)
    connection = pool_.Open(address, timeout);
  try {
    runtime::http_reply reply;
    connection->Send(request, timeout);
    reply.head = connection->ReadHead(timeout);
    while (connection->ReadSome(reply.body, timeout)) {
    }
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
        ExchangeOnce(order.address, wire_.WriteOrder(order), kOrderBound);
    result = wire_.ReadOrderResult(reply.head.status);
  } catch (const runtime::transport_error&) {
    // Told to the planner as an order that may be carried out later.
  } catch (const base::user_error&) {
    // The listed address is none.
    result = fleet::order_result::kRefused;
  }
  telemetry::LogChange("groups", "order",
                       {{"instance", order.to.str()},
                        {"order", fleet::NameOf(order.body)},
                        {"fence", order.fence},
                        {"result", fleet::NameOf(result)}});
  acting_service& of = *services_.at(service);
  if (of.begun_term != order.term)
    return;
  of.planner.Settled(order, result, clock_.Now());
  if (result == fleet::order_result::kFenced)
    of.term.Fenced(clock_.Now());
  Step();
}

void fleet_duty::AskReport(const std::string& service,
                           const groups::question& question) {
  const base::instance_id& id = question.to;
  acting_service& of = *services_.at(service);
  std::optional<fleet::engine_state> state;
  bool refused = false;
  reports_asked_.Add();
  try {
    const auto reply = ExchangeOnce(
        question.address, wire_.AskReport(question.address), kReportBound);
    state = wire_.ReadReport(reply.body);
  } catch (const runtime::transport_error& error) {
    refused = error.failure() == runtime::transport_failure::kRefused;
  } catch (const base::user_error&) {
    refused = true;  // The listed address is none.
  }
  if (state) {
    of.planner.Reported(id, *state, clock_.Now());
  } else {
    telemetry::LogChange("groups", "no_report",
                         {{"instance", id.str()}, {"refused", refused}});
    of.planner.Unreachable(id, refused, clock_.Now());
  }
  Step();
}

// --- The entry thread.

void fleet_duty::TakeEntryNews(gateway::entry_news&& news) {
  const auto now = clock_.Now();
  AnswerPeers(news);
  if (news.urgent)
    TellChanges(news);
  own_loads_ = std::move(news.loads);
  const bool first = news.seen_requests && !seen_requests_;
  seen_requests_ = seen_requests_ || news.seen_requests;
  for (const base::instance_id& each : news.suspects) {
    suspects_[each] = now;
    for (auto& [name, of] : services_)
      of->planner.Suspected(each, now);
  }
  crashes_.insert(crashes_.end(), news.crashes.begin(), news.crashes.end());
  if (crashes_.size() > kMaxCrashes)
    crashes_.erase(crashes_.begin(),
                   crashes_.end() - static_cast<std::ptrdiff_t>(kMaxCrashes));
  if (first || !news.suspects.empty() || !news.crashes.empty()) {
    TellPeers();
    Step();
  }
}

std::vector<fleet::serving_group> fleet_duty::GroupsOf(
    const gateway::service& service) const {
  std::optional<fleet::group_statement> statement =
      peers_.Statement(service.name);
  const auto own = services_.find(service.name);
  if (own != services_.end() && own->second->acting) {
    const auto& mine = own->second->planner.statement();
    if (mine.edition != 0 && (!statement || mine.term >= statement->term))
      statement = mine;
  }
  if (statement)
    return statement->groups;
  // Nobody has said anything yet: the list shows which heads are open.
  std::vector<fleet::serving_group> groups;
  for (const auto& [id, replica] : replicas_.replicas()) {
    const auto& member = replica.engine.member;
    if (replica.service == service.name && member && member->rank == 0 &&
        member->state == fleet::member_state::kOpen)
      groups.push_back(
          {member->group, member->epoch, replica.engine.model, id});
  }
  return groups;
}

std::vector<gateway::target> fleet_duty::TargetsOf(
    const gateway::service& service) const {
  std::vector<gateway::target> targets;
  const auto add = [&](const fleet::replica& replica) -> gateway::target& {
    gateway::target& target = targets.emplace_back();
    target.instance = replica.id;
    target.address = replica.address;
    target.failure_domain = replica.failure_domain;
    target.slots = replica.slots;
    return target;
  };
  if (!service.engine) {
    for (const auto& [id, replica] : replicas_.replicas()) {
      if (replica.service == service.name && !replica.leaving)
        add(replica);
    }
    return targets;
  }
  for (const fleet::serving_group& group : GroupsOf(service)) {
    const auto head = replicas_.replicas().find(group.head);
    if (head == replicas_.replicas().end() || head->second.leaving)
      continue;
    const auto& member = head->second.engine.member;
    if (member && member->epoch > group.epoch)
      continue;
    gateway::target& target = add(head->second);
    target.model = group.model;
    target.group = group.name;
    target.epoch = group.epoch;
    target.slots = service.engine->slots;
    const auto* layout = service.engine->Find(group.model);
    target.pace = layout ? layout->pace : 1;
  }
  return targets;
}

void fleet_duty::Publish() {
  gateway::fleet_update update;
  if (view_due_) {
    auto view = std::make_shared<gateway::fleet_view>();
    view->configuration = configuration_;
    view->live_nodes = static_cast<int>(live_nodes_);
    if (configuration_) {
      for (const auto& [name, service] : configuration_->services())
        view->targets[name] = TargetsOf(service);
    }
    update.view = std::move(view);
  }
  view_due_ = false;
  updates_->Send(std::move(update));
}

}  // namespace flamingoshunt::daemon
