// Reads and forwards a replica's answer, and ends the session.
#include <algorithm>
#include <array>
#include <utility>

#include "base/milliseconds.h"
#include "gateway/attempt_bounds.h"
#include "gateway/session.h"
#include "telemetry/log.h"

namespace flamingoshunt::gateway {
namespace {

using std::chrono::milliseconds;

// Answers to earlier requests on the connection that are skipped.
constexpr int kMaxStrayAnswers = 3;
// An answer up to this size is forwarded only when complete, so that the
// request can be retried on another replica if it is cut off.
constexpr std::size_t kMaxBufferedAnswerBytes = 256 * 1024;
// An answer that there is no memory for keeps its replica busy until its caller
// has taken it; one that takes nothing for so long is given up.
constexpr milliseconds kUnbufferedWriteTimeout{2000};
constexpr std::size_t kRelayedBytes = 16 * 1024;  // at once
// A body that isn't forwarded is read up to this size and for this long, so
// that its connection can be used again.
constexpr std::size_t kMaxDiscardedBytes = 64 * 1024;
constexpr milliseconds kDiscardTimeout{50};
// Retry-After when every replica tried refused the request.
constexpr milliseconds kNotRunRetryAfter{300};
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;
constexpr int kUnavailable = 503;

// @return whether another node may serve what this one refuses for @p reason.
bool ConcernsThisNode(std::string_view reason) {
  constexpr std::array<std::string_view, 4> kReasons{
      "no_configuration", "older_configuration", "cut_off", "not_sent"};
  return std::find(kReasons.begin(), kReasons.end(), reason) != kReasons.end();
}

}  // namespace

// An answer that belongs to an earlier request on the connection. It may also
// be a late copy that names no request; of the answers to this one, only those
// that reject it come without its id.
bool session::IsStray(const answer_head& answer) const {
  if (answer.request_id.empty())
    return connection_was_used_ && !answer.not_run;
  return answer.request_id != head_.id.str();
}

session::attempt_result session::ReadAnswer(const grant& granted) {
  for (int stray = 0; stray <= kMaxStrayAnswers; ++stray) {
    const auto head = upstream_->ReadHead(
        std::max<base::duration>(RemainingTime(), milliseconds(1)));
    attempt_has_head_ = true;
    const answer_head answer = entry_.protocol_.ReadAnswer(head);
    if (answer.leaving)
      entry_.RecordLeaving(granted.replica, head_.id);
    if (answer.pause)
      entry_.RecordPause(granted.replica, *answer.pause, head_.id);
    if (IsStray(answer)) {
      std::string discarded;
      upstream_->ReadRest(
          discarded, kMaxDiscardedBytes,
          std::max<base::duration>(RemainingTime(), milliseconds(1)));
      upstream_->ExpectAnother();
      continue;
    }
    rate_limit_ = answer.rate_limit;
    entry_.RecordLimit(granted.replica.instance, answer.rate_limit);
    if (answer.not_run) {
      DiscardBody();
      return attempt_result::kNotRun;
    }
    const bool not_from_replica =
        answer.content_encoded ||
        (IsSuccessStatus(answer.status) && !answer.signed_body);
    if (not_from_replica) {
      upstream_->Close();
      return attempt_result::kBroken;
    }
    if (route_->stream && IsSuccessStatus(answer.status))
      return RelayEvents(&granted, head);
    // The caller has part of a stream; only its continuation may follow.
    if (response_started_)
      return attempt_result::kFailed;
    if (head.status < kFirstServerErrorStatus && !PromisesNotRun(head.status))
      KeepAttempt();
    return BufferAnswer(head);
  }
  upstream_->Close();
  return attempt_result::kBroken;
}

// Reads a body that isn't needed, so that its connection can be used again. If
// the body doesn't end soon, the connection is closed instead.
void session::DiscardBody() {
  try {
    std::string discarded;
    upstream_->ReadRest(discarded, kMaxDiscardedBytes, kDiscardTimeout);
  } catch (const runtime::transport_error&) {
    // The connection is closed, and the head stays valid.
  }
}

// Reads more of the answer's body, until the deadline at most.
bool session::ReadMore(std::string& out) {
  const base::duration remaining = RemainingTime();
  if (remaining <= base::duration::zero()) {
    upstream_->Close();
    throw runtime::transport_error(runtime::transport_failure::kTimeout,
                                   "the answer did not end by the deadline");
  }
  return upstream_->ReadSome(out, remaining);
}

// Records an event of the replica that serves @p granted.
void session::RecordEvent(const grant& granted, base::time_point now) {
  const base::instance_id& replica = granted.replica.instance;
  if (attempt_has_event_) {
    entry_.stall_detector_.RecordGap(replica, now - last_progress_at_);
  } else {
    entry_.stall_detector_.RecordFirstEvent(
        PoolKey(), granted.expected.first_event, now - last_progress_at_);
    entry_.dispatcher_.OnFirstEvent(granted.ticket);
    entry_.metrics_.errors_of_estimates.RecordFirstEvent(
        granted.replica.model, granted.expected.first_event,
        now - last_progress_at_);
  }
  entry_.dispatcher_.OnEvents(granted.ticket, splitter_.event_count(), now);
  entry_.RecordActivity(replica);
  if (!attempt_has_event_)
    entry_.RecordAnsweredParts(head_.shared_prompt_parts);
}

session::attempt_result session::RelayEvents(
    const grant* granted,
    const runtime::http_response_head& head,
    std::string bytes) {
  const bool resumed = response_started_;
  // CheckStalls closes the connection at the deadline.
  while (!bytes.empty() || upstream_->ReadSome(bytes, runtime::kNoTimeout)) {
    // Another attempt resumes after the last event; these bytes were read
    // before this one was abandoned.
    if (replica_stalled_)
      throw runtime::transport_error(runtime::transport_failure::kClosed,
                                     upstream_->address() + ": abandoned");
    const std::string out = splitter_.Append(bytes);
    bytes.clear();
    if (out.empty()) {
      if (splitter_.joins_runs() || splitter_.exceeds_limit())
        break;
      continue;
    }
    KeepAttempt();
    const auto now = entry_.Now();
    if (granted)
      RecordEvent(*granted, now);
    if (attempt_has_event_) {
      entry_.metrics_.event_gap.Observe(now - last_progress_at_);
      longest_gap_ = std::max(longest_gap_, now - last_progress_at_);
    } else if (resumed) {
      longest_gap_ = std::max(longest_gap_, now - last_event_at_);
      entry_.metrics_.resumed.Add();
    }
    attempt_has_event_ = true;
    stall_reported_ = false;
    last_progress_at_ = now;
    last_event_at_ = now;
    if (!response_started_) {
      entry_.metrics_.first_event.Observe(now - arrived_at_);
      first_event_delay_ = now - arrived_at_;
      response_started_ = true;
      exchange_.StartStream(head.status, head.content_type,
                            entry_.protocol_.ForwardedFields(head));
    }
    if (!exchange_.Write(out)) {
      caller_gone_ = true;
      upstream_->Close();
      return attempt_result::kCallerGone;
    }
    if (splitter_.joins_runs())
      break;
  }
  if (splitter_.joins_runs() || splitter_.has_partial_event()) {
    upstream_->Close();
    return attempt_result::kBroken;
  }
  const bool empty = !attempt_has_event_ && !splitter_.last_id();
  if (empty && !upstream_->is_delimited())
    throw runtime::transport_error(
        runtime::transport_failure::kClosed,
        upstream_->address() + ": the stream ended before its first event");
  if (!response_started_) {
    response_started_ = true;
    exchange_.StartStream(head.status, head.content_type,
                          entry_.protocol_.ForwardedFields(head));
  }
  exchange_.EndStream();
  return attempt_result::kComplete;
}

session::attempt_result session::BufferAnswer(
    const runtime::http_response_head& head) {
  std::string body;
  while (ReadMore(body)) {
    const bool has_room = exchange_.HoldAnswer(body.size());
    if (body.size() <= kMaxBufferedAnswerBytes &&
        (has_room || !IsSuccessStatus(head.status)))
      continue;
    if (IsSuccessStatus(head.status)) {
      if (!has_room)
        exchange_.BoundWrites(kUnbufferedWriteTimeout);
      return RelayLarge(head, std::move(body));
    }
    upstream_->Close();
    return attempt_result::kBroken;
  }
  if (head.status < kFirstServerErrorStatus && !PromisesNotRun(head.status)) {
    exchange_.SendWhole(head.status, head.content_type, std::move(body),
                        entry_.protocol_.ForwardedFields(head));
    status_ = head.status;
    return attempt_result::kComplete;
  }
  // A status that means "not executed" must not reach the caller of a
  // non-idempotent request unless the replica confirmed it.
  if (PromisesNotRun(head.status) && !route_->retryable())
    return attempt_result::kBroken;
  stored_failure_ = stored_answer{head, std::move(body)};
  return attempt_result::kFailed;
}

// Forwards what a peer answers; it has settled what the status promises.
session::attempt_result session::PassWhole(
    const runtime::http_response_head& head) {
  std::string body;
  while (ReadMore(body)) {
    const bool has_room = exchange_.HoldAnswer(body.size());
    if (!has_room)
      exchange_.BoundWrites(kUnbufferedWriteTimeout);
    if (body.size() > kMaxBufferedAnswerBytes || !has_room)
      return RelayLarge(head, std::move(body));
  }
  exchange_.SendWhole(head.status, head.content_type, std::move(body),
                      entry_.protocol_.ForwardedFields(head));
  status_ = head.status;
  return attempt_result::kComplete;
}

session::attempt_result session::RelayLarge(
    const runtime::http_response_head& head,
    std::string first) {
  response_started_ = true;
  exchange_.StartStream(head.status, head.content_type,
                        entry_.protocol_.ForwardedFields(head));
  std::string bytes = std::move(first);
  do {
    for (std::string_view rest = bytes; !rest.empty();
         rest.remove_prefix(std::min(kRelayedBytes, rest.size()))) {
      if (!exchange_.Write(rest.substr(0, kRelayedBytes))) {
        caller_gone_ = true;
        return attempt_result::kCallerGone;
      }
    }
    // Releases the first bytes; the next ones are few.
    bytes = std::string();
    exchange_.HoldAnswer(0);
  } while (ReadMore(bytes));
  exchange_.EndStream();
  return attempt_result::kComplete;
}

bool session::MayRetry(attempt_result result) {
  const bool finished = result == attempt_result::kComplete ||
                        result == attempt_result::kCallerGone ||
                        result == attempt_result::kDeadlineExceeded;
  if (finished)
    return false;
  if (RemainingTime() <= base::duration::zero()) {
    LogNotRetried(result, "no_time");
    return false;
  }
  if (result == attempt_result::kNotSent) {
    const bool may_connect = tried_replicas_.size() <= kMaxFailedConnections;
    if (!may_connect)
      LogNotRetried(result, "failed_connections");
    return may_connect;
  }
  // A large answer that was cut off can't be resumed.
  const bool is_cut_whole_answer = response_started_ && !route_->stream;
  if (is_cut_whole_answer ||
      (result != attempt_result::kNotRun && !route_->retryable())) {
    LogNotRetried(result, "not_retryable");
    return false;
  }
  // A rejection ran nothing, and refusing would break off a stream that has
  // begun. Other requests are refused once their attempts are used up.
  const bool rejected_resume =
      result == attempt_result::kNotRun && response_started_;
  if (!rejected_resume && attempts_sent_ >= route_->max_attempts) {
    LogNotRetried(result, "attempts_used_up");
    return false;
  }
  if (!entry_.retry_budget_.TryRetry(service_, entry_.Now())) {
    LogNotRetried(result, "budget_used_up");
    return false;
  }
  return true;
}

void session::LogNotRetried(attempt_result result, std::string_view reason) {
  const retry_usage usage = entry_.retry_budget_.Usage(service_, entry_.Now());
  telemetry::LogChange("gateway", "not_retried",
                       {{"request", head_.id.str()},
                        {"after", NameOf(result)},
                        {"reason", reason},
                        {"attempts", attempts_sent_},
                        {"max_attempts", route_->max_attempts},
                        {"tried_replicas", tried_replicas_.size()},
                        {"service_requests", usage.requests},
                        {"service_retries", usage.retries},
                        {"service_retries_allowed", usage.allowed},
                        {"left_ms", base::WholeMilliseconds(RemainingTime())}});
}

void session::Finish(attempt_result result) {
  DropStandbys("request_ended");
  if (result == attempt_result::kComplete && PromisesNotRun(status_)) {
    entry_.metrics_.refused.Add();
    CountOutcome(request_outcome::kRefused);
    LogDone("refused_by_peer", status_);
  } else if (result == attempt_result::kComplete) {
    entry_.metrics_.complete.Add();
    entry_.metrics_.request_duration.Observe(entry_.Now() - arrived_at_);
    CountOutcome(IsOnTime() ? request_outcome::kOnTime
                            : request_outcome::kLate);
    LogDone("complete", status_);
  } else if (result == attempt_result::kCallerGone) {
    exchange_.Abort();
    entry_.metrics_.callers_gone.Add();
    LogDone("caller_left", 0);
  } else if (response_started_) {
    exchange_.Abort();
    entry_.metrics_.failed.Add();
    LogDone("broken_off", 0);
  } else if (stored_failure_) {
    SendStoredFailure();
  } else if (!may_have_run_) {
    RefuseNotRun(result);
  } else {
    SendOutcomeUnknown(result);
  }
}

void session::RefuseNotRun(attempt_result result) {
  const auto now = entry_.Now();
  const auto pause_end =
      entry_.dispatcher_.FirstPauseEnd(service_, head_.model, now);
  if (pause_end)
    Refuse(kUnavailable, gateway::NameOf(refusal_reason::kPaused),
           *pause_end - now);
  else
    Refuse(kUnavailable, NameOf(result), kNotRunRetryAfter);
}

void session::SendStoredFailure() {
  const int status = stored_failure_->head.status;
  exchange_.SendWhole(status, stored_failure_->head.content_type,
                      std::move(stored_failure_->body),
                      entry_.protocol_.ForwardedFields(stored_failure_->head));
  entry_.metrics_.failed.Add();
  LogDone("replica_failed", status);
}

void session::SendOutcomeUnknown(attempt_result result) {
  const bool timed_out = result == attempt_result::kDeadlineExceeded ||
                         result == attempt_result::kStalled;
  const int status = timed_out ? kGatewayTimeout : kBadGateway;
  exchange_.SendWhole(
      status, "application/problem+json",
      std::string(R"({"type":")") + NameOf(result) +
          R"(","outcome":"unknown"})",
      entry_.protocol_.GatewayAnswerFields(head_.id, std::nullopt));
  entry_.metrics_.failed.Add();
  LogDone(NameOf(result), status);
}

