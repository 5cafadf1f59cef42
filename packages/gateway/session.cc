#include "gateway/session.h"

#include <algorithm>
#include <array>
#include <exception>
#include <utility>

#include "base/milliseconds.h"
#include "gateway/attempt_bounds.h"
#include "telemetry/log.h"

namespace flamingoshunt::gateway {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kNoConfigurationRetryAfter{1000};
// Callers disconnect from a stream without an event for the longest of these:
// a minimum, and multiples of the latency target and of the event gap target.
constexpr milliseconds kMinFirstEventTimeout{2000};
constexpr int kFirstEventTimeoutTargets = 4;
constexpr int kFirstEventTimeoutGaps = 8;
// A request sent while the replica closes the idle connection fails within
// this.
constexpr milliseconds kIdleCloseWindow{100};
// A request that lay unread for longer is logged.
constexpr milliseconds kLateRead{250};
// A caller that has this much less than its route's time was here before.
constexpr milliseconds kUnreturnedTime{50};
// Of a started stream that lost its replica: before all other requests.
constexpr int kResumePriority = -1;

// A shorter wait for a slot is just the way through the node.
constexpr milliseconds kCountedWait{1};
// Priorities that replicas know are 0 to this.
constexpr int kLeastUrgent = 9;

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

// @return the parts as they appear in logs, separated by blanks.
std::string Join(const std::vector<base::fingerprint>& parts) {
  std::string text;
  for (const base::fingerprint part : parts) {
    if (!text.empty())
      text += ' ';
    text += std::to_string(part.value());
  }
  return text;
}

std::string_view ToStd(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

const char* session::NameOf(attempt_result result) {
  constexpr std::array<const char*, 8> kNames{
      "complete", "not_run", "not_sent",    "failed",
      "broken",   "stalled", "out_of_time", "caller_left"};
  return kNames.at(static_cast<std::size_t>(result));
}

session::session(entry& owner, runtime::http_exchange& exchange)
    : session(owner, exchange, nullptr) {}

session::session(entry& owner,
                 runtime::http_exchange& exchange,
                 const peer_request& passed)
    : session(owner, exchange, &passed) {}

session::session(entry& owner,
                 runtime::http_exchange& exchange,
                 const peer_request* passed)
    : entry_(owner),
      exchange_(exchange),
      passed_(passed),
      request_(passed ? passed->request : exchange.request()),
      head_(owner.protocol_.ReadCaller(request_)),
      received_at_(owner.Now()),
      arrived_at_(passed ? received_at_ - passed->elapsed : received_at_),
      deadline_(arrived_at_),
      last_progress_at_(received_at_),
      splitter_(passed && passed->resume_after ? passed->resume_after
                                               : head_.resume_after) {
  if (passed)
    attempts_sent_ = passed->attempts;
}

session::~session() {
  for (const auto& standby : standbys_)
    standby->Cancel();
}

void session::Run() {
  // The callback may run once more after this request has ended.
  const auto alive = std::make_shared<bool>(true);
  exchange_.WatchCaller([this, watched = std::weak_ptr<bool>(alive)] {
    if (watched.expired())
      return;
    caller_gone_ = true;
    signal_.Notify();
    if (upstream_)
      upstream_->Close();
    for (const auto& standby : standbys_)
      standby->Cancel();
    standby_changed_.Notify();
  });
  try {
    LogLateRead();
    if (Validate())
      Serve();
  } catch (const std::exception& error) {
    EndAfterError(error.what());
  }
}

// Answers a request whose handling threw an unexpected exception. Slots and
// connections are released by the destructors of their owners.
void session::EndAfterError(std::string_view why) {
  telemetry::LogChange("gateway", "request_failed",
                       {{"request", head_.id.str()},
                        {"why", why},
                        {"answered", exchange_.answered()},
                        {"sent", attempts_sent_},
                        {"may_have_run", may_have_run_}},
                       telemetry::log_level::kError);
  entry_.metrics_.errors.Add();
  if (exchange_.answered()) {
    exchange_.Abort();
    entry_.metrics_.failed.Add();
  } else if (may_have_run_) {
    SendOutcomeUnknown(attempt_result::kBroken);
  } else {
    RefuseNotRun(attempt_result::kNotSent);
  }
}

void session::LogLateRead() {
  const auto unread = exchange_.unread_time();
  const bool closed = exchange_.caller_closed();
  if (unread)
    entry_.metrics_.unread.Observe(*unread);
  if (!closed && unread.value_or(base::duration::zero()) < kLateRead)
    return;
  telemetry::LogChange(
      "gateway", "read_late",
      {{"request", head_.id.str()},
       {"unread_ms", unread ? base::WholeMilliseconds(*unread) : -1},
       {"caller_closed", closed}});
}

// Checks the request against the configuration in force.
// @return whether to serve it; otherwise it has been answered.
bool session::Validate() {
  configuration_ = entry_.view_ ? entry_.view_->configuration : nullptr;
  if (!configuration_) {
    Refuse(kUnavailable, "no_configuration", kNoConfigurationRetryAfter);
    return false;
  }
  if (passed_ && configuration_->version() < passed_->configuration) {
    Refuse(kUnavailable, "older_configuration", kNoConfigurationRetryAfter);
    return false;
  }
  const auto path = PathOf(ToStd(request_.target()));
  if (head_.id.empty()) {
    Refuse(kBadRequest, "no_request_id", std::nullopt);
    return false;
  }
  route_ = configuration_->Match(
      ToStd(request_[boost::beast::http::field::host]), path);
  if (!route_) {
    Refuse(kNotFound, "no_route", std::nullopt);
    return false;
  }
  const workspace* caller_workspace = configuration_->FindWorkspace(head_.key);
  if (!caller_workspace && configuration_->requires_key() &&
      !route_->anonymous) {
    Refuse(kUnauthorized, "unknown_key", std::nullopt);
    return false;
  }
  if (caller_workspace)
    workspace_ = caller_workspace->id;
  priority_ = caller_workspace && caller_workspace->priority
                  ? *caller_workspace->priority
                  : route_->priority;
  const base::duration time_budget = std::min<base::duration>(
      head_.time_budget.value_or(route_->timeout), route_->timeout);
  deadline_ = arrived_at_ + time_budget;
  double sum = 0;
  for (const weighted_service& candidate : route_->targets)
    sum += candidate.weight;
  double drawn = base::RandomUnit(entry_.random_) * sum;
  for (const weighted_service& candidate : route_->targets) {
    service_ = candidate.service;
    drawn -= candidate.weight;
    if (drawn < 0)
      break;
  }
  identity_ =
      crash_guard::Identify(workspace_.str(), ToStd(request_.method_string()),
                            ToStd(request_.target()), request_.body());
  is_trial_ = TakeTrial();
  if (EndIfCrashing())
    return false;
  if (time_budget < route_->timeout - kUnreturnedTime)
    CountOutcome(request_outcome::kReturned);
  // The first node has counted the others.
  if (!passed_)
    entry_.retry_budget_.RecordRequest(service_, arrived_at_);
  return true;
}

bool session::CrashesReplicas() const {
  const auto now = entry_.Now();
  return (!is_trial_ && entry_.crash_guard_.ShouldRefuse(identity_, now)) ||
         entry_.prompt_part_guard_.FindBlamed(head_.shared_prompt_parts, now);
}

// @return whether this request shows whether one that is refused still crashes
//         replicas.
bool session::TakeTrial() {
  const auto now = entry_.Now();
  if (entry_.prompt_part_guard_.FindBlamed(head_.shared_prompt_parts, now) ||
      !entry_.crash_guard_.TakeTrial(identity_, now))
    return false;
  telemetry::LogChange("gateway", "crash_trial",
                       {{"request", head_.id.str()},
                        {"fingerprint", identity_.request.value()}});
  return true;
}

// @return whether the request crashes replicas, and so has been answered.
bool session::EndIfCrashing() {
  if (!CrashesReplicas())
    return false;
  if (response_started_ || may_have_run_ || stored_failure_)
    Finish(attempt_result::kBroken);
  else
    Refuse(kUnavailable, "crashes_replicas", std::nullopt);
  return true;
}

base::duration session::RemainingTime() const {
  return deadline_ - entry_.Now();
}

slot_request session::MakeSlotRequest() const {
  slot_request request;
  request.ticket = ticket_id(entry_.next_ticket_++);
  request.service = service_;
  request.model = head_.model;
  request.prompt_tokens = head_.prompt_tokens;
  request.output_is_bound = head_.expected_output_tokens <= 0;
  request.workspace = workspace_;
  request.output_tokens =
      head_.expected_output_tokens > 0
          ? std::min(head_.expected_output_tokens, head_.max_output_tokens)
          : head_.max_output_tokens;
  const bool has_begun = response_started_ || (passed_ && passed_->has_begun);
  request.priority = has_begun ? kResumePriority : priority_;
  request.arrived_at = arrived_at_;
  request.on_time_deadline = arrived_at_ + route_->first_answer_target;
  request.deadline = deadline_;
  if (route_->stream) {
    const base::time_point last_progress =
        response_started_ ? last_event_at_
                          : (has_begun ? received_at_ : arrived_at_);
    request.first_event_deadline =
        last_progress +
        std::max<base::duration>(
            {kMinFirstEventTimeout,
             kFirstEventTimeoutTargets * route_->first_answer_target,
             kFirstEventTimeoutGaps * route_->event_gap_target});
  }
  request.avoid = tried_replicas_;
  request.has_begun = has_begun;
  request.traits.route = route_->name;
  request.traits.workspace = workspace_;
  request.traits.max_output_tokens = head_.max_output_tokens;
  request.traits.hinted_output_tokens = head_.expected_output_tokens;
  request.traits.events_done = splitter_.last_id().value_or(0);
  return request;
}

void session::Serve() {
  while (true) {
    std::optional<attempt_result> result;
    if (!standbys_.empty()) {
      result = TakeStandby();
    } else if (const auto peer = ChoosePeer()) {
      result = PassOn(*peer);
    } else if (IsCutOff()) {
      RefuseCutOff();
      return;
    } else {
      result = AttemptHere();
    }
    if (!result)
      return;
    const bool final = *result == attempt_result::kComplete ||
                       *result == attempt_result::kCallerGone ||
                       *result == attempt_result::kDeadlineExceeded;
    const bool standby_continues = !standbys_.empty() && !final;
    if (standby_continues)
      continue;
    if (!MayRetry(*result)) {
      Finish(*result);
      return;
    }
    if (EndIfCrashing())
      return;
  }
}

std::optional<session::attempt_result> session::AttemptHere() {
  const auto queued_at = entry_.Now();
  const slot_request request = MakeSlotRequest();
  entry::slot_claim claim(entry_, request.ticket);
  const auto slot = entry_.WaitForSlot(request, signal_);
  if (caller_gone_) {
    claim.Release(false);
    Finish(attempt_result::kCallerGone);
    return std::nullopt;
  }
  if (entry_.Now() - queued_at >= kCountedWait)
    CountOutcome(request_outcome::kQueued);
  if (!slot.granted) {
    const refusal refused = slot.refused.value_or(refusal{});
    if (MayPeersKnowBetter(refused.reason))
      return attempt_result::kNotSent;
    telemetry::LogChange(
        "gateway", "not_placed",
        {{"request", head_.id.str()},
         {"reason", gateway::NameOf(refused.reason)},
         {"waiting", refused.waiting},
         {"waited_ms", base::WholeMilliseconds(entry_.Now() - queued_at)},
         {"sent_before", attempts_sent_}});
    if (response_started_ || may_have_run_ || stored_failure_)
      Finish(attempt_result::kBroken);
    else
      Refuse(kUnavailable, gateway::NameOf(refused.reason),
             refused.retry_after);
    return std::nullopt;
  }
  // Other nodes may have found out during the wait.
  if (CrashesReplicas()) {
    claim.Release(false);
    EndIfCrashing();
    return std::nullopt;
  }
  entry_.metrics_.queue_wait.Observe(entry_.Now() - queued_at);
  const grant& granted = *slot.granted;
  telemetry::LogChange(
      "gateway", "placed",
      {{"request", head_.id.str()},
       {"instance", granted.replica.instance.str()},
       {"running", granted.load.running},
       {"unread_tokens", granted.load.pending_prompt_tokens},
       {"expected_first_ms",
        base::WholeMilliseconds(granted.expected.first_event)},
       {"waited_ms", base::WholeMilliseconds(entry_.Now() - queued_at)},
       {"view_age_ms",
        base::WholeMilliseconds(entry_.Now() - entry_.view_received_at_)},
       {"configuration", configuration_->version()}});
  const attempt_result result = RunAttempt(granted);
  if (result == attempt_result::kComplete && route_->stream)
    entry_.metrics_.errors_of_estimates.RecordEnd(
        granted.replica.model, granted.expected.total,
        entry_.Now() - attempt_started_at_);
  claim.Release(result == attempt_result::kComplete);
  return result;
}

void session::BeginAttempt() {
  replica_stalled_ = false;
  attempt_has_head_ = false;
  attempt_has_event_ = false;
  stall_reported_ = false;
  standby_declined_ = {};
  splitter_ = event_splitter(splitter_.last_id());
  last_progress_at_ = entry_.Now();
  attempt_started_at_ = last_progress_at_;
}

// @param ran_before whether an earlier attempt may have run.
// @return how the attempt ended for the caller.
session::attempt_result session::SettleAttempt(attempt_result result,
                                               bool ran_before) {
  if (caller_gone_)
    result = attempt_result::kCallerGone;
  else if (result != attempt_result::kComplete &&
           RemainingTime() <= base::duration::zero())
    result = attempt_result::kDeadlineExceeded;
  if (result == attempt_result::kNotRun || result == attempt_result::kNotSent)
    may_have_run_ = ran_before || standby_may_have_run_;
  return result;
}

// @return the bytes that the other end had not acknowledged; -1 if unknown.
std::int64_t session::EndConnection() {
  std::int64_t unacknowledged = -1;
  if (!upstream_)
    return unacknowledged;
  if (const auto bytes = upstream_->unacknowledged_at_close())
    unacknowledged = static_cast<std::int64_t>(*bytes);
  entry_.connections_.Return(std::move(upstream_));
  upstream_.reset();
  return unacknowledged;
}

session::attempt_result session::RunAttempt(const grant& granted) {
  tried_replicas_.push_back(granted.replica.instance);
  current_replica_ = granted.replica.instance;
  expected_ = granted.expected;
  BeginAttempt();
  return RunSteps(&granted, [&] { return SendAttempt(granted); });
}

// Runs the steps of the current attempt and records how it ended.
// @param granted null if a peer serves the request.
session::attempt_result session::RunSteps(
    const grant* granted,
    const std::function<attempt_result()>& steps) {
  const bool ran_before = may_have_run_;
  attempt_result result = attempt_result::kBroken;
  bool closed_by_replica = false;
  std::string detail;
  try {
    result = steps();
    // Also if the caller has left meanwhile.
    if (granted && result == attempt_result::kComplete)
      entry_.RecordWholeAnswer(identity_);
  } catch (const runtime::transport_error& error) {
    detail = error.what();
    closed_by_replica =
        error.failure() == runtime::transport_failure::kClosed ||
        error.failure() == runtime::transport_failure::kRefused;
    result = replica_stalled_ ||
                     error.failure() == runtime::transport_failure::kTimeout
                 ? attempt_result::kStalled
                 : attempt_result::kBroken;
  }
  current_replica_.reset();
  const auto peer = std::exchange(current_peer_, std::nullopt);
  result = SettleAttempt(result, ran_before);
  const std::int64_t unacknowledged = EndConnection();
  // A silent replica may go on, so a stall is no crash.
  if (granted && may_have_run_ && result == attempt_result::kBroken)
    ReportCrash(*granted, closed_by_replica);
  // A head that refuses requests may have lost a member.
  if (granted && result == attempt_result::kNotRun && route_->stream)
    entry_.ReportRefusal(granted->replica.instance);
  if (result != attempt_result::kComplete)
    LogAttemptEnded(granted, peer, result, unacknowledged, detail);
  return result;
}

void session::LogAttemptEnded(const grant* granted,
                              const std::optional<base::node_id>& peer,
                              attempt_result result,
                              std::int64_t unacknowledged,
                              std::string_view detail) {
  telemetry::LogChange(
      "gateway", "attempt_ended",
      {{"request", head_.id.str()},
       {granted ? "instance" : "peer",
        granted ? granted->replica.instance.str()
                : peer.value_or(base::node_id()).str()},
       {"how", NameOf(result)},
       {"silent_ms", base::WholeMilliseconds(entry_.Now() - last_progress_at_)},
       {"left_ms", base::WholeMilliseconds(RemainingTime())},
       {"events", splitter_.event_count()},
       {"unacknowledged", unacknowledged},
       {"prompt_parts", Join(head_.shared_prompt_parts)},
       {"detail", detail}});
}

// It isn't known yet whether the replica crashed, and why; a request that fails
// this way on three replicas is refused, and so are the parts of its prompt if
// no request with them is served.
void session::ReportCrash(const grant& granted, bool closed_by_replica) {
  is_trial_ = false;
  crash_report report;
  report.request = identity_.request;
  report.exact_request = identity_.exact_request;
  report.replica = granted.replica.instance;
  report.attempt_duration = entry_.Now() - attempt_started_at_;
  if (closed_by_replica && !attempt_has_event_)
    report.prompt_parts = head_.shared_prompt_parts;
  entry_.ReportCrash(report);
}

void session::ReportStandbyCrash(const standby_attempt& failed) {
  is_trial_ = false;
  crash_report report;
  report.request = identity_.request;
  report.exact_request = identity_.exact_request;
  report.replica = failed.order().granted->replica.instance;
  report.attempt_duration = entry_.Now() - failed.sent_at();
  if (failed.closed_by_replica())
    report.prompt_parts = head_.shared_prompt_parts;
  entry_.ReportCrash(report);
}

attempt_head session::MakeAttemptHead(const base::instance_id& replica) const {
  attempt_head attempt;
  attempt.instance = replica;
  attempt.workspace = workspace_;
  attempt.time_budget = RemainingTime();
  attempt.resume_after = splitter_.last_id();
  if (entry_.dispatcher_.options().send_priority)
    attempt.priority = std::clamp(priority_, 0, kLeastUrgent);
  return attempt;
}

session::attempt_result session::SendAttempt(const grant& granted) {
  const std::string& address = granted.replica.address;
  if (route_->retryable())
    upstream_ = entry_.connections_.TakeIdle(address);
  const bool pooled = upstream_ != nullptr;
  connection_was_used_ = pooled;
  if (!upstream_) {
    upstream_ = std::make_unique<runtime::http_connection>(entry_.loop_);
    try {
      upstream_->Connect(
          address, std::min<base::duration>(kConnectTimeout, RemainingTime()));
      entry_.RecordConnection(service_, granted.replica, true);
    } catch (const runtime::transport_error&) {
      if (!caller_gone_ && !replica_stalled_) {
        ++failed_connections_;
        entry_.RecordConnection(service_, granted.replica, false);
        entry_.ReportStall(service_, granted.replica.instance,
                           base::duration::zero());
      }
      return attempt_result::kNotSent;
    }
  }
  // An answer to another request may have said meanwhile that the replica is
  // leaving or pausing.
  if (caller_gone_ || RemainingTime() <= base::duration::zero() ||
      !entry_.dispatcher_.AcceptsRequests(granted.replica, entry_.Now()))
    return attempt_result::kNotSent;
  // A second attempt may have taken the last one that the route allows.
  if (!standbys_.empty() && attempts_sent_ >= route_->max_attempts)
    return attempt_result::kNotSent;
  auto message = entry_.protocol_.WriteAttempt(
      request_, MakeAttemptHead(granted.replica.instance));
  ++attempts_sent_;
  may_have_run_ = true;
  entry_.metrics_.attempts.Add();
  last_progress_at_ = entry_.Now();
  try {
    upstream_->Send(message, RemainingTime());
    return ReadAnswer(granted);
  } catch (const runtime::transport_error& error) {
    // The replica closed the idle connection while the request was in flight;
    // only retryable requests use pooled connections, so it is sent again.
    const bool closed_while_idle =
        pooled && !attempt_has_head_ && !response_started_ && !caller_gone_ &&
        !replica_stalled_ &&
        error.failure() == runtime::transport_failure::kClosed &&
        entry_.dispatcher_.AcceptsRequests(granted.replica, entry_.Now()) &&
        entry_.Now() - last_progress_at_ < kIdleCloseWindow &&
        entry_.retry_budget_.TryRetry(service_, entry_.Now());
    if (!closed_while_idle)
      throw;
    telemetry::LogChange("gateway", "resent",
                         {{"request", head_.id.str()},
                          {"instance", granted.replica.instance.str()},
                          {"after_ms", base::WholeMilliseconds(
                                           entry_.Now() - last_progress_at_)},
                          {"detail", error.what()}});
  }
  connection_was_used_ = false;
  upstream_ = std::make_unique<runtime::http_connection>(entry_.loop_);
  upstream_->Connect(
      address, std::min<base::duration>(kConnectTimeout, RemainingTime()));
  if (!entry_.dispatcher_.AcceptsRequests(granted.replica, entry_.Now()))
    return attempt_result::kBroken;
  upstream_->Send(message, RemainingTime());
  return ReadAnswer(granted);
}

std::string session::PoolKey() const {
  return service_ + '/' + head_.model;
}

bool session::CanFailOver() const {
  return route_->retryable() && attempts_sent_ < route_->max_attempts &&
         (ChoosePeer() ||
          entry_.dispatcher_.HasAlternative(service_, head_.model,
                                            tried_replicas_, entry_.Now()));
}

// @return the silence after which a second attempt may help.
base::duration session::StallTimeout() const {
  if (!route_->stream)
    return kTargetsBeforeStandby * route_->first_answer_target;
  return attempt_has_event_ ? entry_.stall_detector_.GapTimeout(
                                  *current_replica_, expected_.event_gap)
                            : entry_.stall_detector_.FirstEventTimeout(
                                  PoolKey(), expected_.first_event);
}

base::time_point session::CheckStalls() {
  const auto now = entry_.Now();
  if (awaits_standby_) {
    CheckStandby(now);
    return now;
  }
  if (!upstream_ || replica_stalled_)
    return base::time_point::max();
  if (current_peer_)
    return CheckPeer(now);
  const bool answers_whole = !route_->stream && attempt_has_head_;
  if (!current_replica_ || answers_whole)
    return base::time_point::max();
  if (route_->stream && now >= deadline_) {
    upstream_->Close();
    return base::time_point::max();
  }
  const base::duration inactivity = now - last_progress_at_;
  const base::duration timeout = StallTimeout();
  if (inactivity <= timeout)
    return std::min(last_progress_at_ + timeout, deadline_);
  if (route_->stream)
    entry_.RecordSilence(service_);
  if (!standbys_.empty()) {
    CheckStandby(now);
    return now;
  }
  if (!CanFailOver())
    return deadline_;
  // Peers may see the replica active; that doesn't help this node.
  if (!route_->stream || entry_.IsCutOff(service_)) {
    StartStandby();
    return now;
  }
  switch (entry_.stall_detector_.Evaluate(*current_replica_, timeout, now)) {
    case stall_decision::kWait:
      break;
    case stall_decision::kQueryPeers:
      entry_.QueryPeers(*current_replica_, inactivity);
      break;
    case stall_decision::kStalled:
      if (!std::exchange(stall_reported_, true))
        entry_.ReportStall(service_, *current_replica_, inactivity);
      if (FailoverHelps(inactivity))
        StartStandby();
      break;
  }
  return now;
}

// Resuming on another replica makes the pause exceed its target. While the
// pause is still within it, the replica may yet continue in time.
bool session::FailoverHelps(base::duration inactivity) const {
  return !attempt_has_event_ || inactivity > route_->event_gap_target;
}

// Ends the current attempt as stalled; only for another one that has begun to
// answer.
void session::AbandonAttempt() {
  replica_stalled_ = true;
  upstream_->Close();
}

void session::OnPeerSuspicion(const base::instance_id& replica) {
  if (!current_replica_ || *current_replica_ != replica || !upstream_ ||
      !route_->stream || replica_stalled_ || !standbys_.empty())
    return;
  const base::duration inactivity = entry_.Now() - last_progress_at_;
  if (inactivity > StallTimeout() && FailoverHelps(inactivity) && CanFailOver())
    StartStandby();
}

}  // namespace flamingoshunt::gateway
