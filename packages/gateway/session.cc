#include "gateway/session.h"

#include <algorithm>
#include <array>
#include <utility>

#include "base/milliseconds.h"
#include "telemetry/log.h"

namespace flamingoshunt::gateway {
namespace {

using std::chrono::milliseconds;

// Longest wait for a connection to a replica when another one could be taken.
constexpr milliseconds kConnectBound{400};
// Silence of an idempotent call, in parts of its aim, after which another
// replica is asked.
constexpr int kSilentAims = 2;
constexpr milliseconds kReturnWithoutConfiguration{1000};
// Callers leave a stream that shows nothing for the longest of these.
constexpr milliseconds kCallerPatience{2000};
constexpr int kPatienceInAims = 4;
constexpr int kPatienceInPauses = 8;
// A request that meets the close of an idle connection fails within this.
constexpr milliseconds kCrossing{100};
// Asked for by a stream that has begun and lost its replica.
constexpr int kResumePriority = -1;

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string_view Std(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

const char* session::NameOf(ending how) {
  constexpr std::array<const char*, 8> kNames{
      "complete", "not_run", "not_sent",    "failed",
      "broken",   "stalled", "out_of_time", "caller_left"};
  return kNames.at(static_cast<std::size_t>(how));
}

session::session(entry& host, runtime::http_exchange& exchange)
    : host_(host),
      exchange_(exchange),
      head_(host.wire_.ReadCaller(exchange.request())),
      arrived_(host.Now()),
      give_up_at_(arrived_),
      last_heard_(arrived_),
      events_(head_.resume_after) {}

void session::Run() {
  // The watch may fire once more while the answer of this request is finished.
  const auto alive = std::make_shared<bool>(true);
  exchange_.WatchCaller([this, watched = std::weak_ptr<bool>(alive)] {
    if (watched.expired())
      return;
    caller_gone_ = true;
    signal_.Notify();
    if (upstream_)
      upstream_->Close();
  });
  if (Check())
    Serve();
}

// Checks the request against the configuration in force.
// @return whether it may be served; otherwise it has its answer.
bool session::Check() {
  configuration_ = host_.view_ ? host_.view_->configuration : nullptr;
  if (!configuration_) {
    Refuse(kUnavailable, "no_configuration", kReturnWithoutConfiguration);
    return false;
  }
  const auto& request = exchange_.request();
  const auto path = PathOf(Std(request.target()));
  if (head_.id.empty()) {
    Refuse(kBadRequest, "no_request_id", std::nullopt);
    return false;
  }
  route_ = configuration_->Match(Std(request[boost::beast::http::field::host]),
                                 path);
  if (!route_) {
    Refuse(kNotFound, "no_route", std::nullopt);
    return false;
  }
  const workspace* holder = configuration_->Holder(head_.key);
  if (!holder && configuration_->needs_key() && !route_->anonymous) {
    Refuse(kUnauthorized, "unknown_key", std::nullopt);
    return false;
  }
  if (holder)
    workspace_ = holder->id;
  priority_ = holder && holder->priority ? *holder->priority : route_->priority;
  const base::duration patience = std::min<base::duration>(
      head_.patience.value_or(route_->timeout), route_->timeout);
  give_up_at_ = arrived_ + patience;
  double sum = 0;
  for (const weighted_service& each : route_->targets)
    sum += each.weight;
  double drawn = base::RandomUnit(host_.random_) * sum;
  for (const weighted_service& each : route_->targets) {
    service_ = each.service;
    drawn -= each.weight;
    if (drawn < 0)
      break;
  }
  fingerprint_ =
      crash_guard::Fingerprint(workspace_.str(), path, request.body());
  if (host_.guard_.Refuses(fingerprint_, arrived_)) {
    Refuse(kUnavailable, "crashes_replicas", std::nullopt);
    return false;
  }
  host_.budget_.NoteRequest(service_, arrived_);
  return true;
}

base::duration session::Left() const {
  return give_up_at_ - host_.Now();
}

ask session::MakeAsk() const {
  ask request;
  request.ticket = ticket_id(host_.next_ticket_++);
  request.service = service_;
  request.model = head_.model;
  request.prompt_tokens = head_.prompt_tokens;
  request.output_tokens =
      head_.expected_output_tokens > 0
          ? std::min(head_.expected_output_tokens, head_.most_output_tokens)
          : head_.most_output_tokens;
  request.priority = started_ ? kResumePriority : priority_;
  request.on_time_until = arrived_ + route_->first_answer_aim;
  request.give_up_at = give_up_at_;
  if (route_->stream) {
    const base::time_point heard = started_ ? last_event_ : arrived_;
    request.first_event_by =
        heard +
        std::max<base::duration>({kCallerPatience,
                                  kPatienceInAims * route_->first_answer_aim,
                                  kPatienceInPauses * route_->pause_aim});
  }
  request.avoid = tried_;
  return request;
}

void session::Serve() {
  while (true) {
    const auto asked_at = host_.Now();
    const ask request = MakeAsk();
    const auto place = host_.WaitForPlace(request, signal_);
    if (caller_gone_) {
      if (place.granted)
        host_.Ended(request.ticket, false);
      Finish(ending::kCallerGone);
      return;
    }
    if (!place.granted) {
      const refusal why = place.refused.value_or(refusal{});
      telemetry::LogChange(
          "gateway", "not_placed",
          {{"request", head_.id.str()},
           {"reason", gateway::NameOf(why.reason)},
           {"waiting", why.waiting},
           {"waited_ms", base::WholeMilliseconds(host_.Now() - asked_at)},
           {"sent_before", sent_}});
      if (started_ || may_have_run_ || kept_)
        Finish(ending::kBroken);
      else
        Refuse(kUnavailable, gateway::NameOf(why.reason), why.retry_after);
      return;
    }
    host_.metrics_.wait.Observe(host_.Now() - asked_at);
    const grant& granted = *place.granted;
    telemetry::LogChange(
        "gateway", "placed",
        {{"request", head_.id.str()},
         {"instance", granted.place.instance.str()},
         {"running", granted.load.running},
         {"unread_tokens", granted.load.unread},
         {"expected_first_ms",
          base::WholeMilliseconds(granted.expected.first_event)},
         {"waited_ms", base::WholeMilliseconds(host_.Now() - asked_at)},
         {"view_age_ms", base::WholeMilliseconds(host_.Now() - host_.view_at_)},
         {"configuration", configuration_->version()}});
    const ending how = Attempt(granted);
    host_.Ended(request.ticket, how == ending::kComplete);
    if (!MayGoOn(how, granted)) {
      Finish(how);
      return;
    }
  }
}

session::ending session::Attempt(const grant& granted) {
  const bool ran_before = may_have_run_;
  tried_.push_back(granted.place.instance);
  at_ = granted.place.instance;
  suspected_ = false;
  begun_ = false;
  reported_ = false;
  expected_ = granted.expected;
  events_ = event_splitter(events_.last_id());
  last_heard_ = host_.Now();
  ending how = ending::kBroken;
  std::string detail;
  try {
    how = Exchange(granted);
  } catch (const runtime::transport_error& error) {
    detail = error.what();
    how = suspected_ || error.failure() == runtime::transport_failure::kTimeout
              ? ending::kStalled
              : ending::kBroken;
  }
  at_.reset();
  if (caller_gone_)
    how = ending::kCallerGone;
  else if (how != ending::kComplete && Left() <= base::duration::zero())
    how = ending::kOutOfTime;
  if (how == ending::kNotRun || how == ending::kNotSent)
    may_have_run_ = ran_before;
  if (upstream_) {
    host_.pool_.Return(std::move(upstream_));
    upstream_.reset();
  }
  // Whether the replica crashed isn't known yet; a request that this happens to
  // at three of them is stopped.
  if (may_have_run_ && (how == ending::kBroken || how == ending::kStalled))
    host_.ReportCrash({fingerprint_, granted.place.instance});
  // A head that takes nothing new may have lost a member.
  if (how == ending::kNotRun && route_->stream)
    host_.ReportRefusal(granted.place.instance);
  if (how != ending::kComplete)
    telemetry::LogChange(
        "gateway", "attempt_ended",
        {{"request", head_.id.str()},
         {"instance", granted.place.instance.str()},
         {"how", NameOf(how)},
         {"silent_ms", base::WholeMilliseconds(host_.Now() - last_heard_)},
         {"left_ms", base::WholeMilliseconds(Left())},
         {"events", events_.events()},
         {"detail", detail}});
  return how;
}

session::ending session::Exchange(const grant& granted) {
  const std::string& address = granted.place.address;
  if (route_->repeatable())
    upstream_ = host_.pool_.TakeIdle(address);
  const bool pooled = upstream_ != nullptr;
  if (!upstream_) {
    upstream_ = std::make_unique<runtime::http_connection>(host_.loop_);
    try {
      upstream_->Connect(address,
                         std::min<base::duration>(kConnectBound, Left()));
    } catch (const runtime::transport_error&) {
      if (!caller_gone_)
        host_.ReportStall(granted.place.instance, base::duration::zero());
      return ending::kNotSent;
    }
  }
  if (caller_gone_ || Left() <= base::duration::zero())
    return ending::kNotSent;
  attempt_head attempt;
  attempt.instance = granted.place.instance;
  attempt.workspace = workspace_;
  attempt.patience = Left();
  attempt.resume_after = events_.last_id();
  auto message = host_.wire_.WriteAttempt(exchange_.request(), attempt);
  ++sent_;
  may_have_run_ = true;
  host_.metrics_.attempts.Add();
  last_heard_ = host_.Now();
  try {
    upstream_->Send(message, Left());
    return TakeAnswer(granted);
  } catch (const runtime::transport_error& error) {
    // The replica closed an idle connection while the request was on its way;
    // a request that may run again gets one of its own.
    const bool crossed =
        pooled && !started_ && !caller_gone_ && !suspected_ &&
        error.failure() == runtime::transport_failure::kClosed &&
        host_.Now() - last_heard_ < kCrossing &&
        host_.budget_.TryRepeat(service_, host_.Now());
    if (!crossed)
      throw;
  }
  upstream_ = std::make_unique<runtime::http_connection>(host_.loop_);
  upstream_->Connect(address, std::min<base::duration>(kConnectBound, Left()));
  upstream_->Send(message, Left());
  return TakeAnswer(granted);
}

std::string session::Pool() const {
  return service_ + '/' + head_.model;
}

bool session::OthersCouldTakeOver() const {
  return route_->repeatable() && sent_ < route_->max_attempts &&
         host_.dispatcher_.HasAlternative(service_, head_.model, tried_,
                                          host_.Now());
}

// How long the head of an answer may take. Streams are watched by their
// silence instead.
base::duration session::AnswerBound() const {
  const base::duration left = std::max<base::duration>(Left(), milliseconds(1));
  if (route_->stream || !OthersCouldTakeOver())
    return left;
  return std::min<base::duration>(left, kSilentAims * route_->first_answer_aim);
}

base::duration session::SilenceBound() const {
  return begun_ ? host_.stalls_.GapBound(*at_, expected_.event_gap)
                : host_.stalls_.FirstEventBound(Pool(), expected_.first_event);
}

base::time_point session::CheckSilence() {
  const auto now = host_.Now();
  if (!at_ || !upstream_ || !route_->stream || suspected_)
    return base::time_point::max();
  if (now >= give_up_at_) {
    upstream_->Close();
    return base::time_point::max();
  }
  const base::duration silence = now - last_heard_;
  const base::duration bound = SilenceBound();
  if (silence <= bound)
    return std::min(last_heard_ + bound, give_up_at_);
  if (!OthersCouldTakeOver())
    return give_up_at_;
  switch (host_.stalls_.Judge(*at_, bound, now)) {
    case silence_verdict::kWait:
      break;
    case silence_verdict::kAsk:
      host_.AskPeers(*at_, silence);
      break;
    case silence_verdict::kStalled:
      if (!std::exchange(reported_, true))
        host_.ReportStall(*at_, silence);
      if (MovingHelps(silence))
        MoveOn();
      break;
  }
  return now;
}

// A stream that goes elsewhere has a pause beyond its aim. Until the silence is
// as long as that, the replica may still come back in time.
bool session::MovingHelps(base::duration silence) const {
  return !begun_ || silence > route_->pause_aim;
}

// Ends the current attempt as stalled.
void session::MoveOn() {
  suspected_ = true;
  upstream_->Close();
}

void session::PeerSuspects(const base::instance_id& replica) {
  if (!at_ || *at_ != replica || !upstream_ || !route_->stream || suspected_)
    return;
  const base::duration silent = host_.Now() - last_heard_;
  if (silent > SilenceBound() && MovingHelps(silent) && OthersCouldTakeOver())
    MoveOn();
}

}  // namespace flamingoshunt::gateway
