#include "admission/isolation_queue.h"

#include <chrono>
#include <set>
#include <utility>

namespace flamingoshunt::admission {

namespace {

/// Pause between looks at the claimed replica while a suspect waits.
constexpr base::duration kLookAgain = std::chrono::milliseconds(200);

}  // namespace

void solo_line::Push(waiting each) {
  const base::request_id request = each.request.shape.request;
  waiting_[request] = {std::move(each), std::nullopt, {}};
}

void solo_line::LetGo(suspect& each,
                      routing::quarantine& known,
                      routing::router& router,
                      base::time_point now) {
  if (!each.place)
    return;
  router.Claim(each.place->replica, now);
  known.Unclaim(each.request.request.shape.fingerprint);
  each.place.reset();
}

std::optional<waiting> solo_line::Remove(const base::request_id& request,
                                         routing::quarantine& known,
                                         routing::router& router,
                                         base::time_point now) {
  const auto found = waiting_.find(request);
  if (found == waiting_.end())
    return std::nullopt;
  LetGo(found->second, known, router, now);
  waiting removed = std::move(found->second.request);
  waiting_.erase(found);
  return removed;
}

std::vector<solo_line::outcome> solo_line::Step(routing::quarantine& known,
                                                routing::router& router,
                                                const may_start& may,
                                                base::time_point now) {
  stepped_ = now;
  std::vector<outcome> outcomes;
  // Requests of the same fingerprint run one after the other.
  std::set<base::fingerprint> seen;
  for (auto each = waiting_.begin(); each != waiting_.end();) {
    if (!seen.insert(each->second.request.request.shape.fingerprint).second) {
      ++each;
      continue;
    }
    auto result = Step(each->second, known, router, may, now);
    if (!result) {
      ++each;
      continue;
    }
    // A granted claim stays until the attempt ends.
    if (!result->place)
      LetGo(each->second, known, router, now);
    outcomes.push_back(std::move(*result));
    each = waiting_.erase(each);
  }
  return outcomes;
}

std::optional<solo_line::outcome> solo_line::Step(suspect& each,
                                                  routing::quarantine& known,
                                                  routing::router& router,
                                                  const may_start& may,
                                                  base::time_point now) {
  const auto& shape = each.request.request.shape;
  const auto& deadline = each.request.request.deadline;
  const routing::verdict verdict = known.Judge(shape.fingerprint, now);
  if (verdict != routing::verdict::kSuspect)
    return outcome{each.request, verdict, std::nullopt, false};
  if (deadline && *deadline <= now)
    return outcome{each.request, verdict, std::nullopt, true};
  const bool is_lost =
      each.place &&
      (known.ClaimIsLost(shape.fingerprint, each.place->replica, now) ||
       !router.StillServes(*each.place));
  if (is_lost || (each.place && now - each.claimed >= kClaimTime))
    LetGo(each, known, router, now);
  if (known.IsRunning(shape.fingerprint, now))
    return std::nullopt;
  if (!each.place) {
    each.place = router.ChooseAlone(shape, now);
    if (!each.place)
      return std::nullopt;
    each.claimed = now;
    router.Claim(each.place->replica, now + kClaimTime);
    known.Claim(shape.fingerprint, each.place->replica, now);
    return std::nullopt;
  }
  const base::duration held = now - each.claimed;
  const bool is_empty = router.IsEmpty(each.place->replica);
  if (held < routing::quarantine::kSpread || (!is_empty && held < kEmptyWait) ||
      !may(shape))
    return std::nullopt;
  return outcome{each.request, verdict, each.place, false};
}

std::optional<base::time_point> solo_line::NextTimer() const {
  if (waiting_.empty())
    return std::nullopt;
  return stepped_ + kLookAgain;
}

}  // namespace flamingoshunt::admission
