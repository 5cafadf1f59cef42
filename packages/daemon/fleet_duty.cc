#include "daemon/fleet_duty.h"

#include <boost/asio/post.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <utility>

#include "base/milliseconds.h"
#include "runtime/fiber_scheduler.h"
#include "telemetry/log.h"

namespace flamingoshunt::daemon {
namespace {

using boost::asio::ip::udp;
using std::chrono::milliseconds;

constexpr std::size_t kRingDeliveries = 4096;
constexpr std::size_t kRingNews = 1024;
constexpr std::size_t kDatagramBytes = 64 * 1024;

constexpr std::size_t kMaxCrashes = 64;  // sightings told to peers

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
            [this](gateway::entry_update&& news) {
              TakeEntryNews(std::move(news));
            }),
      relays_(self_, incarnation),
      relayed_loads_(self_),
      relay_timer_(thread_.loop(), [this] { TickRelays(); }),
      socket_(thread_.loop()),
      datagram_(kDatagramBytes),
      outbox_(fleet::peer_traffic_limit::ForLink(settings.gateway->link_mbps)),
      random_(incarnation),
      timer_(thread_.loop(), [this] { Step(); }),
      pool_(thread_.loop()),
      orders_sent_(
          metrics.AddCounter("fleet_orders_total", "Orders sent to replicas")),
      reports_asked_(metrics.AddCounter("fleet_reports_total",
                                        "Reports asked of replicas")),
      peer_datagrams_(metrics.AddCounter("fleet_peer_datagrams_total",
                                         "Datagrams sent to peers")),
      peer_bytes_(metrics.AddCounter("fleet_peer_bytes_total",
                                     "Bytes of datagrams sent to peers")),
      peer_sends_failed_(metrics.AddCounter(
          "fleet_peer_sends_failed_total",
          "Datagrams to peers that the system did not take")),
      peer_datagrams_dropped_(
          metrics.AddCounter("fleet_peer_datagrams_dropped_total",
                             "Datagrams that are no status of a node")),
      unusable_entries_(
          metrics.AddCounter("fleet_entries_unusable_total",
                             "Listed entries that name no usable replica")),
      groups_closed_(metrics.AddCounter("fleet_groups_closed_total",
                                        "Groups that stopped serving")),
      views_published_(
          metrics.AddCounter("fleet_views_total",
                             "Views of the fleet sent to the request path")),
      groups_serving_(metrics.AddGauge("fleet_groups_serving",
                                       "Groups that take requests")),
      metrics_(metrics),
      configuration_version_(metrics.AddGauge("fleet_configuration_version",
                                              "Configuration in force")),
      evacuated_domains_(metrics.AddGauge("fleet_evacuated_domains",
                                          "Failure domains that get no "
                                          "requests")) {
  nodes_[self_] = {settings_.self.failure_domain, settings_.gateway->cores};
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
  std::vector<std::string> kinds{std::string(wire_.configuration_kind()),
                                 std::string(wire_.replica_kind()),
                                 groups::kFleetKind};
  if (FollowsEvacuations())
    kinds.emplace_back(wire_.evacuation_kind());
  return kinds;
}

void fleet_duty::ConnectPlatform(duty::channel<store::call>& calls,
                                 platform_duty& duty) {
  calls_.emplace(thread_.loop(), calls);
  platform_duty_ = &duty;
}

void fleet_duty::ConnectEntry(duty::channel<gateway::fleet_update>& updates) {
  updates_.emplace(thread_.loop(), updates);
}

void fleet_duty::Start() {
  thread_.Start([this](boost::asio::io_context& loop) {
    runtime::RunFibers(loop, [this] {
      started_at_ = clock_.Now();
      gather_until_ = started_at_ + kGather;
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
    outbox_.RequestFull();
    SendDue();
    ArmTimer();
  });
}

boost::json::value fleet_duty::Answer(const status_query& query) const {
  if (!configuration_)
    return nullptr;
  if (query.verb == "configuration")
    return {{"revision", configuration_object_.version.value()},
            {"value", configuration_object_.value}};
  return {{"configuration", configuration_->version()},
          {"live_nodes", live_nodes_},
          {"replicas", replicas_.replicas().size()},
          {"relays_in_use", relays_.in_use()},
          {"poll_replicas_ms", base::WholeMilliseconds(poll_delays_.replicas)}};
}

// --- The entry thread.

void fleet_duty::TakeEntryNews(gateway::entry_update&& news) {
  const auto now = clock_.Now();
  own_lines_ = std::move(news.queue_lengths);
  AnswerPeers(news);
  QueryPeers(news);
  own_loads_ = std::move(news.loads);
  own_limits_ = std::move(news.limits);
  const bool first = news.seen_requests && !seen_requests_;
  seen_requests_ = seen_requests_ || news.seen_requests;
  for (const base::instance_id& each : news.suspects) {
    suspects_[each] = now;
    for (auto& [name, of] : services_)
      of->planner.OnStallSuspected(each, now);
  }
  TakeCrashNews(news);
  for (const gateway::replica_process& each : news.leaving)
    LearnLeaving(each, kFromAnswer);
  if (first || news.cut_off_services != cut_off_services_)
    outbox_.RequestFull();
  cut_off_services_ = news.cut_off_services;
  if (news.urgent || !news.suspects.empty() || !news.crashes.empty() ||
      crashing_parts_.blamed_changed || crashing_requests_.blamed_changed)
    outbox_.RequestChanges();
  SendDue();
  if (first || !news.suspects.empty() || !news.leaving.empty())
    Step();
  else
    ArmTimer();
}

void fleet_duty::TakeCrashNews(const gateway::entry_update& news) {
  const auto now = clock_.Now();
  for (auto* crashes : {&crashes_, &new_crashes_}) {
    for (const gateway::crash_report& report : news.crashes)
      crashes->push_back({report, now});
    if (crashes->size() > kMaxCrashes)
      crashes->erase(crashes->begin(),
                     crashes->end() - static_cast<std::ptrdiff_t>(kMaxCrashes));
  }
  crashing_parts_.Take(news.answered_parts, news.blamed_parts, now);
  crashing_requests_.Take(news.answered_requests, news.blamed_requests, now);
}

void fleet_duty::crash_sightings::Take(
    const std::vector<gateway::key_sighting>& new_answers,
    const std::vector<gateway::key_sighting>& all_blamed,
    base::time_point now) {
  for (const gateway::key_sighting& answer : new_answers)
    answered[answer.key] = now - answer.age;
  std::map<base::fingerprint, base::time_point> still_blamed;
  for (const gateway::key_sighting& crash : all_blamed) {
    still_blamed[crash.key] = now - crash.age;
    if (!blamed.contains(crash.key))
      blamed_changed = true;
  }
  blamed = std::move(still_blamed);
}

std::vector<fleet::serving_group> fleet_duty::GroupsOf(
    const gateway::service& service) const {
  std::optional<fleet::group_announcement> statement =
      peers_.Announcement(service.name);
  const auto own = services_.find(service.name);
  if (own != services_.end() && own->second->is_leader) {
    const auto& mine = own->second->planner.announcement();
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
    target.started_ms = replica.engine.started_ms;
    target.address = replica.address;
    target.failure_domain = replica.failure_domain;
    target.slots = replica.slots;
    target.cold_until = cold_periods_.EndOf(replica);
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
    target.time_factor = layout ? layout->time_factor : 1;
  }
  return targets;
}

void fleet_duty::Publish() {
  if (AwaitsEvacuations())
    return;
  gateway::fleet_update update;
  if (view_due_) {
    next_view_ = base::time_point::max();
    auto view = std::make_shared<gateway::fleet_view>();
    view->configuration = configuration_;
    view->live_nodes = static_cast<int>(live_nodes_);
    view->known_nodes = static_cast<int>(fleet_size_.largest());
    if (relays_.in_use())
      view->peer_delay = fleet::relay_network::kMeanDelay;
    if (configuration_) {
      for (const auto& [name, service] : configuration_->services()) {
        auto& targets = view->targets[name] = TargetsOf(service);
        MarkEvacuated(targets);
        MarkCold(service, targets);
      }
    }
    update.view = std::move(view);
    views_published_.Add();
  }
  view_due_ = false;
  updates_->Send(std::move(update));
}

}  // namespace flamingoshunt::daemon
