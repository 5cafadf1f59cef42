#include "gateway/entry.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "base/milliseconds.h"
#include "gateway/endpoint_probe.h"
#include "gateway/session.h"
#include "runtime/fiber_scheduler.h"
#include "telemetry/log.h"

namespace flamingoshunt::gateway {
namespace {

using std::chrono::milliseconds;

// A stalled replica gets no new requests for this long, unless it makes
// progress earlier: the time in which the leader finds out what happened.
constexpr milliseconds kSuspicionDuration{1000};
// A full head refuses many requests; reports are limited to one per period.
constexpr milliseconds kRefusalReportPeriod{500};
// Bounds of the interval between checks of the streams for stalls.
constexpr milliseconds kMinStallCheckPeriod{15};
constexpr milliseconds kMaxStallCheckPeriod{60};
// Activity within this window confirms a replica, however short the inactivity
// that the querying node observed.
constexpr milliseconds kMinActivityWindow{50};
constexpr int kBadRequest = 400;

// What crashes are attributed to, with the names in logs.
struct blame_subject {
  const char* field;
  const char* blamed;
  const char* cleared;
};
constexpr blame_subject kPartSubject{"part", "prompt_part_blamed",
                                     "prompt_part_cleared"};
constexpr blame_subject kRequestSubject{"fingerprint", "request_blamed",
                                        "request_cleared"};

// @return the observer of a crash or an answer, as logged.
const char* Observer(bool own) {
  return own ? "self" : "peer";
}

void LogBlame(const blame_subject& subject,
              base::fingerprint key,
              bool blamed,
              std::string_view observer) {
  telemetry::LogChange("gateway", blamed ? subject.blamed : subject.cleared,
                       {{subject.field, key.value()}, {"observer", observer}});
}

// Applies what peers know of @p subject.
void ApplySightings(crash_attribution& guard,
                    const blame_subject& subject,
                    const std::vector<key_sighting>& answered,
                    const std::vector<key_sighting>& blamed,
                    base::time_point now) {
  for (const key_sighting& answer : answered) {
    if (guard.ApplyAnswer(answer, now))
      LogBlame(subject, answer.key, false, Observer(false));
  }
  for (const key_sighting& crash : blamed) {
    if (guard.ApplyBlame(crash, now))
      LogBlame(subject, crash.key, true, Observer(false));
  }
}

}  // namespace

entry::entry(boost::asio::io_context& loop,
             const base::clock& clock,
             const protocol& protocol_adapter,
             metrics& counters,
             std::uint64_t seed,
             std::function<void(entry_update)> send_update,
             std::function<void()> apply_pending_updates,
             dispatcher_options options)
    : loop_(loop),
      clock_(clock),
      protocol_(protocol_adapter),
      metrics_(counters),
      send_update_(std::move(send_update)),
      apply_pending_updates_(std::move(apply_pending_updates)),
      random_(seed),
      dispatcher_(base::random_engine(seed), options),
      connections_(loop),
      timer_(loop, [this] {
        DeliverDecisions(dispatcher_.Tick(Now()));
        CheckStalls();
        CheckReach();
        ArmTimer();
      }) {}

entry::~entry() = default;

void entry::Handle(runtime::http_exchange& exchange) {
  metrics_.requests.Add();
  session request_session(*this, exchange);
  RunSession(request_session);
}

void entry::HandlePassed(runtime::http_exchange& exchange) {
  const auto passed = DecodePeerRequest(exchange.request());
  if (!passed) {
    telemetry::LogChange("gateway", "passed_unreadable", {},
                         telemetry::log_level::kWarning);
    exchange.SendWhole(kBadRequest, "", "");
    return;
  }
  metrics_.taken_over.Add();
  session request_session(*this, exchange, *passed);
  RunSession(request_session);
}

void entry::RunSession(session& request_session) {
  seen_requests_ = true;
  const running_session listed(*this, request_session);
  ArmTimer();
  request_session.Run();
}

entry::running_session::running_session(entry& owner, session& listed)
    : owner_(owner), listed_(listed) {
  owner_.sessions_.insert(&listed_);
  owner_.metrics_.running.Set(
      static_cast<std::int64_t>(owner_.sessions_.size()));
}

entry::running_session::~running_session() {
  owner_.sessions_.erase(&listed_);
  owner_.metrics_.running.Set(
      static_cast<std::int64_t>(owner_.sessions_.size()));
}

entry::slot_claim::~slot_claim() {
  try {
    Release(false);
  } catch (const std::exception& error) {
    telemetry::LogChange("gateway", "slot_not_released",
                         {{"why", error.what()}}, telemetry::log_level::kError);
  }
}

void entry::slot_claim::Release(bool complete) {
  if (std::exchange(released_, true))
    return;
  owner_.waiting_.erase(ticket_);
  owner_.dispatcher_.Cancel(ticket_);
  owner_.ReleaseSlot(ticket_, complete);
}

void entry::ApplyUpdate(const fleet_update& update) {
  const auto now = Now();
  if (update.peers)
    peers_ = *update.peers;
  if (update.allowance)
    retry_budget_.SetAllowance(*update.allowance);
  ApplyCrashNews(update);
  for (const base::instance_id& replica : update.suspects) {
    dispatcher_.Suspect(replica, now + kSuspicionDuration);
    for (session* running_session : sessions_)
      running_session->OnPeerSuspicion(replica);
  }
  if (update.view) {
    view_ = update.view;
    view_received_at_ = now;
    retry_budget_.SetNodes(view_->live_nodes);
    DeliverDecisions(dispatcher_.SetView(view_, now));
  }
  for (const peer_limits& each : update.limits)
    dispatcher_.ApplyPeerLimits(each.peer, each.limits, now);
  if (update.queue_lengths)
    dispatcher_.SetPeerQueueLengths(*update.queue_lengths);
  if (!update.loads.empty())
    DeliverDecisions(dispatcher_.UpdatePeerLoads(update.loads, now));
  for (const base::instance_id& replica : update.active_replicas)
    stall_detector_.OnPeerActivity(replica, now);
  for (const activity_query& query : update.queries) {
    if (stall_detector_.WasActiveWithin(query.replica, query.window, now))
      new_answers_.push_back({query.requesting_node, query.replica});
  }
  if (!new_answers_.empty())
    send_update_(CollectUpdate());
  ArmTimer();
}

entry_update entry::CollectUpdate() {
  entry_update update;
  update.loads = dispatcher_.own_loads();
  update.queue_lengths = dispatcher_.own_queue_lengths();
  update.limits = dispatcher_.own_limits();
  update.urgent = std::exchange(update_is_urgent_, false);
  update.queries = std::exchange(new_queries_, {});
  update.answers = std::exchange(new_answers_, {});
  update.seen_requests = seen_requests_;
  update.cut_off_services = CutOffServices();
  update.suspects = std::exchange(new_suspects_, {});
  update.crashes = std::exchange(new_crashes_, {});
  update.leaving = std::exchange(new_leaving_, {});
  update.answered_parts = prompt_part_guard_.TakeAnswersToReport(Now());
  update.blamed_parts = prompt_part_guard_.BlamedKeys(Now());
  update.answered_requests = crash_guard_.TakeAnswersToReport(Now());
  update.blamed_requests = crash_guard_.BlamedKeys(Now());
  return update;
}

entry::slot_result entry::WaitForSlot(slot_request request,
                                      runtime::fiber_signal& signal) {
  if (apply_pending_updates_)
    apply_pending_updates_();
  const ticket_id ticket = request.ticket;
  waiting_[ticket].signal = &signal;
  DeliverDecisions(dispatcher_.Submit(std::move(request), Now()));
  ArmTimer();
  signal.Wait();
  const auto it = waiting_.find(ticket);
  slot_result result = std::move(it->second.result);
  waiting_.erase(it);
  if (!result.granted && !result.refused)
    dispatcher_.Cancel(ticket);
  if (result.granted)
    AnnouncePlacement(*result.granted);
  metrics_.waiting.Set(static_cast<std::int64_t>(dispatcher_.waiting()));
  return result;
}

std::optional<grant> entry::PlaceNow(const slot_request& request) {
  auto granted = dispatcher_.PlaceNow(request, Now());
  if (granted)
    AnnouncePlacement(*granted);
  return granted;
}

void entry::AnnouncePlacement(const grant& granted) {
  if (granted.replica.model.empty() && !granted.limited)
    return;
  update_is_urgent_ = true;
  send_update_(CollectUpdate());
}

void entry::ReleaseSlot(ticket_id ticket, bool complete) {
  DeliverDecisions(dispatcher_.Release(ticket, complete, Now()));
  ArmTimer();
}

void entry::DeliverDecisions(decisions results) {
  for (grant& granted : results.grants) {
    const auto it = waiting_.find(granted.ticket);
    if (it == waiting_.end())
      continue;
    it->second.result.granted = std::move(granted);
    it->second.signal->Notify();
  }
  for (const refusal& refused : results.refusals) {
    const auto it = waiting_.find(refused.ticket);
    if (it == waiting_.end())
      continue;
    it->second.result.refused = refused;
    it->second.signal->Notify();
  }
}

void entry::ArmTimer() {
  auto next = dispatcher_.NextTimer(Now());
  if (!sessions_.empty())
    next = next ? std::min(*next, next_stall_check_) : next_stall_check_;
  for (const auto& [service, reach] : reach_) {
    if (const auto probe = reach.NextProbe())
      next = next ? std::min(*next, *probe) : *probe;
  }
  timer_.Arm(next);
  metrics_.cold.Set(static_cast<std::int64_t>(dispatcher_.CountCold(Now())));
  metrics_.running_in_evacuated.Set(dispatcher_.RunningInEvacuated());
  metrics_.waiting.Set(static_cast<std::int64_t>(dispatcher_.waiting()));
}

void entry::CheckStalls() {
  const auto now = Now();
  if (now < next_stall_check_)
    return;
  // A stream that began since the last check is due later than this.
  base::time_point next = now + kMaxStallCheckPeriod;
  for (session* running_session : sessions_)
    next = std::min(next, running_session->CheckStalls());
  next_stall_check_ =
      std::max<base::time_point>(next, now + kMinStallCheckPeriod);
}

void entry::QueryPeers(const base::instance_id& replica,
                       base::duration inactivity) {
  new_queries_.push_back(
      {{},
       replica,
       std::max<base::duration>(inactivity / 2, kMinActivityWindow)});
  send_update_(CollectUpdate());
}

std::optional<peer_node> entry::ChoosePeer(
    const std::string& service,
    const std::vector<base::node_id>& tried) {
  std::vector<const peer_node*> able;
  for (const peer_node& peer : peers_) {
    if (!peer.cut_off_services.contains(service) &&
        std::find(tried.begin(), tried.end(), peer.node) == tried.end())
      able.push_back(&peer);
  }
  if (able.empty())
    return std::nullopt;
  return *able[base::RandomIndex(random_, able.size())];
}

bool entry::HasPeer(const std::string& service,
                    const base::node_id& node) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const peer_node& peer) {
    return peer.node == node && !peer.cut_off_services.contains(service);
  });
}