void session::Refuse(int status,
                     std::string_view reason,
                     std::optional<base::duration> retry_after) {
  auto fields = entry_.protocol_.GatewayAnswerFields(head_.id, retry_after);
  if (passed_ && (ConcernsThisNode(reason) || failed_connections_ > 0))
    fields.emplace_back(kPeerRefusal, reason);
  exchange_.SendWhole(
      status, "application/problem+json",
      R"({"type":")" + std::string(reason) + R"(","outcome":"not_run"})",
      fields);
  if (status == kUnavailable) {
    entry_.metrics_.refused.Add();
    CountOutcome(request_outcome::kRefused);
  } else {
    entry_.metrics_.rejected.Add();
  }
  telemetry::LogChange(
      "gateway", "refused",
      {{"request", head_.id.str()},
       {"status", status},
       {"reason", reason},
       {"retry_after_ms",
        retry_after ? base::WholeMilliseconds(*retry_after) : -1},
       {"held_ms", base::WholeMilliseconds(entry_.Now() - arrived_at_)},
       {"configuration", configuration_ ? configuration_->version() : 0}});
}

bool session::IsOnTime() const {
  const base::duration first_answer =
      route_->stream ? first_event_delay_ : entry_.Now() - arrived_at_;
  return first_answer <= route_->first_answer_target &&
         longest_gap_ <= route_->event_gap_target;
}

// The callers' own node counts; a peer that took a request over doesn't.
void session::CountOutcome(request_outcome outcome) {
  if (!passed_ && route_)
    entry_.metrics_.outcomes.Count(outcome, route_->name, workspace_.str());
}

void session::LogDone(std::string_view outcome, int status) {
  telemetry::LogChange(
      "gateway", "done",
      {{"request", head_.id.str()},
       {"outcome", outcome},
       {"status", status},
       {"route", route_->name},
       {"replicas", attempts_sent_},
       {"first_event_ms", base::WholeMilliseconds(first_event_delay_)},
       {"longest_gap_ms", base::WholeMilliseconds(longest_gap_)},
       {"events", splitter_.last_id().value_or(0)},
       {"rate_limit", rate_limit_.value_or(-1)},
       {"took_ms", base::WholeMilliseconds(entry_.Now() - arrived_at_)}});
}

}  // namespace flamingoshunt::gateway
