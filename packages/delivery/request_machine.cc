#include "delivery/request_machine.h"

#include <array>
#include <utility>

#include "base/errors.h"
#include "delivery/problems.h"

namespace flamingoshunt::delivery {
namespace {

constexpr std::size_t kStateCount = 10;

}  // namespace

request_machine::builder& request_machine::builder::WithSettings(
    const settings& settings) {
  settings_ = &settings;
  return *this;
}

request_machine::builder& request_machine::builder::WithIds(id_source& ids) {
  ids_ = &ids;
  return *this;
}

request_machine::builder& request_machine::builder::AcceptedAt(
    base::wall_time when) {
  accepted_ = when;
  return *this;
}

request_machine request_machine::builder::Build() const {
  FLAMINGOSHUNT_INVARIANT(settings_ && ids_ && accepted_,
                          "settings, ids and time of acceptance");
  return {*settings_, *ids_, *accepted_};
}

request_machine::request_machine(const settings& settings,
                                 id_source& ids,
                                 base::wall_time accepted_wall)
    : settings_(settings), ids_(ids), accepted_wall_(accepted_wall) {}

const request_machine::state_row& request_machine::HandlersFor(
    request_state state) {
  using m = request_machine;
  // clang-format off
  static const std::array<state_row, kStateCount> rows = {{
    // accepted, caller gone, timer, stopping,
    //     grant, refusal, preempt, head, chunk, end, broken, reply
    // kNew
    {&m::OnAccepted, &m::OnCallerDisconnected, nullptr, &m::OnStopping,
         nullptr, nullptr, nullptr, nullptr, nullptr, nullptr, nullptr, nullptr},
    // kCheckingClaim
    {nullptr, &m::OnCallerDisconnected, &m::OnTimer, &m::OnStoppingWhileWaiting,
         nullptr, nullptr, nullptr, nullptr, nullptr, nullptr, nullptr, &m::OnReply},
    // kWaitingForPlace
    {nullptr, &m::OnCallerDisconnected, &m::OnTimer, &m::OnStoppingWhileWaiting,
         &m::OnGrant, &m::OnRefusal, nullptr, nullptr, nullptr, nullptr, nullptr, nullptr},
    // kPausing
    {nullptr, &m::OnCallerDisconnected, &m::OnTimer, &m::OnStopping,
         &m::OnLateGrant, nullptr, nullptr, nullptr, nullptr, nullptr, nullptr, nullptr},
    // kTakingClaim
    {nullptr, &m::OnCallerDisconnected, &m::OnTimer, &m::OnStopping,
         &m::OnLateGrant, nullptr, nullptr, nullptr, nullptr, nullptr, nullptr, &m::OnReply},
    // kAwaitingHead
    {nullptr, &m::OnCallerDisconnectedWhileRunning, &m::OnTimer, &m::OnStopping,
         &m::OnStandbyGrant, &m::OnStandbyRefusal, &m::OnPreempt, &m::OnHead, &m::OnChunk, &m::OnEnd, &m::OnBroken, nullptr},
    // kAwaitingFirstToken
    {nullptr, &m::OnCallerDisconnectedWhileRunning, &m::OnTimer, &m::OnStopping,
         &m::OnStandbyGrant, &m::OnStandbyRefusal, &m::OnPreempt, &m::OnHead, &m::OnChunk, &m::OnEnd, &m::OnBroken, nullptr},
    // kStreaming
    {nullptr, &m::OnCallerDisconnectedWhileRunning, &m::OnTimer, &m::OnStopping,
         &m::OnStandbyGrant, &m::OnStandbyRefusal, &m::OnPreempt, &m::OnHead, &m::OnChunk, &m::OnEnd, &m::OnBroken, nullptr},
    // kClosingClaim
    {nullptr, nullptr, &m::OnTimer, &m::OnStopping,
         &m::OnLateGrant, nullptr, nullptr, nullptr, nullptr, nullptr, nullptr, &m::OnReply},
    // kFinished
    {nullptr, nullptr, nullptr, nullptr,
         &m::OnLateGrant, nullptr, nullptr, nullptr, nullptr, nullptr, nullptr, nullptr},
  }};
  // clang-format on
  return rows[static_cast<std::size_t>(state)];
}

effects request_machine::Handle(const input& message, base::time_point now) {
  now_ = now;
  out_.clear();
  std::visit(
      [this](const auto& typed) {
        using message_type = std::decay_t<decltype(typed)>;
        const auto handle =
            std::get<handler<message_type>>(HandlersFor(state_));
        if (handle)
          (this->*handle)(typed);
      },
      message);
  ArmTimer();
  return std::move(out_);
}

bool request_machine::IsEngine() const {
  return request_.shape != caller::call_shape::kService;
}

// Sends effects to the caller, unless it has disconnected or has been answered.
void request_machine::SendToCaller(effects pieces) {
  if (caller_is_done_)
    return;
  for (effect& piece : pieces)
    out_.push_back(std::move(piece));
}

void request_machine::OnAccepted(const request_accepted& message) {
  request_ = message.request;
  answer_ = MakeAnswerAssembler(request_, settings_.answers);
  if (stopping_) {
    Fail(NodeStopping(), routing::attempt_result::kCancelled);
    return;
  }
  if (request_.repeatable || request_.idempotency_key.empty()) {
    RequestSlot();
    return;
  }
  claim_.emplace(request_, settings_.claims, ids_, now_, accepted_wall_);
  state_ = request_state::kCheckingClaim;
  PerformClaimStep(claim_->CheckExisting(now_));
}

void request_machine::OnCallerDisconnected(
    const caller_disconnected& /*message*/) {
  caller_is_done_ = true;
  EndRequest(routing::attempt_result::kCancelled);
}

// A claimed call that was sent continues without its caller: the answer is
// stored in case the caller repeats the call.
void request_machine::OnCallerDisconnectedWhileRunning(
    const caller_disconnected& message) {
  if (claim_)
    caller_is_done_ = true;
  else
    OnCallerDisconnected(message);
}

void request_machine::OnStopping(const node_stopping& /*message*/) {
  stopping_ = true;
}

void request_machine::OnStoppingWhileWaiting(const node_stopping& /*message*/) {
  stopping_ = true;
  if (attempts_ == 0)
    Fail(NodeStopping(), routing::attempt_result::kCancelled);
}

// @return whether the request may have run, if no further attempt is started.
caller::run_outcome request_machine::Outcome() const {
  return may_have_run_ || attempt_ ? caller::run_outcome::kUnknown
                                   : caller::run_outcome::kNotRun;
}

void request_machine::Fail(const caller::problem& problem,
                           routing::attempt_result result) {
  SendToCaller({send_problem{problem}});
  caller_is_done_ = true;
  EndRequest(result);
}

// Ends the request in any state; the caller has been answered or is gone.
void request_machine::EndRequest(routing::attempt_result result) {
  const bool may_have_run = Outcome() == caller::run_outcome::kUnknown;
  if (state_ == request_state::kWaitingForSlot)
    out_.push_back(withdraw_slot_request{{request_.id}});
  CancelStandby();
  DropStandby(routing::attempt_result::kCancelled);
  CancelAttempt();
  ReleaseSlot(result);
  WithdrawStandbyRequest();
  CloseClaim(may_have_run ? claim_state::kUnknown : claim_state::kRefused,
             std::nullopt);
}

void request_machine::Complete() {
  caller_is_done_ = true;
  attempt_.reset();
  CancelStandby();
  DropStandby(routing::attempt_result::kCancelled);
  ReleaseSlot(routing::attempt_result::kCompleted);
  WithdrawStandbyRequest();
  CloseClaim(claim_state::kDone,
             answer_->MakeStoredAnswer(settings_.claims.stored_answer));
}

}  // namespace flamingoshunt::delivery