void entry::RecordConnection(const std::string& service,
                             const target& replica,
                             bool connected) {
  if (connected)
    reach_[service].OnReached(replica.address, Now());
  else
    reach_[service].OnFailed();
  ArmTimer();
}

void entry::RecordSilence(const std::string& service) {
  reach_[service].OnFailed();
}

bool entry::IsCutOff(const std::string& service) const {
  const auto reach = reach_.find(service);
  // Without peers nobody else can serve, so this node keeps trying.
  return reach != reach_.end() && reach->second.cut_off() && !peers_.empty();
}

bool entry::InDoubt(const std::string& service) const {
  const auto reach = reach_.find(service);
  return reach != reach_.end() && reach->second.in_doubt();
}

std::set<std::string> entry::CutOffServices() const {
  std::set<std::string> services;
  for (const auto& [service, reach] : reach_) {
    if (reach.cut_off())
      services.insert(service);
  }
  return services;
}

void entry::CheckReach() {
  for (auto& [service, reach] : reach_) {
    if (reach.StartProbe(Now()))
      runtime::SpawnFiber([this, name = service] { ProbeService(name); });
  }
}

void entry::ProbeService(const std::string& service) {
  const bool before = IsCutOff(service);
  const probe_result result = ProbeEndpoints(
      loop_, ChooseProbed(AddressesOf(service), reach_[service], random_),
      endpoint_reach::kProbeTimeout);
  reach_[service].OnProbed(result, Now());
  const auto suspects = std::exchange(unverified_suspects_[service], {});
  if (!IsCutOff(service) && !suspects.empty()) {
    new_suspects_.insert(new_suspects_.end(), suspects.begin(), suspects.end());
    send_update_(CollectUpdate());
  }
  if (IsCutOff(service) != before) {
    telemetry::LogChange("gateway",
                         IsCutOff(service) ? "cut_off" : "reconnected",
                         {{"service", service},
                          {"probed_reached", result.reached.size()},
                          {"probed_failed", result.failed},
                          {"peers", peers_.size()}});
    // Idle connections may have been silenced meanwhile.
    for (const std::string& address : AddressesOf(service))
      connections_.Forget(address);
    update_is_urgent_ = true;
    send_update_(CollectUpdate());
  }
  ArmTimer();
}

