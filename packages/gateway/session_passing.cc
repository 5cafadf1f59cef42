// Passes a request to a peer when this node reaches no replica.
#include <algorithm>
#include <utility>

#include "base/milliseconds.h"
#include "gateway/attempt_bounds.h"
#include "gateway/session.h"
#include "telemetry/log.h"

namespace flamingoshunt::gateway {
namespace {

using std::chrono::milliseconds;

// A request whose connections failed this often goes to a peer, whatever this
// node believes.
constexpr int kFailedConnectionsUntilPassed = 2;
// Peers that are asked to serve one request.
constexpr std::size_t kMaxPeers = 3;
// A peer that is no longer listed is doubted after this multiple of the latency
// target without an answer.
constexpr int kTargetsBeforeDoubt = 1;
// Retry-After of a node that is cut off: its callers reach other nodes.
constexpr milliseconds kCutOffRetryAfter{300};
constexpr int kUnavailable = 503;

}  // namespace

std::optional<peer_node> session::ChoosePeer() const {
  const bool unreachable = entry_.IsCutOff(service_) || doubtful_refusal_ ||
                           failed_connections_ >= kFailedConnectionsUntilPassed;
  if (passed_ || !unreachable || tried_peers_.size() >= kMaxPeers)
    return std::nullopt;
  return entry_.ChoosePeer(service_, tried_peers_);
}

// A caller that has part of its answer waits for this node's connections, since
// a refusal would break the answer off.
bool session::IsCutOff() const {
  return entry_.IsCutOff(service_) && !response_started_;
}

// A node that is cut off suspects all replicas before it knows the cause.
// @return whether to ask a peer rather than refuse for @p reason.
bool session::MayPeersKnowBetter(refusal_reason reason) {
  if (reason != refusal_reason::kNoReplica || doubtful_refusal_ ||
      !entry_.InDoubt(service_))
    return false;
  doubtful_refusal_ = true;
  return ChoosePeer().has_value();
}

void session::RefuseCutOff() {
  if (may_have_run_ || stored_failure_)
    Finish(attempt_result::kBroken);
  else
    Refuse(kUnavailable, "cut_off", kCutOffRetryAfter);
}

session::attempt_result session::PassOn(const peer_node& peer) {
  tried_peers_.push_back(peer.node);
  current_peer_ = peer.node;
  BeginAttempt();
  telemetry::LogChange("gateway", "passed_on",
                       {{"request", head_.id.str()},
                        {"peer", peer.node.str()},
                        {"cut_off", entry_.IsCutOff(service_)},
                        {"failed_connections", failed_connections_},
                        {"sent_before", attempts_sent_},
                        {"left_ms", base::WholeMilliseconds(RemainingTime())},
                        {"configuration", configuration_->version()}});
  return RunSteps(nullptr, [&] { return SendToPeer(peer); });
}

peer_request session::MakePeerRequest() const {
  peer_request passed;
  passed.request = request_;
  passed.elapsed = entry_.Now() - arrived_at_;
  passed.configuration = configuration_->version();
  passed.attempts = attempts_sent_;
  passed.resume_after = splitter_.last_id();
  passed.has_begun = response_started_;
  return passed;
}

session::attempt_result session::SendToPeer(const peer_node& peer) {
  if (route_->retryable())
    upstream_ = entry_.connections_.TakeIdle(peer.address);
  if (!upstream_) {
    upstream_ = std::make_unique<runtime::http_connection>(entry_.loop_);
    try {
      upstream_->Connect(
          peer.address,
          std::min<base::duration>(kPeerConnectTimeout, RemainingTime()));
    } catch (const runtime::transport_error&) {
      return attempt_result::kNotSent;  // PassOn logs it.
    }
  }
  if (caller_gone_ || RemainingTime() <= base::duration::zero())
    return attempt_result::kNotSent;
  auto message = EncodePeerRequest(MakePeerRequest(), peer.address);
  ++attempts_sent_;
  may_have_run_ = true;
  entry_.metrics_.passed_on.Add();
  last_progress_at_ = entry_.Now();
  upstream_->Send(message, RemainingTime());
  const auto head = upstream_->ReadHead(
      std::max<base::duration>(RemainingTime(), milliseconds(1)));
  attempt_has_head_ = true;
  if (IsPeerRefusal(head)) {
    DiscardBody();
    --attempts_sent_;
    return attempt_result::kNotSent;
  }
  if (route_->stream && IsSuccessStatus(head.status))
    return RelayEvents(nullptr, head);
  if (!response_started_) {
    if (IsSuccessStatus(head.status))
      KeepAttempt();
    return PassWhole(head);
  }
  DiscardBody();
  return head.status == kUnavailable ? attempt_result::kNotRun
                                     : attempt_result::kFailed;
}

base::time_point session::CheckPeer(base::time_point now) {
  if (now >= deadline_) {
    upstream_->Close();
    return base::time_point::max();
  }
  // The peer has stopped, or reaches no replica either. It completes what it
  // has if it can.
  const base::duration inactivity = now - last_progress_at_;
  const base::duration patience =
      attempt_has_event_ ? route_->event_gap_target
                         : kTargetsBeforeDoubt * route_->first_answer_target;
  if (standbys_.empty() && inactivity > patience &&
      !entry_.HasPeer(service_, *current_peer_) && CanFailOver())
    StartStandby();
  return deadline_;
}

}  // namespace flamingoshunt::gateway
