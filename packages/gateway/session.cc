#include "gateway/session.h"

#include <algorithm>
#include <array>
#include <utility>

#include "telemetry/log.h"

namespace flamingoshunt::gateway {
namespace {

using std::chrono::milliseconds;

// Longest wait for a connection to a replica when another one could be taken.
constexpr milliseconds kConnectBound{400};
// Connections that may fail before a request is given up.
constexpr std::size_t kMaxUnsent = 4;
// Answers of earlier requests that may stand before the awaited one.
constexpr int kMaxStrayAnswers = 3;
// An answer up to this size is passed on only when it is whole, so that it can
// be taken from another replica if it breaks off.
constexpr std::size_t kBufferedAnswer = 256 * 1024;
// Silence of an idempotent call, in parts of its aim, after which another
// replica is asked.
constexpr int kSilentAims = 2;
// A caller whose request met replicas that don't take it comes back after this.
constexpr milliseconds kReturnAfterNotRun{300};
constexpr milliseconds kReturnWithoutConfiguration{1000};
// A request that meets the close of an idle connection fails within this.
constexpr milliseconds kCrossing{100};
// Asked for by a stream that has begun and lost its replica.
constexpr int kResumePriority = -1;

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kServerErrors = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

// Statuses that tell a caller that its request did not run.
bool PromisesNotRun(int status) {
  return status == kRequestTimeout || status == kMisdirected ||
         status == kTooManyRequests || status == kUnavailable;
}

std::int64_t Ms(base::duration length) {
  return std::chrono::duration_cast<milliseconds>(length).count();
}

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
      telemetry::LogChange("gateway", "not_placed",
                           {{"request", head_.id.str()},
                            {"reason", gateway::NameOf(why.reason)},
                            {"waiting", why.waiting},
                            {"waited_ms", Ms(host_.Now() - asked_at)},
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
         {"expected_first_ms", Ms(granted.expected.first_event)},
         {"waited_ms", Ms(host_.Now() - asked_at)},
         {"view_age_ms", Ms(host_.Now() - host_.view_at_)},
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
  // A head that takes nothing new may have lost a member.
  if (how == ending::kNotRun && route_->stream)
    host_.ReportRefusal(granted.place.instance);
  if (how != ending::kComplete)
    telemetry::LogChange("gateway", "attempt_ended",
                         {{"request", head_.id.str()},
                          {"instance", granted.place.instance.str()},
                          {"how", NameOf(how)},
                          {"silent_ms", Ms(host_.Now() - last_heard_)},
                          {"left_ms", Ms(Left())},
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

session::ending session::TakeAnswer(const grant& granted) {
  for (int stray = 0; stray <= kMaxStrayAnswers; ++stray) {
    const auto head = upstream_->ReadHead(AnswerBound());
    const answer_head answer = host_.wire_.ReadAnswer(head);
    if (!answer.request_id.empty() && answer.request_id != head_.id.str()) {
      // Left over from an earlier request on this connection.
      std::string dropped;
      while (upstream_->ReadSome(dropped, Left())) {
      }
      upstream_->ExpectAnother();
      continue;
    }
    if (answer.not_run) {
      std::string dropped;
      while (upstream_->ReadSome(dropped, Left())) {
      }
      return ending::kNotRun;
    }
    const bool foreign = answer.foreign_coding ||
                         (IsSuccess(answer.status) && !answer.signed_body);
    if (foreign) {
      upstream_->Close();
      return ending::kBroken;
    }
    if (route_->stream && IsSuccess(answer.status))
      return RelayEvents(granted, head);
    // The caller has a part of a stream already; nothing else may follow it.
    if (started_)
      return ending::kFailed;
    return BufferAnswer(head);
  }
  upstream_->Close();
  return ending::kBroken;
}

session::ending session::RelayEvents(const grant& granted,
                                     const runtime::http_response_head& head) {
  const base::instance_id& replica = granted.place.instance;
  const bool resumed = started_;
  std::string bytes;
  // CheckSilence ends the reading when the time is over.
  while (upstream_->ReadSome(bytes, runtime::kNoTimeout)) {
    const std::string out = events_.Feed(bytes);
    bytes.clear();
    if (out.empty()) {
      if (events_.gap())
        break;
      continue;
    }
    const auto now = host_.Now();
    if (begun_) {
      host_.stalls_.NoteGap(replica, now - last_heard_);
      host_.metrics_.event_gap.Observe(now - last_heard_);
      longest_gap_ = std::max(longest_gap_, now - last_heard_);
    } else {
      host_.stalls_.NoteFirstEvent(Pool(), granted.expected.first_event,
                                   now - last_heard_);
      if (resumed)
        longest_gap_ = std::max(longest_gap_, now - last_event_);
      host_.dispatcher_.Started(granted.ticket);
      if (resumed)
        host_.metrics_.resumed.Add();
    }
    host_.HeardFrom(replica);
    begun_ = true;
    reported_ = false;
    last_heard_ = now;
    last_event_ = now;
    if (!started_) {
      host_.metrics_.first_event.Observe(now - arrived_);
      first_event_ = now - arrived_;
      started_ = true;
      exchange_.StartStream(head.status, head.content_type,
                            host_.wire_.ForwardedFields(head));
    }
    if (!exchange_.Write(out)) {
      caller_gone_ = true;
      upstream_->Close();
      return ending::kCallerGone;
    }
    if (events_.gap())
      break;
  }
  if (events_.gap() || events_.partial()) {
    upstream_->Close();
    return ending::kBroken;
  }
  if (!started_) {
    started_ = true;
    exchange_.StartStream(head.status, head.content_type,
                          host_.wire_.ForwardedFields(head));
  }
  exchange_.EndStream();
  return ending::kComplete;
}

session::ending session::BufferAnswer(const runtime::http_response_head& head) {
  std::string body;
  while (upstream_->ReadSome(
      body, std::max<base::duration>(Left(), milliseconds(1)))) {
    if (body.size() > kBufferedAnswer && IsSuccess(head.status))
      return RelayLarge(head, std::move(body));
  }
  if (head.status < kServerErrors && !PromisesNotRun(head.status)) {
    exchange_.SendWhole(head.status, head.content_type, std::move(body),
                        host_.wire_.ForwardedFields(head));
    status_ = head.status;
    return ending::kComplete;
  }
  // A status that promises "not run" without the replica's word for it must not
  // reach the caller of a request that runs once.
  if (PromisesNotRun(head.status) && !route_->repeatable())
    return ending::kBroken;
  kept_ = kept_answer{head, std::move(body)};
  return ending::kFailed;
}

session::ending session::RelayLarge(const runtime::http_response_head& head,
                                    std::string first) {
  started_ = true;
  exchange_.StartStream(head.status, head.content_type,
                        host_.wire_.ForwardedFields(head));
  std::string bytes = std::move(first);
  do {
    if (!exchange_.Write(bytes)) {
      caller_gone_ = true;
      return ending::kCallerGone;
    }
    bytes.clear();
  } while (upstream_->ReadSome(
      bytes, std::max<base::duration>(Left(), milliseconds(1))));
  exchange_.EndStream();
  return ending::kComplete;
}

bool session::MayGoOn(ending how, const grant&) {
  const bool over = how == ending::kComplete || how == ending::kCallerGone ||
                    how == ending::kOutOfTime;
  if (over || Left() <= base::duration::zero())
    return false;
  if (how == ending::kNotSent)
    return tried_.size() <= kMaxUnsent;
  if (how != ending::kNotRun && !route_->repeatable())
    return false;
  // A large answer that broke off can't be continued.
  if (started_ && !route_->stream)
    return false;
  return sent_ < route_->max_attempts &&
         host_.budget_.TryRepeat(service_, host_.Now());
}

void session::Finish(ending how) {
  if (how == ending::kComplete) {
    host_.metrics_.complete.Add();
    host_.metrics_.whole.Observe(host_.Now() - arrived_);
    LogDone("complete", status_);
  } else if (how == ending::kCallerGone) {
    exchange_.Abort();
    host_.metrics_.left.Add();
    LogDone("caller_left", 0);
  } else if (started_) {
    exchange_.Abort();
    host_.metrics_.failed.Add();
    LogDone("broken_off", 0);
  } else if (kept_) {
    SendKept();
  } else if (!may_have_run_) {
    Refuse(kUnavailable, NameOf(how), kReturnAfterNotRun);
  } else {
    GiveUp(how);
  }
}

void session::SendKept() {
  const int status = kept_->head.status;
  exchange_.SendWhole(status, kept_->head.content_type, std::move(kept_->body),
                      host_.wire_.ForwardedFields(kept_->head));
  host_.metrics_.failed.Add();
  LogDone("replica_failed", status);
}

void session::GiveUp(ending how) {
  const bool late = how == ending::kOutOfTime || how == ending::kStalled;
  const int status = late ? kGatewayTimeout : kBadGateway;
  exchange_.SendWhole(
      status, "application/problem+json",
      std::string(R"({"type":")") + NameOf(how) + R"(","outcome":"unknown"})",
      host_.wire_.OwnFields(head_.id, std::nullopt));
  host_.metrics_.failed.Add();
  LogDone(NameOf(how), status);
}

void session::Refuse(int status,
                     std::string_view reason,
                     std::optional<base::duration> retry_after) {
  exchange_.SendWhole(
      status, "application/problem+json",
      R"({"type":")" + std::string(reason) + R"(","outcome":"not_run"})",
      host_.wire_.OwnFields(head_.id, retry_after));
  if (status == kUnavailable)
    host_.metrics_.refused.Add();
  else
    host_.metrics_.rejected.Add();
  telemetry::LogChange(
      "gateway", "refused",
      {{"request", head_.id.str()},
       {"status", status},
       {"reason", reason},
       {"retry_after_ms", retry_after ? Ms(*retry_after) : -1},
       {"held_ms", Ms(host_.Now() - arrived_)},
       {"configuration", configuration_ ? configuration_->version() : 0}});
}

void session::LogDone(std::string_view outcome, int status) {
  telemetry::LogChange("gateway", "done",
                       {{"request", head_.id.str()},
                        {"outcome", outcome},
                        {"status", status},
                        {"route", route_->name},
                        {"replicas", sent_},
                        {"first_event_ms", Ms(first_event_)},
                        {"longest_gap_ms", Ms(longest_gap_)},
                        {"events", events_.last_id().value_or(0)},
                        {"took_ms", Ms(host_.Now() - arrived_)}});
}

void session::PeerSuspects(const base::instance_id& replica) {
  if (!at_ || *at_ != replica || !upstream_ || !route_->stream || suspected_)
    return;
  const base::duration silent = host_.Now() - last_heard_;
  if (silent > SilenceBound() && MovingHelps(silent) && OthersCouldTakeOver())
    MoveOn();
}

}  // namespace flamingoshunt::gateway
