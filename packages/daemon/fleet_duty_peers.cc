// How nodes tell each other their news.
#include <boost/json.hpp>

#include <algorithm>
#include <exception>
#include <utility>

#include "base/milliseconds.h"
#include "daemon/fleet_duty.h"
#include "runtime/fiber_scheduler.h"
#include "telemetry/log.h"

namespace flamingoshunt::daemon {
namespace {

using boost::asio::ip::udp;
using std::chrono::milliseconds;

// Nodes tell their news this often for each node of the fleet, so that a node's
// part in it stays the same at any size.
constexpr milliseconds kNewsPerNode{10};
constexpr milliseconds kShortestNews{250};
constexpr milliseconds kLongestNews{1000};
// Reports to a relay cost the same at any size of the fleet.
constexpr milliseconds kReportPeriod{500};
// Leaves room for three lost datagrams before an actor counts as silent.
constexpr milliseconds kActorNews{350};
// A peer counts as silent after so many of its periods, but not before the
// table's own bound.
constexpr int kSilentPeriods = 5;
// News of a suspicion are repeated for so long, since datagrams get lost.
constexpr milliseconds kSuspicionRepeat{400};
// A crash is evidence against prompt parts only while it is repeated for lost
// datagrams: a node that starts later doesn't know the answers that speak for
// them, and learns which parts are blamed instead.
constexpr milliseconds kPartEvidenceRepeat{1500};
// Peer traffic is logged for each period in which it exceeds the rate.
constexpr milliseconds kTrafficPeriod{1000};
constexpr std::uint64_t kNotableTraffic = 200 * 1024;  // bytes in a period
constexpr std::size_t kDatagramHeaderBytes = 28;       // IPv4 and UDP
// Time between two calls of the store for the configuration.
constexpr milliseconds kConfigurationRetry{500};
// A large configuration over a small node's link.
constexpr milliseconds kConfigurationFetch{1000};
constexpr int kOk = 200;
// An acting node that doesn't reach the store learns nothing of new and leaving
// replicas; after this another one may act. Shorter troubles are waited out.
constexpr milliseconds kStoreGrace{1500};

}  // namespace

base::duration fleet_duty::NewsPeriod() const {
  const bool acting =
      std::any_of(services_.begin(), services_.end(),
                  [](const auto& each) { return each.second->is_leader; });
  const base::duration shared = SharedNewsPeriod();
  return acting ? std::min<base::duration>(kActorNews, shared) : shared;
}

// What every node that doesn't act keeps to.
base::duration fleet_duty::SharedNewsPeriod() const {
  if (relays_.in_use())
    return kReportPeriod;
  return std::clamp<base::duration>(
      kNewsPerNode * static_cast<int>(addresses_.size()), kShortestNews,
      kLongestNews);
}

base::duration fleet_duty::Silence() const {
  return std::max<base::duration>(fleet::peer_table::kPeerTimeout,
                                  kSilentPeriods * SharedNewsPeriod());
}

bool fleet_duty::StoreReachable() const {
  const auto since = platform_duty_->failing_since();
  return since == base::time_point::max() || clock_.Now() - since < kStoreGrace;
}

void fleet_duty::UpdatePassingPeers() {
  std::vector<gateway::peer_node> peers;
  for (const base::node_id& node : peers_.LiveNodes(clock_.Now(), Silence())) {
    const auto address = passed_addresses_.find(node);
    if (address != passed_addresses_.end())
      peers.push_back({node, address->second, peers_.CutOffServices(node)});
  }
  if (peers == passing_peers_)
    return;
  passing_peers_ = peers;
  gateway::fleet_update update;
  update.peers = std::move(peers);
  updates_->Send(std::move(update));
}

void fleet_duty::Receive() {
  socket_.async_receive_from(
      boost::asio::buffer(datagram_), sender_,
      [this](const boost::system::error_code& error, std::size_t bytes) {
        if (error == boost::asio::error::operation_aborted)
          return;
        // Errors tell of datagrams that a peer's address did not take.
        if (!error)
          TakeDatagram({datagram_.data(), bytes});
        Receive();
      });
}

void fleet_duty::TakeDatagram(std::string_view text) {
  const auto statuses = fleet::DecodeDatagram(text);
  if (statuses.empty())
    peer_datagrams_dropped_.Add();
  for (const fleet::peer_status& news : statuses) {
    const auto author = addresses_.find(news.node);
    // An error that left the handler would end the reception of all others.
    try {
      TakeNews(news, author != addresses_.end() && author->second == sender_);
    } catch (const std::exception& failure) {
      peer_datagrams_dropped_.Add();
      telemetry::LogChange("fleet", "peer_news_failed",
                           {{"peer", news.node.str()}, {"why", failure.what()}},
                           telemetry::log_level::kError);
    }
  }
}

void fleet_duty::TakeNews(const fleet::peer_status& news, bool direct) {
  const auto now = clock_.Now();
  if (news.node == self_)
    return;
  if (news.kind != fleet::status_kind::kStatus)
    Perform(relays_.Take(news, direct, now));
  switch (news.kind) {
    case fleet::status_kind::kReport:
      // Is part of this node's next digest.
      ArmRelayTimer();
      TakeConfigurationVersion(news);
      return;
    case fleet::status_kind::kStatus:
      if (peers_.Apply(news, now))
        ApplyNews(news);
      return;
    case fleet::status_kind::kDigest:
      ArmRelayTimer();
      if (ApplyDigest(news))
        ApplyNews(news);
      return;
    case fleet::status_kind::kNote:
      peers_.ApplyAnnouncements(news.announcements);
      ApplyNews(news);
      return;
  }
}

// @return whether it is newer than the last one of its relay.
bool fleet_duty::ApplyDigest(const fleet::peer_status& digest) {
  const auto now = clock_.Now();
  if (!relayed_loads_.Apply(digest, now))
    return false;
  for (const fleet::relay_member& member : digest.members) {
    if (member.node != self_)
      peers_.ApplyMember(member, now);
  }
  return true;
}

void fleet_duty::Perform(const fleet::relay_effects& effects) {
  for (const fleet::outgoing_datagram& datagram : effects.send) {
    for (const base::node_id& node : datagram.to) {
      const auto address = addresses_.find(node);
      if (address != addresses_.end())
        SendTo(datagram.text, address->second);
    }
  }
  for (const fleet::peer_status& own : effects.apply) {
    if (own.kind != fleet::status_kind::kDigest || ApplyDigest(own))
      ApplyNews(own);
  }
}

void fleet_duty::TickRelays() {
  Perform(relays_.Tick(clock_.Now()));
  ArmRelayTimer();
}

void fleet_duty::ArmRelayTimer() {
  if (relays_.in_use())
    relay_timer_.Arm(relays_.NextTimer(clock_.Now()));
}

bool fleet_duty::AnyNodeSeenRequests() const {
  return peers_.AnyPeerSeenRequests() || relayed_loads_.AnySeenRequests();
}

bool fleet_duty::InformsOthers() const {
  return relays_.IsRelay(clock_.Now()) ||
         std::any_of(services_.begin(), services_.end(),
                     [](const auto& each) { return each.second->is_leader; });
}

void fleet_duty::UpdatePollDelays() {
  const std::size_t informed = relayed_loads_.RelaysReachingStore(
      clock_.Now(), fleet::peer_table::kPeerTimeout);
  const fleet::poll_delays delays =
      fleet::ChoosePollDelays(relays_.in_use(), InformsOthers(), informed,
                              settings_.gateway->replica_drain);
  if (delays == poll_delays_)
    return;
  poll_delays_ = delays;
  platform_duty_->SetPollDelay(std::string(wire_.replica_kind()),
                               delays.replicas);
  platform_duty_->SetPollDelay(groups::kFleetKind, delays.nodes);
  telemetry::LogChange(
      "fleet", "poll_delays",
      {{"replicas_ms", base::WholeMilliseconds(delays.replicas)},
       {"nodes_ms", base::WholeMilliseconds(delays.nodes)},
       {"informs_others", InformsOthers()},
       {"informed_relays", informed}});
}

void fleet_duty::ApplyNews(const fleet::peer_status& news) {
  const auto now = clock_.Now();
  gateway::fleet_update update;
  for (const fleet::peer_activity_query& each : news.queries) {
    const bool for_relay =
        news.kind == fleet::status_kind::kNote && each.requesting_node.empty();
    if (!for_relay)
      update.queries.push_back(
          {each.requesting_node.empty() ? news.node : each.requesting_node,
           each.replica, milliseconds(each.window_ms)});
  }
  update.active_replicas = news.active_replicas;
  if (relays_.in_use()) {
    update.loads =
        relayed_loads_.TakeChanged(now, fleet::peer_table::kPeerTimeout);
    update.queue_lengths = relayed_loads_.QueueLengths(
        own_lines_, now, fleet::peer_table::kPeerTimeout);
  } else {
    update.loads = peers_.TakeChangedLoads(now, Silence());
    update.queue_lengths = peers_.QueueLengths(now, Silence());
  }
  TakeSuspects(news, update);
  for (const fleet::limit_report& each : news.limits) {
    const base::node_id& reporter =
        each.reporter.empty() ? news.node : each.reporter;
    if (reporter == self_)
      continue;
    if (update.limits.empty() || update.limits.back().peer != reporter)
      update.limits.push_back({reporter, {}});
    update.limits.back().limits[each.replica] = {each.requests_per_second,
                                                 now - each.age, each.sent};
  }
  update.crashes = news.crashes;
  for (const gateway::replica_process& each : news.leaving)
    LearnLeaving(each, kFromPeer);
  update.answered_parts = news.answered_parts;
  update.blamed_parts = news.blamed_parts;
  update.answered_requests = news.answered_requests;
  update.blamed_requests = news.blamed_requests;
  const bool blame_changed =
      IsUrgent(crashing_parts_, news.answered_parts, news.blamed_parts) ||
      IsUrgent(crashing_requests_, news.answered_requests,
               news.blamed_requests);
  const bool suspects_added = !update.suspects.empty();
  // Loads matter when the next request is placed; everything else can't wait.
  if (update.queries.empty() && update.active_replicas.empty() &&
      !suspects_added && !blame_changed && update.crashes.empty())
    updates_->SendQuietly(std::move(update));
  else
    updates_->Send(std::move(update));
  TakeAnnouncements(news);
  TakePeerEvacuations(news);
  TakePeerCold(news);
  TakeConfigurationVersion(news);
  if (suspects_added)
    Step();
  else if (view_due_)
    Publish();
}

void fleet_duty::TakeAnnouncements(const fleet::peer_status& news) {
  for (const auto& [service, statement] : news.announcements) {
    // This node may be cut off from the store that named another one.
    const auto own = services_.find(service);
    if (own != services_.end())
      own->second->term.OnPeerTerm(statement.term);
    if (own != services_.end() && statement.term > own->second->term.term())
      own->second->term.OnFenced(clock_.Now());
    if (told_[service] == statement)
      continue;
    told_[service] = statement;
    view_due_ = true;
  }
}

void fleet_duty::TakeConfigurationVersion(const fleet::peer_status& news) {
  if (news.configuration == 0 || news.node == self_)
    return;
  configuration_sources_.OnNamed(news.node, news.configuration, clock_.Now());
  RequestConfiguration();
}

// The own watch is behind or silent, or the store turns this node away.
void fleet_duty::RequestConfiguration() {
  const auto peer = configuration_sources_.TakeNext(clock_.Now());
  if (!peer)
    return;
  if (admin_addresses_.contains(*peer))
    runtime::SpawnFiber([this, peer = *peer] { FetchConfiguration(peer); });
  else
    GetConfiguration();
}

void fleet_duty::FetchConfiguration(const base::node_id& peer) {
  const std::uint64_t before = configuration_ ? configuration_->version() : 0;
  std::string failure;
  try {
    const std::string address = admin_addresses_.at(peer);
    const auto reply = ExchangeOnce(
        address, runtime::MakeRequest("GET", "/admin/configuration", address),
        kConfigurationFetch);
    if (reply.head.status != kOk)
      throw base::user_error("status " + std::to_string(reply.head.status));
    const auto held = boost::json::parse(reply.body).as_object();
    store::object object;
    object.key = {std::string(wire_.configuration_kind()),
                  std::string(wire_.configuration_name())};
    object.version =
        base::revision(held.at("revision").to_number<std::uint64_t>());
    object.value = std::string(held.at("value").as_string());
    TakeConfiguration(object, peer.str());
  } catch (const std::exception& error) {
    failure = error.what();
  }
  const std::uint64_t after = configuration_ ? configuration_->version() : 0;
  if (after > before) {
    StepSoon();
    return;
  }
  telemetry::LogChange(
      "fleet", "configuration_not_fetched",
      {{"peer", peer.str()}, {"kept", before}, {"why", failure}});
  GetConfiguration();
}

void fleet_duty::GetConfiguration() {
  if (clock_.Now() < configuration_not_before_)
    return;
  configuration_not_before_ = clock_.Now() + kConfigurationRetry;
  store::call get;
  get.op = store::operation::kGet;
  get.key = {std::string(wire_.configuration_kind()),
             std::string(wire_.configuration_name())};
  pending_call purpose;
  purpose.configuration = true;
  Submit(std::move(get), std::move(purpose));
}

// Takes the suspects that this node hasn't received recently.
void fleet_duty::TakeSuspects(const fleet::peer_status& news,
                              gateway::fleet_update& update) {
  const auto now = clock_.Now();
  for (const base::instance_id& each : news.suspects) {
    // A digest also holds this node's own suspicions.
    if (suspects_.contains(each))
      continue;
    auto& known = heard_suspects_[each];
    if (known != base::time_point() && now - known < 2 * kSuspicionRepeat)
      continue;
    known = now;
    update.suspects.push_back(each);
    for (auto& [name, of] : services_)
      of->planner.OnStallSuspected(each, now);
  }
}

bool fleet_duty::IsUrgent(const crash_sightings& own,
                          const std::vector<gateway::key_sighting>& answered,
                          const std::vector<gateway::key_sighting>& blamed) {
  const auto refused = [&](const gateway::key_sighting& each) {
    return own.blamed.contains(each.key);
  };
  const bool clears = std::any_of(answered.begin(), answered.end(), refused);
  return clears || !std::all_of(blamed.begin(), blamed.end(), refused);
}

void fleet_duty::SendDue() {
  const auto now = clock_.Now();
  // A new relay knows nothing of this node's state.
  if (relays_.in_use() && relays_.ReportTargets() != report_targets_) {
    report_targets_ = relays_.ReportTargets();
    outbox_.RequestFull();
  }
  switch (outbox_.TakeDue(now)) {
    case fleet::peer_outbox::round::kNone:
      return;
    case fleet::peer_outbox::round::kChanges:
      SendToPeers(Changes());
      return;
    case fleet::peer_outbox::round::kFull:
      next_news_ = now + NewsPeriod();
      SendToPeers(FullStatus());
      return;
  }
}

// @return the own suspicions, which are repeated for a while.
std::vector<base::instance_id> fleet_duty::TakeSuspectsToReport() {
  const auto now = clock_.Now();
  std::vector<base::instance_id> suspects;
  for (const auto& [instance, since] : suspects_)
    suspects.push_back(instance);
  // Each is reported at least once, even when the round had to wait.
  std::erase_if(suspects_, [&](const auto& each) {
    return now - each.second > kSuspicionRepeat;
  });
  return suspects;
}

// @return the limits known here; only those that the peers don't know, or that
//         this node has sent more requests under, if @p only_changed.
std::vector<fleet::limit_report> fleet_duty::LimitsToReport(bool only_changed) {
  std::vector<fleet::limit_report> reports;
  for (const auto& [replica, limit] : own_limits_) {
    const auto told = told_limits_.find(replica);
    const bool changed =
        told == told_limits_.end() || told->second.sent != limit.sent ||
        told->second.requests_per_second != limit.requests_per_second;
    if (changed || !only_changed)
      reports.push_back({replica, limit.requests_per_second,
                         clock_.Now() - limit.named_at, limit.sent});
  }
  told_limits_ = own_limits_;
  return reports;
}

std::vector<gateway::crash_report> fleet_duty::Reports(
    const std::vector<kept_crash>& crashes) const {
  std::vector<gateway::crash_report> reports;
  for (const kept_crash& each : crashes) {
    gateway::crash_report& report = reports.emplace_back(each.report);
    report.age += clock_.Now() - each.received_at;
    if (report.age > kPartEvidenceRepeat)
      report.prompt_parts.clear();
  }
  return reports;
}

std::vector<gateway::key_sighting> fleet_duty::Sightings(
    const std::map<base::fingerprint, base::time_point>& keys) const {
  std::vector<gateway::key_sighting> sightings;
  for (const auto& [key, at] : keys)
    sightings.push_back({key, clock_.Now() - at});
  return sightings;
}

fleet::peer_status fleet_duty::FullStatus() {
  fleet::peer_status news;
  news.node = self_;
  news.incarnation = incarnation_;
  news.configuration = configuration_ ? configuration_->version() : 0;
  news.seen_requests = seen_requests_ || AnyNodeSeenRequests();
  news.stopping = stopping_;
  news.store_reachable = StoreReachable();
  news.cut_off_services = CutOffServices();
  news.cores = settings_.gateway->cores;
  news.loads = own_loads_;
  news.limits = LimitsToReport(false);
  news.queue_lengths = own_lines_;
  told_loads_ = own_loads_;
  news.suspects = TakeSuspectsToReport();
  news.crashes = Reports(crashes_);
  new_crashes_.clear();
  news.answered_parts = Sightings(std::exchange(crashing_parts_.answered, {}));
  news.blamed_parts = Sightings(crashing_parts_.blamed);
  news.answered_requests =
      Sightings(std::exchange(crashing_requests_.answered, {}));
  news.blamed_requests = Sightings(crashing_requests_.blamed);
  news.leaving = departure_reports_.TakeAll(clock_.Now());
  news.evacuated = told_evacuated_ = evacuations_.own();
  const auto cold = cold_periods_.TakeAll(clock_.Now());
  if (NamesColdReplicas())
    news.cold = cold;
  crashing_parts_.blamed_changed = false;
  crashing_requests_.blamed_changed = false;
  for (const auto& [name, of] : services_) {
    if (of->is_leader && of->planner.announcement().edition != 0)
      news.announcements[name] = of->planner.announcement();
  }
  return news;
}

// @return what changed since the last round.
fleet::peer_status fleet_duty::Changes() {
  fleet::peer_status part = PartialStatus();
  for (const auto& [instance, load] : own_loads_) {
    const auto told = told_loads_.find(instance);
    if (told == told_loads_.end() || !(told->second == load))
      part.loads[instance] = load;
  }
  for (const auto& [instance, load] : told_loads_) {
    if (!own_loads_.contains(instance))
      part.loads[instance] = {};
  }
  told_loads_ = own_loads_;
  part.limits = LimitsToReport(true);
  part.suspects = TakeSuspectsToReport();
  part.crashes = Reports(std::exchange(new_crashes_, {}));
  part.answered_parts = Sightings(std::exchange(crashing_parts_.answered, {}));
  part.answered_requests =
      Sightings(std::exchange(crashing_requests_.answered, {}));
  part.leaving = departure_reports_.TakeNew();
  const auto& evacuated = evacuations_.own();
  if (evacuated &&
      (!told_evacuated_ || told_evacuated_->domains != evacuated->domains))
    part.evacuated = told_evacuated_ = evacuated;
  const auto cold = cold_periods_.TakeNew(clock_.Now());
  if (NamesColdReplicas())
    part.cold = cold;
  if (std::exchange(crashing_parts_.blamed_changed, false))
    part.blamed_parts = Sightings(crashing_parts_.blamed);
  if (std::exchange(crashing_requests_.blamed_changed, false))
    part.blamed_requests = Sightings(crashing_requests_.blamed);
  return part;
}

fleet::peer_status fleet_duty::PartialStatus() const {
  fleet::peer_status part;
  part.partial = true;
  part.node = self_;
  part.incarnation = incarnation_;
  part.queue_lengths = own_lines_;
  return part;
}

// Answers the nodes that asked whether a replica goes on.
void fleet_duty::AnswerPeers(const gateway::entry_update& news) {
  for (const gateway::activity_confirmation& each : news.answers) {
    fleet::peer_status part = PartialStatus();
    part.active_replicas = {each.replica};
    if (relays_.in_use())
      part.kind = fleet::status_kind::kNote;
    SendPartial(std::move(part), each.requesting_node);
  }
}

// Asks whether replicas are active: only the nodes with requests there can
// know.
void fleet_duty::QueryPeers(const gateway::entry_update& news) {
  std::map<base::node_id, std::vector<fleet::peer_activity_query>> queries;
  for (const gateway::activity_query& each : news.queries) {
    const auto able = relays_.in_use()
                          ? relayed_loads_.RelaysWithLoad(each.replica)
                          : peers_.NodesWithLoad(each.replica);
    for (const base::node_id& node : able)
      queries[node].push_back(
          {each.replica, base::WholeMilliseconds(each.window)});
  }
  for (auto& [node, for_node] : queries) {
    fleet::peer_status part = PartialStatus();
    part.queries = std::move(for_node);
    if (relays_.in_use())
      part.kind = fleet::status_kind::kNote;
    if (node == self_) {
      // This node is a relay of others that may know.
      Perform(relays_.Take(part, true, clock_.Now()));
      continue;
    }
    SendPartial(std::move(part), node);
  }
}

void fleet_duty::SendPartial(fleet::peer_status part,
                             const base::node_id& node) {
  const auto address = addresses_.find(node);
  if (address == addresses_.end())
    return;
  part.sequence = ++sequence_;
  SendTo(fleet::EncodePeerStatus(part), address->second);
}

void fleet_duty::SendToPeers(fleet::peer_status news) {
  if (addresses_.empty())
    return;
  news.sequence = ++sequence_;
  LogPeerTraffic(clock_.Now());
  ++(news.partial ? traffic_.partial_rounds : traffic_.full_rounds);
  if (relays_.in_use()) {
    relayed_loads_.OnReported(news.sequence, own_loads_);
    Perform(relays_.Report(std::move(news), clock_.Now()));
    ArmRelayTimer();
    return;
  }
  const std::string text = fleet::EncodePeerStatus(news);
  for (const auto& [node, address] : addresses_)
    SendTo(text, address);
}

// Logs the last period's traffic if it was high, and starts a new period.
void fleet_duty::LogPeerTraffic(base::time_point now) {
  if (now - traffic_.since < kTrafficPeriod)
    return;
  if (traffic_.bytes >= kNotableTraffic)
    telemetry::LogChange(
        "fleet", "peer_traffic",
        {{"span_ms", base::WholeMilliseconds(now - traffic_.since)},
         {"full_rounds", traffic_.full_rounds},
         {"partial_rounds", traffic_.partial_rounds},
         {"datagrams", traffic_.datagrams},
         {"bytes", traffic_.bytes}});
  traffic_ = {};
  traffic_.since = now;
}

void fleet_duty::SendTo(const std::string& text, const udp::endpoint& address) {
  outbox_.OnSent(text.size() + kDatagramHeaderBytes, clock_.Now());
  peer_datagrams_.Add();
  peer_bytes_.Add(text.size());
  ++traffic_.datagrams;
  traffic_.bytes += text.size();
  boost::system::error_code error;
  socket_.send_to(boost::asio::buffer(text), address, 0, error);
  // A full buffer or an unreachable peer; the next datagram says it again.
  if (error)
    peer_sends_failed_.Add();
}

}  // namespace flamingoshunt::daemon
