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
    : key_(ClaimKey(request)),
      call_hash_(CallHash(request)),
      settings_(settings),
      ids_(ids),
      accepted_(accepted),
      accepted_wall_(accepted_wall) {}

base::wall_time claim_session::WallAt(base::time_point now) const {
  return accepted_wall_ + (now - accepted_);
}

claim_step claim_session::Verdict(claim_verdict verdict) {
  phase_ = phase::kIdle;
  timer_.reset();
  awaited_ = {};
  return {verdict, {}};
}

claim_step claim_session::Read(call_priority priority) {
  awaited_ = ids_.NextCall();
  awaits_read_ = true;
  store::call call;
  call.id = awaited_;
  call.op = store::operation::kGet;
  call.key = key_;
  call.priority = priority;
  call.timeout = settings_.call_timeout;
  return {claim_verdict::kPending, {std::move(call)}};
}

claim_step claim_session::Write(const claim_record& record,
                                std::optional<base::revision> expected,
                                call_priority priority) {
  awaited_ = ids_.NextCall();
  awaits_read_ = false;
  store::call call;
  call.id = awaited_;
  call.op = expected ? store::operation::kUpdate : store::operation::kCreate;
  call.key = key_;
  call.expected = expected.value_or(base::revision());
  call.value = WriteClaim(record);
  call.priority = priority;
  call.timeout = settings_.call_timeout;
  return {claim_verdict::kPending, {std::move(call)}};
}

claim_step claim_session::Pause(base::time_point now) {
  awaited_ = {};
  timer_ = now + settings_.retry_pause;
  return {};
}

claim_step claim_session::Look(base::time_point /*now*/) {
  phase_ = phase::kLooking;
  return Read(call_priority::kRequestPath);
}

claim_step claim_session::Take(base::time_point now) {
  ++takes_;
  phase_ = phase::kTaking;
  own_write_ = own_write::kPending;
  write_sent_ = now;
  record_.token = ids_.NextClaimToken();
  record_.call_hash = call_hash_;
  record_.state = claim_state::kClaimed;
  record_.created = WallAt(now);
  record_.expires = record_.created + settings_.term;
  return Write(record_, basis_, call_priority::kRequestPath);
}

const std::vector<claim_session::reply_handler>&
claim_session::ReplyHandlers() {
  static const std::vector<reply_handler> handlers = {
      nullptr,  // kIdle
      &claim_session::OnLooked, &claim_session::OnTaken,
      &claim_session::OnSettled, &claim_session::OnClosing};
  return handlers;
}

claim_step claim_session::Handle(const store::reply& reply,
                                 base::time_point now) {
  if (reply.id != awaited_ || phase_ == phase::kIdle)
    return {};
  awaited_ = {};
  const reply_handler handler =
      ReplyHandlers()[static_cast<std::size_t>(phase_)];
  return (this->*handler)(reply, now);
}

claim_step claim_session::Tick(base::time_point now) {
  if (!timer_ || now < *timer_)
    return {};
  timer_.reset();
  return Read(phase_ == phase::kClosing ? call_priority::kBackground
                                        : call_priority::kRequestPath);
}

claim_step claim_session::OnLooked(const store::reply& reply,
                                   base::time_point now) {
  if (reply.outcome == call_outcome::kNotFound)
    return Verdict(claim_verdict::kFree);
  if (reply.outcome == call_outcome::kOk && reply.current)
    return Judge(*reply.current, now);
  return Verdict(claim_verdict::kUnsettled);
}

// What a claim that is not ours says about this call.
claim_step claim_session::Judge(const store::object& object,
                                base::time_point now) {
  const auto found = ReadClaim(object.value);
  if (!found)
    return Verdict(claim_verdict::kUnknown);
  if (found->call_hash != call_hash_)
    return Verdict(claim_verdict::kOtherCall);
  switch (found->state) {
    case claim_state::kRefused:
      basis_ = object.version;
      return Verdict(claim_verdict::kFree);
    case claim_state::kDone:
      found_ = found->answer;
      return Verdict(claim_verdict::kDone);
    case claim_state::kUnknown:
      return Verdict(claim_verdict::kUnknown);
    case claim_state::kClaimed:
      break;
  }
  const bool recent = WallAt(now) < found->created + settings_.in_progress;
  return Verdict(recent ? claim_verdict::kInProgress : claim_verdict::kUnknown);
}

claim_step claim_session::OnTaken(const store::reply& reply,
                                  base::time_point now) {
  switch (reply.outcome) {
    case call_outcome::kOk:
      if (reply.current)
        return Hold(reply.current->version, now);
      break;
    case call_outcome::kConflict:
    case call_outcome::kNotFound:
      own_write_ = own_write::kNone;
      break;
    case call_outcome::kUnavailable:
    case call_outcome::kInvalid:
      own_write_ = own_write::kNone;
      return Verdict(claim_verdict::kUnsettled);
    case call_outcome::kUnknown:
      break;
  }
  phase_ = phase::kSettling;
  reads_ = 0;
  return Read(call_priority::kRequestPath);
}

