#include "admission/isolation_queue.h"

#include <chrono>
#include <set>
#include <utility>

namespace flamingoshunt::admission {

namespace {

/// Interval at which queued suspects check their claimed replica.
constexpr base::duration kPollInterval = std::chrono::milliseconds(200);

}  // namespace

void isolation_queue::Push(queued_request queued) {
  const base::request_id request = queued.request.shape.request;
  suspects_[request] = {std::move(queued), std::nullopt, {}};
}

void isolation_queue::ReleaseClaim(suspect& queued,
                                   routing::quarantine& quarantine,
                                   routing::router& router,
                                   base::time_point now) {
  if (!queued.placement)
    return;
  router.Claim(queued.placement->replica, now);
  quarantine.WithdrawClaim(queued.request.request.shape.fingerprint);
  queued.placement.reset();
}

std::optional<queued_request> isolation_queue::Remove(
    const base::request_id& request,
    routing::quarantine& quarantine,
    routing::router& router,
    base::time_point now) {
  const auto it = suspects_.find(request);
  if (it == suspects_.end())
    return std::nullopt;
  ReleaseClaim(it->second, quarantine, router, now);
  queued_request removed = std::move(it->second.request);
  suspects_.erase(it);
  return removed;
}

std::vector<isolation_queue::outcome> isolation_queue::Step(
    routing::quarantine& quarantine,
    routing::router& router,
    const start_predicate& can_start,
    base::time_point now) {
  last_step_ = now;
  std::vector<outcome> outcomes;
  // Requests with the same fingerprint run one after the other.
  std::set<base::fingerprint> seen_fingerprints;
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    if (!seen_fingerprints.insert(it->second.request.request.shape.fingerprint)
             .second) {
      ++it;
      continue;
    }
    auto result = Step(it->second, quarantine, router, can_start, now);
    if (!result) {
      ++it;
      continue;
    }
    // The claim of a granted request stays until its attempt ends.
    if (!result->placement)
      ReleaseClaim(it->second, quarantine, router, now);
    outcomes.push_back(std::move(*result));
    it = suspects_.erase(it);
  }
  return outcomes;
}

std::optional<isolation_queue::outcome> isolation_queue::Step(
    suspect& queued,
    routing::quarantine& quarantine,
    routing::router& router,
    const start_predicate& can_start,
    base::time_point now) {
  const auto& shape = queued.request.request.shape;
  const auto& deadline = queued.request.request.deadline;
  const routing::quarantine_state state =
      quarantine.Classify(shape.fingerprint, now);
  if (state != routing::quarantine_state::kSuspect)
    return outcome{queued.request, state, std::nullopt, false};
  if (deadline && *deadline <= now)
    return outcome{queued.request, state, std::nullopt, true};
  const bool is_lost =
      queued.placement &&
      (quarantine.IsClaimLost(shape.fingerprint, queued.placement->replica,
                              now) ||
       !router.IsStillServing(*queued.placement));
  if (is_lost ||
      (queued.placement && now - queued.claimed_at >= kClaimDuration))
    ReleaseClaim(queued, quarantine, router, now);
  if (quarantine.IsRunning(shape.fingerprint, now))
    return std::nullopt;
  if (!queued.placement) {
    queued.placement = router.ChooseForIsolation(shape, now);
    if (!queued.placement)
      return std::nullopt;
    queued.claimed_at = now;
    router.Claim(queued.placement->replica, now + kClaimDuration);
    quarantine.Claim(shape.fingerprint, queued.placement->replica, now);
    return std::nullopt;
  }
  const base::duration claim_age = now - queued.claimed_at;
  const bool is_empty = router.IsEmpty(queued.placement->replica);
  if (claim_age < routing::quarantine::kPropagationTime ||
      (!is_empty && claim_age < kMaxDrainWait) || !can_start(shape))
    return std::nullopt;
  return outcome{queued.request, state, queued.placement, false};
}

std::optional<base::time_point> isolation_queue::NextTimer() const {
  if (suspects_.empty())
    return std::nullopt;
  return last_step_ + kPollInterval;
}

}  // namespace flamingoshunt::admission