std::vector<std::string> entry::AddressesOf(const std::string& service) const {
  std::vector<std::string> addresses;
  if (!view_)
    return addresses;
  const auto targets = view_->targets.find(service);
  if (targets == view_->targets.end())
    return addresses;
  for (const target& replica : targets->second)
    addresses.push_back(replica.address);
  return addresses;
}

void entry::ReportStall(const std::string& service,
                        const base::instance_id& replica,
                        base::duration inactivity) {
  // Says nothing of the replica.
  if (IsCutOff(service))
    return;
  metrics_.stalls.Add();
  dispatcher_.Suspect(replica, Now() + kSuspicionDuration);
  telemetry::LogChange(
      "gateway", "replica_suspected",
      {{"instance", replica.str()},
       {"silent_ms",
        std::chrono::duration_cast<milliseconds>(inactivity).count()}});
  // Peers are told once this node knows that it reaches others.
  unverified_suspects_[service].push_back(replica);
  reach_[service].OnFailed();
  ArmTimer();
}

void entry::ReportRefusal(const base::instance_id& replica) {
  base::time_point& reported_at = refusals_reported_at_[replica];
  if (reported_at != base::time_point() &&
      Now() - reported_at < kRefusalReportPeriod)
    return;
  reported_at = Now();
  new_suspects_.push_back(replica);
  send_update_(CollectUpdate());
}

