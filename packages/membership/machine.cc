#include "membership/machine.h"

#include <algorithm>

namespace flamingoshunt::membership {
namespace {

// A timer served this late means that the process was paused.
constexpr base::duration kLateWake = std::chrono::seconds(1);
constexpr base::duration kHousekeepingPeriod = std::chrono::seconds(10);
constexpr std::size_t kMaxListedClaims = 4;  // dead members probed after a list

}  // namespace

machine::machine(peer self,
                 timing times,
                 spread_budget budget,
                 base::random_engine random)
    : core_(std::move(self), times, random),
      spreader_(core_, budget),
      detector_(core_, spreader_),
      learner_(core_, spreader_, detector_),
      reconciler_(core_, learner_),
      registrar_(core_) {}

// What each request does, and its answer.
struct machine::request_handler {
  machine& owner;
  const typed_request& input;
  base::time_point now;

  void operator()(const ping& message) const {
    const std::uint64_t incarnation = owner.core_.self().incarnation;
    owner.learner_.Learn(message.carried, input.from, now);
    ack given{owner.core_.digest.whole(), {}};
    if (owner.core_.self().incarnation != incarnation)
      given.carried.members.push_back(owner.core_.self());
    const member_record* sender = owner.core_.members.Find(input.from);
    if (sender && sender->known.state != peer_state::kAlive)
      given.carried.members.push_back(sender->known);
    owner.Answer(input.handle, std::move(given));
    owner.reconciler_.OnDigest(input.from, message.digest, now);
  }

  void operator()(const indirect_ping& message) const {
    core& shared = owner.core_;
    shared.Call(message.target, ping{shared.digest.whole(), {}},
                shared.TimeoutTo(message.target), relayed_probe{input.handle},
                now);
  }

  void operator()(const gossip& message) const {
    owner.learner_.Learn(message.carried, input.from, now);
    if (message.range)
      owner.spreader_.Forward(*message.range, message.carried);
    owner.Answer(input.handle, accepted{});
  }

  void operator()(const sync& message) const {
    owner.Answer(input.handle, owner.reconciler_.OnSync(message));
  }

  void operator()(const exchange& message) const {
    owner.Answer(input.handle,
                 owner.reconciler_.OnExchange(message, input.from, now));
  }
};

// What the answer to a call means, by the reason of the call. An answer of
// another kind than was asked for counts as none.
struct machine::answer_handler {
  machine& owner;
  const pending_call& call;
  const answer& given;
  base::time_point now;

  void operator()(const direct_probe& reason) const {
    const auto* message = Expected<ack>();
    if (!message)
      return;
    owner.detector_.OnReached(reason.target);
    owner.learner_.Learn(message->carried, call.to, now);
    owner.reconciler_.OnDigest(call.to, message->digest, now);
  }

  void operator()(const helper_probe& reason) const {
    const auto* message = Expected<indirect_ack>();
    if (!message)
      return;
    owner.learner_.Learn(message->carried, call.to, now);
    if (message->reached)
      owner.detector_.OnReached(reason.target);
    else
      owner.detector_.OnHelperFailed(reason.target, now);
  }

  void operator()(const relayed_probe& reason) const {
    const auto* message = Expected<ack>();
    if (!message)
      return;
    owner.learner_.Learn(message->carried, call.to, now);
    owner.Answer(reason.handle, indirect_ack{true, message->carried});
  }

  void operator()(const gossip_call&) const { Expected<accepted>(); }

  void operator()(const sync_call& reason) const {
    if (const auto* message = Expected<sync_answer>())
      owner.reconciler_.OnSyncAnswer(call.to, *message, reason, now);
  }

  void operator()(const exchange_call& reason) const {
    if (const auto* message = Expected<exchange_answer>())
      owner.reconciler_.OnExchangeAnswer(call.to, *message, reason, now);
  }

  template <class Message>
  const Message* Expected() const {
    const auto* message = std::get_if<Message>(&given);
    if (!message)
      owner.Fail(call, now);
    return message;
  }
};

struct machine::failure_handler {
  machine& owner;
  base::time_point now;

