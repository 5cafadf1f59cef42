#include "gateway/standby_attempt.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "gateway/attempt_bounds.h"
#include "gateway/event_splitter.h"
#include "runtime/fiber_scheduler.h"
#include "telemetry/log.h"

namespace flamingoshunt::gateway {

standby_attempt::standby_attempt(entry& owner,
                                 standby_order order,
                                 std::function<void(standby_attempt&)> settled)
    : entry_(owner),
      order_(std::move(order)),
      settled_(std::move(settled)),
      started_at_(owner.Now()) {
  if (order_.granted)
    claim_.emplace(entry_, order_.granted->ticket);
}

void standby_attempt::Start(runtime::http_request message) {
  message_ = std::move(message);
  runtime::SpawnFiber([self = shared_from_this()] { self->Run(); });
}

void standby_attempt::Cancel() {
  cancelled_ = true;
  settled_ = nullptr;
  if (connection_)
    connection_->Close();
  ReleaseSlot(false);
}

void standby_attempt::ReleaseSlot(bool complete) {
  if (claim_)
    claim_->Release(complete);
}

base::duration standby_attempt::RemainingTime() const {
  return std::max<base::duration>(order_.deadline - entry_.Now(),
                                  std::chrono::milliseconds(1));
}

void standby_attempt::Run() {
  standby_state state = standby_state::kBroken;
  try {
    state = RunSteps();
  } catch (const runtime::transport_error& error) {
    detail_ = error.what();
    closed_by_replica_ =
        error.failure() == runtime::transport_failure::kClosed ||
        error.failure() == runtime::transport_failure::kRefused;
    timed_out_ = error.failure() == runtime::transport_failure::kTimeout;
  } catch (const std::exception& error) {
    detail_ = error.what();
    telemetry::LogChange(
        "gateway", "standby_error",
        {{"request", order_.request.str()}, {"why", error.what()}},
        telemetry::log_level::kError);
  }
  Settle(state);
}

void standby_attempt::Settle(standby_state state) {
  if (cancelled_)
    return;
  state_ = state;
  if (state != standby_state::kReady)
    ReleaseSlot(false);
  if (const auto settled = std::exchange(settled_, nullptr))
    settled(*this);
}

standby_state standby_attempt::RunSteps() {
  if (cancelled_ || !Connect() || cancelled_)
    return standby_state::kNotSent;
  // An answer to another request may have said meanwhile that the replica is
  // leaving or pausing.
  if (order_.granted && !entry_.dispatcher_.AcceptsRequests(
                            order_.granted->replica, entry_.Now()))
    return standby_state::kNotSent;
  was_sent_ = true;
  sent_at_ = entry_.Now();
  if (order_.peer)
    entry_.metrics_.passed_on.Add();
  else
    entry_.metrics_.attempts.Add();
  connection_->Send(message_, RemainingTime());
  return cancelled_ ? standby_state::kBroken : ReadAnswer();
}

bool standby_attempt::Connect() {
  connection_ = std::make_unique<runtime::http_connection>(entry_.loop_);
  const std::string& address =
      order_.peer ? order_.peer->address : order_.granted->replica.address;
  try {
    connection_->Connect(
        address, std::min<base::duration>(
                     order_.peer ? kPeerConnectTimeout : kConnectTimeout,
                     RemainingTime()));
  } catch (const runtime::transport_error& error) {
    detail_ = error.what();
    connect_failed_ = true;
    if (!cancelled_ && order_.granted) {
      const target& replica = order_.granted->replica;
      entry_.RecordConnection(order_.service, replica, false);
      entry_.ReportStall(order_.service, replica.instance,
                         base::duration::zero());
    }
    return false;
  }
  if (!cancelled_ && order_.granted)
    entry_.RecordConnection(order_.service, order_.granted->replica, true);
  return true;
}

standby_state standby_attempt::ReadAnswer() {
  head_ = connection_->ReadHead(RemainingTime());
  if (cancelled_)
    return standby_state::kBroken;
  if (order_.peer && IsPeerRefusal(head_)) {
    was_sent_ = false;
    return standby_state::kNotSent;
  }
  if (order_.granted) {
    const standby_state state = ReadReplicaHead();
    if (state != standby_state::kReady)
      return state;
  }
  if (!IsSuccessStatus(head_.status) &&
      (order_.stream || head_.status >= kFirstServerErrorStatus ||
       PromisesNotRun(head_.status)))
    return standby_state::kFailed;
  return order_.stream ? ReadFirstEvent() : standby_state::kReady;
}

// @return kReady if the head is a valid one of the replica, whatever its
// status.
standby_state standby_attempt::ReadReplicaHead() {
  const target& replica = order_.granted->replica;
  const answer_head answer = entry_.protocol_.ReadAnswer(head_);
  if (answer.leaving)
    entry_.RecordLeaving(replica, order_.request);
  if (answer.pause)
    entry_.RecordPause(replica, *answer.pause, order_.request);
  entry_.RecordLimit(replica.instance, answer.rate_limit);
  if (answer.not_run)
    return standby_state::kNotRun;
  const bool is_foreign =
      !answer.request_id.empty() && answer.request_id != order_.request.str();
  const bool not_from_replica =
      answer.content_encoded ||
      (IsSuccessStatus(answer.status) && !answer.signed_body);
  return is_foreign || not_from_replica ? standby_state::kBroken
                                        : standby_state::kReady;
}

standby_state standby_attempt::ReadFirstEvent() {
  event_splitter events(order_.resume_after);
  std::size_t parsed = 0;
  while (connection_->ReadSome(first_bytes_, RemainingTime())) {
    if (cancelled_)
      return standby_state::kBroken;
    const std::string out =
        events.Append(std::string_view(first_bytes_).substr(parsed));
    parsed = first_bytes_.size();
    if (!out.empty())
      return standby_state::kReady;
    if (events.joins_runs() || events.exceeds_limit())
      return standby_state::kBroken;
  }
  // The stream had no more events than the caller already has.
  return events.has_partial_event() || !connection_->is_delimited()
             ? standby_state::kBroken
             : standby_state::kReady;
}

}  // namespace flamingoshunt::gateway