// A claimer that was paused after its write does not use the claim: others may
// have told their callers meanwhile that the outcome is unknown.
claim_step claim_session::Hold(base::revision version, base::time_point now) {
  own_write_ = own_write::kApplied;
  held_ = version;
  const bool in_time = now - write_sent_ <= settings_.use_within;
  return Verdict(in_time ? claim_verdict::kOurs : claim_verdict::kUnsettled);
}

claim_step claim_session::OnSettled(const store::reply& reply,
                                    base::time_point now) {
  ++reads_;
  if (reply.outcome == call_outcome::kOk && reply.current)
    return SettleFound(*reply.current, now);
  const bool surely_not_ours = reply.outcome == call_outcome::kNotFound &&
                               own_write_ == own_write::kNone;
  return surely_not_ours ? Verdict(claim_verdict::kUnsettled)
                         : SettleLater(now);
}

claim_step claim_session::SettleFound(const store::object& object,
                                      base::time_point now) {
  const auto found = ReadClaim(object.value);
  if (found && found->token == record_.token) {
    if (found->state == claim_state::kClaimed)
      return Hold(object.version, now);
    own_write_ = own_write::kNone;
    return Verdict(claim_verdict::kUnsettled);
  }
  // The refused claim stands as before: our write may still come.
  if (own_write_ == own_write::kPending && basis_ == object.version)
    return SettleLater(now);
  own_write_ = own_write::kNone;
  const claim_step judged = Judge(object, now);
  if (judged.verdict != claim_verdict::kFree)
    return judged;
  if (takes_ >= settings_.max_takes)
    return Verdict(claim_verdict::kUnsettled);
  return Take(now);
}

claim_step claim_session::SettleLater(base::time_point now) {
  return reads_ < settings_.max_reads ? Pause(now)
                                      : Verdict(claim_verdict::kUnsettled);
}

claim_step claim_session::Close(claim_state outcome,
                                std::optional<stored_answer> answer,
                                base::time_point now) {
  if (own_write_ == own_write::kNone)
    return Verdict(claim_verdict::kClosed);
  phase_ = phase::kClosing;
  timer_.reset();
  closing_since_ = now;
  record_.state = outcome;
  record_.answer = std::move(answer);
  if (own_write_ == own_write::kApplied)
    return WriteClosing(held_);
  return Read(call_priority::kBackground);
}

claim_step claim_session::WriteClosing(std::optional<base::revision> expected) {
  return Write(record_, expected, call_priority::kBackground);
}

claim_step claim_session::OnClosing(const store::reply& reply,
                                    base::time_point now) {
  if (now - closing_since_ > settings_.closing_patience)
    return Verdict(claim_verdict::kClosed);
  return awaits_read_ ? OnClosingRead(reply, now) : OnClosingWrite(reply, now);
}

claim_step claim_session::OnClosingWrite(const store::reply& reply,
                                         base::time_point now) {
  if (reply.outcome == call_outcome::kOk ||
      reply.outcome == call_outcome::kInvalid)
    return Verdict(claim_verdict::kClosed);
  if (reply.outcome == call_outcome::kConflict ||
      reply.outcome == call_outcome::kNotFound)
    return Read(call_priority::kBackground);
  return Pause(now);
}

// Brings the claim to where our own token can no longer stand for a call that
// runs:
//
//   nothing there, our create may still come   create a refused claim; ours
//                                              then fails
//   our token, claimed                         write the outcome over it
//   the refused claim that we meant to take    write over it; ours then fails
//   anything else                              our write can no longer count
claim_step claim_session::OnClosingRead(const store::reply& reply,
                                        base::time_point now) {
  const bool may_still_come = own_write_ == own_write::kPending;
  if (reply.outcome == call_outcome::kNotFound)
    return may_still_come && !basis_ ? WriteClosing(std::nullopt)
                                     : Verdict(claim_verdict::kClosed);
  if (reply.outcome != call_outcome::kOk || !reply.current)
    return Pause(now);
  const auto found = ReadClaim(reply.current->value);
  const bool ours = found && found->token == record_.token &&
                    found->state == claim_state::kClaimed;
  const bool still_basis =
      may_still_come && basis_ && *basis_ == reply.current->version;
  if (ours || still_basis)
    return WriteClosing(reply.current->version);
  return Verdict(claim_verdict::kClosed);
}

}  // namespace flamingoshunt::delivery