  void operator()(const direct_probe& reason) const {
    owner.detector_.OnDirectFailed(reason.target, now);
  }
  void operator()(const helper_probe& reason) const {
    owner.detector_.OnHelperFailed(reason.target, now);
  }
  void operator()(const relayed_probe& reason) const {
    owner.Answer(reason.handle, indirect_ack{});
  }
  void operator()(const gossip_call& reason) const {
    owner.spreader_.OnFailed(reason, now);
  }
  // The next probe that shows a difference starts another reconciliation.
  void operator()(const sync_call&) const {}
  void operator()(const exchange_call&) const {}
};

machine_effects machine::Start(base::time_point now) {
  registrar_.Start(now);
  detector_.Start(now);
  next_housekeeping_ = now + kHousekeepingPeriod;
  return Finish(now);
}

machine_effects machine::Handle(const typed_request& input,
                                base::time_point now) {
  NoticeLateWake(now);
  std::visit(request_handler{*this, input, now}, input.message);
  return Finish(now);
}

machine_effects machine::Handle(const typed_call_answered& input,
                                base::time_point now) {
  NoticeLateWake(now);
  if (const auto call = core_.TakeCall(input.id))
    std::visit(answer_handler{*this, *call, input.message, now}, call->reason);
  return Finish(now);
}

machine_effects machine::Handle(const peer_call_failed& input,
                                base::time_point now) {
  NoticeLateWake(now);
  if (const auto call = core_.TakeCall(input.id))
    Fail(*call, now);
  return Finish(now);
}

machine_effects machine::Handle(const store::reply& input,
                                base::time_point now) {
  NoticeLateWake(now);
  if (const auto listed = registrar_.OnReply(input, now))
    LearnListed(*listed, now);
  return Finish(now);
}

machine_effects machine::Handle(const publish& input, base::time_point now) {
  NoticeLateWake(now);
  learner_.Publish(input, now);
  return Finish(now);
}

machine_effects machine::Handle(const leave&, base::time_point now) {
  if (core_.self().state != peer_state::kLeft) {
    detector_.Stop();
    core_.SetOwnState(peer_state::kLeft, now);
    spreader_.SpreadMember(core_.self().id);
    registrar_.Leave(now);
  }
  return Finish(now);
}

machine_effects machine::Handle(const tick&, base::time_point now) {
  NoticeLateWake(now);
  for (const pending_call& call : core_.TakeOverdue(now))
    Fail(call, now);
  detector_.OnTimer(now);
  registrar_.OnTimer(now);
  KeepHouse(now);
  return Finish(now);
}

// After a pause the silence of the others is this node's own fault.
void machine::NoticeLateWake(base::time_point now) {
  if (!expected_wake_ || now - *expected_wake_ < kLateWake)
    return;
  const base::duration late = now - *expected_wake_;
  expected_wake_ = now;
  for (const pending_call& call : core_.TakeOverdue(now)) {
    if (const auto* relayed = std::get_if<relayed_probe>(&call.reason))
      Answer(relayed->handle, indirect_ack{});
  }
  detector_.OnLateWake(late, now);
}

void machine::Fail(const pending_call& call, base::time_point now) {
  std::visit(failure_handler{*this, now}, call.reason);
}

void machine::Answer(peer_request_handle handle, answer message) {
  core_.out.answers.push_back({handle, std::move(message)});
}

void machine::LearnListed(const std::vector<peer>& listed,
                          base::time_point now) {
  std::size_t claims = 0;
  for (const peer& member : listed) {
    core_.ApplyMember(member, now);
    const member_record* known = core_.members.Find(member.id);
    if (known && known->known.state == peer_state::kDead &&
        ++claims <= kMaxListedClaims)
      detector_.ProbeWithClaim(known->known, now);
  }
  if (!announced_ && !core_.members.Live().empty()) {
    announced_ = true;
    detector_.Announce(now);
  }
}

void machine::KeepHouse(base::time_point now) {
  if (now < next_housekeeping_)
    return;
  next_housekeeping_ = now + kHousekeepingPeriod;
  core_.members.Forget(now, core_.times.dead_retention);
  core_.items.Forget(now, core_.times.orphan_retention);
}

machine_effects machine::Finish(base::time_point now) {
  for (const peer& change : core_.out.changes) {
    if (change.state == peer_state::kDead)
      registrar_.OnDead(change, now);
    if (change.id == core_.self().id && IsLive(change.state))
      registrar_.CheckOwnObject(now);
  }
  spreader_.Flush(now);
  if (core_.members_changed) {
    core_.members_changed = false;
    peers_changed& peers = core_.out.peers.emplace();
    for (const auto& [id, record] : core_.members.all()) {
      if (id != core_.self().id)
        peers.peers.push_back(record.known);
    }
    std::sort(
        peers.peers.begin(), peers.peers.end(),
        [](const peer& left, const peer& right) { return left.id < right.id; });
  }
  expected_wake_ = NextTimer();
  return std::exchange(core_.out, {});
}

std::optional<base::time_point> machine::NextTimer() const {
  std::optional<base::time_point> next = next_housekeeping_;
  for (const auto& timer : {core_.NextDeadline(), spreader_.NextTimer(),
                            detector_.NextTimer(), registrar_.NextTimer()}) {
    if (timer)
      next = std::min(*next, *timer);
  }
  return next;
}

}  // namespace flamingoshunt::membership
