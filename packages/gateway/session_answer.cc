// How a session takes a replica's answer, and how it ends.
#include <utility>

#include "base/milliseconds.h"
#include "gateway/session.h"
#include "telemetry/log.h"

namespace flamingoshunt::gateway {
namespace {

using std::chrono::milliseconds;

// Connections that may fail before a request is given up.
constexpr std::size_t kMaxUnsent = 4;
// Answers of earlier requests that may stand before the awaited one.
constexpr int kMaxStrayAnswers = 3;
// An answer up to this size is passed on only when it is whole, so that it can
// be taken from another replica if it breaks off.
constexpr std::size_t kBufferedAnswer = 256 * 1024;
// A caller whose request met replicas that don't take it comes back after this.
constexpr milliseconds kReturnAfterNotRun{300};
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;
constexpr int kServerErrors = 500;
constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

// Statuses that tell a caller that its request did not run.
bool PromisesNotRun(int status) {
  return status == kRequestTimeout || status == kMisdirected ||
         status == kTooManyRequests || status == kUnavailable;
}

}  // namespace

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
       {"retry_after_ms",
        retry_after ? base::WholeMilliseconds(*retry_after) : -1},
       {"held_ms", base::WholeMilliseconds(host_.Now() - arrived_)},
       {"configuration", configuration_ ? configuration_->version() : 0}});
}

void session::LogDone(std::string_view outcome, int status) {
  telemetry::LogChange(
      "gateway", "done",
      {{"request", head_.id.str()},
       {"outcome", outcome},
       {"status", status},
       {"route", route_->name},
       {"replicas", sent_},
       {"first_event_ms", base::WholeMilliseconds(first_event_)},
       {"longest_gap_ms", base::WholeMilliseconds(longest_gap_)},
       {"events", events_.last_id().value_or(0)},
       {"took_ms", base::WholeMilliseconds(host_.Now() - arrived_)}});
}

}  // namespace flamingoshunt::gateway