void entry::RecordLimit(const base::instance_id& replica,
                        std::optional<double> requests_per_second) {
  if (!dispatcher_.RecordLimit(replica, requests_per_second, Now()))
    return;
  telemetry::LogChange(
      "gateway", "replica_limited",
      {{"instance", replica.str()},
       {"requests_per_second", requests_per_second.value_or(-1)}});
  update_is_urgent_ = true;
  send_update_(CollectUpdate());
}

void entry::RecordLeaving(const target& replica,
                          const base::request_id& request) {
  const replica_process process{replica.instance, replica.started_ms};
  if (!dispatcher_.MarkLeaving(process))
    return;
  telemetry::LogChange("gateway", "replica_leaving",
                       {{"instance", process.instance.str()},
                        {"started_ms", process.started_ms},
                        {"request", request.str()}});
  metrics_.leaves_read.Add();
  new_leaving_.push_back(process);
  update_is_urgent_ = true;
  send_update_(CollectUpdate());
}

void entry::RecordPause(const target& replica,
                        base::duration pause,
                        const base::request_id& request) {
  const auto now = Now();
  telemetry::LogChange("gateway", "replica_paused",
                       {{"instance", replica.instance.str()},
                        {"started_ms", replica.started_ms},
                        {"pause_ms", base::WholeMilliseconds(pause)},
                        {"request", request.str()}});
  metrics_.pauses_read.Add();
  dispatcher_.RecordPause({replica.instance, replica.started_ms}, now + pause,
                          now);
  // What is queued for this replica alone is refused at once.
  DeliverDecisions(dispatcher_.Tick(now));
}

void entry::RecordActivity(const base::instance_id& replica) {
  stall_detector_.RecordActivity(replica, Now());
  DeliverDecisions(dispatcher_.ClearSuspicion(replica, Now()));
}

bool entry::CountCrash(const crash_report& report, bool own) {
  const crash_count count = crash_guard_.Count(report, own, Now());
  if (!count.counted)
    return false;
  const char* const observer = Observer(own);
  telemetry::LogChange("gateway", "crash_counted",
                       {{"fingerprint", report.request.value()},
                        {"instance", report.replica.str()},
                        {"observer", observer},
                        {"crashes", count.crashes}});
  if (count.blamed)
    LogBlame(kRequestSubject, *count.blamed, true, observer);
  if (const auto part = prompt_part_guard_.RecordCrash(report, Now()))
    LogBlame(kPartSubject, *part, true, observer);
  return true;
}

void entry::RecordAnsweredParts(const std::vector<base::fingerprint>& parts) {
  for (const base::fingerprint part : parts) {
    if (prompt_part_guard_.RecordAnswer(part, Now()))
      LogBlame(kPartSubject, part, false, Observer(true));
  }
}

void entry::RecordWholeAnswer(const request_identity& request) {
  if (!crash_guard_.RecordWholeAnswer(request, Now()))
    return;
  LogBlame(kRequestSubject, request.request, false, Observer(true));
  update_is_urgent_ = true;
  send_update_(CollectUpdate());
}

// Answers go first: they may clear a key of the crashes that follow.
void entry::ApplyCrashNews(const fleet_update& update) {
  ApplySightings(prompt_part_guard_, kPartSubject, update.answered_parts,
                 update.blamed_parts, Now());
  ApplySightings(crash_guard_, kRequestSubject, update.answered_requests,
                 update.blamed_requests, Now());
  const std::size_t blamed_before = CountBlamed();
  for (const crash_report& report : update.crashes)
    CountCrash(report, false);
  // Peers that missed a report learn the conclusion.
  if (CountBlamed() != blamed_before)
    send_update_(CollectUpdate());
}

std::size_t entry::CountBlamed() const {
  return prompt_part_guard_.BlamedKeys(Now()).size() +
         crash_guard_.BlamedKeys(Now()).size();
}

void entry::ReportCrash(const crash_report& report) {
  if (!CountCrash(report, true))
    return;
  new_crashes_.push_back(report);
  send_update_(CollectUpdate());
}

}  // namespace flamingoshunt::gateway
