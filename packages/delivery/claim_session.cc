#include "delivery/claim_session.h"

#include <utility>

namespace flamingoshunt::delivery {

using store::call_outcome;
using store::call_priority;

claim_session::claim_session(const caller::request& request,
                             const claim_settings& settings,
                             id_source& ids,
                             base::time_point accepted,
                             base::wall_time accepted_wall)
    : key_(MakeClaimKey(request)),
      call_hash_(HashCall(request)),
      settings_(settings),
      ids_(ids),
      accepted_(accepted),
      accepted_wall_(accepted_wall) {}

base::wall_time claim_session::ToWallTime(base::time_point now) const {
  return accepted_wall_ + (now - accepted_);
}

claim_step claim_session::Finish(claim_result result) {
  phase_ = phase::kIdle;
  timer_.reset();
  awaited_call_ = {};
  return {result, {}};
}

claim_step claim_session::SendRead(call_priority priority) {
  awaited_call_ = ids_.NextCallId();
  awaiting_read_ = true;
  store::call call;
  call.id = awaited_call_;
  call.op = store::operation::kGet;
  call.key = key_;
  call.priority = priority;
  call.timeout = settings_.call_timeout;
  return {claim_result::kPending, {std::move(call)}};
}

claim_step claim_session::SendWrite(const claim_record& record,
                                    std::optional<base::revision> expected,
                                    call_priority priority) {
  awaited_call_ = ids_.NextCallId();
  awaiting_read_ = false;
  store::call call;
  call.id = awaited_call_;
  call.op = expected ? store::operation::kUpdate : store::operation::kCreate;
  call.key = key_;
  call.expected = expected.value_or(base::revision());
  call.value = EncodeClaim(record);
  call.priority = priority;
  call.timeout = settings_.call_timeout;
  return {claim_result::kPending, {std::move(call)}};
}

claim_step claim_session::ScheduleRetry(base::time_point now) {
  awaited_call_ = {};
  timer_ = now + settings_.retry_pause;
  return {};
}

claim_step claim_session::CheckExisting(base::time_point /*now*/) {
  phase_ = phase::kChecking;
  return SendRead(call_priority::kRequestPath);
}

claim_step claim_session::Acquire(base::time_point now) {
  ++acquire_writes_;
  phase_ = phase::kAcquiring;
  own_write_ = own_write_state::kPending;
  write_sent_ = now;
  own_record_.token = ids_.NextClaimToken();
  own_record_.call_hash = call_hash_;
  own_record_.state = claim_state::kClaimed;
  own_record_.created = ToWallTime(now);
  own_record_.expires = own_record_.created + settings_.term;
  return SendWrite(own_record_, refused_version_, call_priority::kRequestPath);
}

const std::vector<claim_session::reply_handler>&
claim_session::ReplyHandlers() {
  static const std::vector<reply_handler> handlers = {
      nullptr,  // kIdle
      &claim_session::OnCheckReply, &claim_session::OnAcquireReply,
      &claim_session::OnResolveReply, &claim_session::OnCloseReply};
  return handlers;
}

claim_step claim_session::Handle(const store::reply& reply,
                                 base::time_point now) {
  if (reply.id != awaited_call_ || phase_ == phase::kIdle)
    return {};
  awaited_call_ = {};
  const reply_handler handler =
      ReplyHandlers()[static_cast<std::size_t>(phase_)];
  return (this->*handler)(reply, now);
}

claim_step claim_session::Tick(base::time_point now) {
  if (!timer_ || now < *timer_)
    return {};
  timer_.reset();
  return SendRead(phase_ == phase::kClosing ? call_priority::kBackground
                                            : call_priority::kRequestPath);
}

claim_step claim_session::OnCheckReply(const store::reply& reply,
                                       base::time_point now) {
  if (reply.outcome == call_outcome::kNotFound)
    return Finish(claim_result::kFree);
  if (reply.outcome == call_outcome::kOk && reply.current)
    return EvaluateExisting(*reply.current, now);
  return Finish(claim_result::kUncertain);
}

// Maps a claim that another call holds to a result for this call.
claim_step claim_session::EvaluateExisting(const store::object& object,
                                           base::time_point now) {
  const auto existing = DecodeClaim(object.value);
  if (!existing)
    return Finish(claim_result::kUnknown);
  if (existing->call_hash != call_hash_)
    return Finish(claim_result::kOtherCall);
  switch (existing->state) {
    case claim_state::kRefused:
      refused_version_ = object.version;
      return Finish(claim_result::kFree);
    case claim_state::kDone:
      earlier_answer_ = existing->answer;
      return Finish(claim_result::kDone);
    case claim_state::kUnknown:
      return Finish(claim_result::kUnknown);
    case claim_state::kClaimed:
      break;
  }
  const bool is_recent =
      ToWallTime(now) < existing->created + settings_.in_progress;
  return Finish(is_recent ? claim_result::kInProgress : claim_result::kUnknown);
}

claim_step claim_session::OnAcquireReply(const store::reply& reply,
                                         base::time_point now) {
  switch (reply.outcome) {
    case call_outcome::kOk:
      if (reply.current)
        return OnAcquired(reply.current->version, now);
      break;
    case call_outcome::kConflict:
    case call_outcome::kNotFound:
      own_write_ = own_write_state::kNone;
      break;
    case call_outcome::kUnavailable:
    case call_outcome::kInvalid:
      own_write_ = own_write_state::kNone;
      return Finish(claim_result::kUncertain);
    case call_outcome::kUnknown:
      break;
  }
  phase_ = phase::kResolving;
  resolve_reads_ = 0;
  return SendRead(call_priority::kRequestPath);
}

// A node that was paused after its write does not use the claim: other nodes
// may have reported an unknown outcome to their callers in the meantime.
claim_step claim_session::OnAcquired(base::revision version,
                                     base::time_point now) {
  own_write_ = own_write_state::kApplied;
  claim_version_ = version;
  const bool in_time = now - write_sent_ <= settings_.use_within;
  return Finish(in_time ? claim_result::kAcquired : claim_result::kUncertain);
}

claim_step claim_session::OnResolveReply(const store::reply& reply,
                                         base::time_point now) {
  ++resolve_reads_;
  if (reply.outcome == call_outcome::kOk && reply.current)
    return ResolveFromObject(*reply.current, now);
  const bool known_not_acquired = reply.outcome == call_outcome::kNotFound &&
                                  own_write_ == own_write_state::kNone;
  return known_not_acquired ? Finish(claim_result::kUncertain)
                            : RetryResolve(now);
}

claim_step claim_session::ResolveFromObject(const store::object& object,
                                            base::time_point now) {
  const auto existing = DecodeClaim(object.value);
  if (existing && existing->token == own_record_.token) {
    if (existing->state == claim_state::kClaimed)
      return OnAcquired(object.version, now);
    own_write_ = own_write_state::kNone;
    return Finish(claim_result::kUncertain);
  }
  // The refused claim is unchanged, so the pending write may still be applied.
  if (own_write_ == own_write_state::kPending &&
      refused_version_ == object.version)
    return RetryResolve(now);
  own_write_ = own_write_state::kNone;
  const claim_step evaluated = EvaluateExisting(object, now);
  if (evaluated.result != claim_result::kFree)
    return evaluated;
  if (acquire_writes_ >= settings_.max_takes)
    return Finish(claim_result::kUncertain);
  return Acquire(now);
}

claim_step claim_session::RetryResolve(base::time_point now) {
  return resolve_reads_ < settings_.max_reads
             ? ScheduleRetry(now)
             : Finish(claim_result::kUncertain);
}

claim_step claim_session::Close(claim_state outcome,
                                std::optional<stored_answer> answer,
                                base::time_point now) {
  if (own_write_ == own_write_state::kNone)
    return Finish(claim_result::kClosed);
  phase_ = phase::kClosing;
  timer_.reset();
  closing_started_ = now;
  own_record_.state = outcome;
  own_record_.answer = std::move(answer);
  if (own_write_ == own_write_state::kApplied)
    return SendClosingWrite(claim_version_);
  return SendRead(call_priority::kBackground);
}

claim_step claim_session::SendClosingWrite(
    std::optional<base::revision> expected) {
  return SendWrite(own_record_, expected, call_priority::kBackground);
}

claim_step claim_session::OnCloseReply(const store::reply& reply,
                                       base::time_point now) {
  if (now - closing_started_ > settings_.closing_timeout)
    return Finish(claim_result::kClosed);
  return awaiting_read_ ? OnCloseReadReply(reply, now)
                        : OnCloseWriteReply(reply, now);
}

claim_step claim_session::OnCloseWriteReply(const store::reply& reply,
                                            base::time_point now) {
  if (reply.outcome == call_outcome::kOk ||
      reply.outcome == call_outcome::kInvalid)
    return Finish(claim_result::kClosed);
  if (reply.outcome == call_outcome::kConflict ||
      reply.outcome == call_outcome::kNotFound)
    return SendRead(call_priority::kBackground);
  return ScheduleRetry(now);
}

// Fences off the session's own write, so that its token can no longer represent
// a running call:
//
//   no claim, create may be pending     create a refused claim; the pending
//                                       create then fails
//   own token, claimed                  overwrite it with the outcome
//   the refused claim to be replaced    overwrite it; the pending update then
//                                       fails
//   anything else                       the write can no longer take effect
claim_step claim_session::OnCloseReadReply(const store::reply& reply,
                                           base::time_point now) {
  const bool write_pending = own_write_ == own_write_state::kPending;
  if (reply.outcome == call_outcome::kNotFound)
    return write_pending && !refused_version_ ? SendClosingWrite(std::nullopt)
                                              : Finish(claim_result::kClosed);
  if (reply.outcome != call_outcome::kOk || !reply.current)
    return ScheduleRetry(now);
  const auto existing = DecodeClaim(reply.current->value);
  const bool is_own_claim = existing && existing->token == own_record_.token &&
                            existing->state == claim_state::kClaimed;
  const bool is_still_refused = write_pending && refused_version_ &&
                                *refused_version_ == reply.current->version;
  if (is_own_claim || is_still_refused)
    return SendClosingWrite(reply.current->version);
  return Finish(claim_result::kClosed);
}

}  // namespace flamingoshunt::delivery
