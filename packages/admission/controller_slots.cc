// How slots are given out, watched while they are used, and taken back.
#include "admission/controller.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace flamingoshunt::admission {

namespace {

/// Engine priorities: ten per class, and long work behind short.
constexpr int kPriorityPerClass = 10;
constexpr int kLongPriority = 5;
/// Part of the slots of a node that long work keeps when short work waits.
constexpr double kLongKeeps = 0.1;

}  // namespace

void machine::Dispatch(const base::entry_name& entry, base::time_point now) {
  const auto found = lines_.find(entry);
  if (found == lines_.end())
    return;
  entry_line& line = found->second;
  while (line.size() > 0 && line.StartOne([&](const waiting& each) {
    return TryStart(each, now);
  })) {
  }
  if (settings_.preempts && line.Shorts() > 0)
    PreemptFor(entry, now);
}

// Lets short work that waits have the slots of long work. The long request that
// has the least to compute again goes first; one whose deadline could not stand
// the time in the queue stays.
void machine::PreemptFor(const base::entry_name& entry, base::time_point now) {
  std::vector<running*> candidates;
  std::size_t leaving = 0;
  std::size_t longs = 0;
  for (auto& [request, each] : running_) {
    if (each.request.shape.entry != entry || !each.is_long)
      continue;
    ++longs;
    if (each.is_preempted)
      ++leaving;
    else if (each.request.resumable && !each.is_alone &&
             (!each.request.deadline ||
              *each.request.deadline > now + kMostOvertaking))
      candidates.push_back(&each);
  }
  const auto slots = static_cast<double>(router_.Occupancy(entry).slots);
  const auto kept = static_cast<std::size_t>(slots * kLongKeeps);
  const std::size_t wanted = LineOf(entry).Shorts();
  std::sort(candidates.begin(), candidates.end(),
            [](const running* left, const running* right) {
              return std::pair(left->tokens, left->request.shape.request) <
                     std::pair(right->tokens, right->request.shape.request);
            });
  for (running* each : candidates) {
    if (leaving >= wanted || longs - leaving <= kept)
      return;
    ++leaving;
    each->is_preempted = true;
    ++counters_.preempted;
    effects_.emplace_back(
        preempt{each->request.shape.request, each->replica, each->epoch});
  }
}

void machine::DispatchAll(base::time_point now) {
  for (const auto& [entry, line] : lines_)
    Dispatch(entry, now);
}

start_result machine::TryStart(const waiting& each, base::time_point now) {
  const auto& shape = each.request.shape;
  if (!gate_.MayStart(shape))
    return start_result::kSkip;
  if (each.is_long && settings_.queue == queue_kind::kFair) {
    const auto slots = router_.Occupancy(shape.entry);
    const double most = slots.slots * (1 - settings_.short_reserve);
    if (slots.running_long > 0 && slots.running_long + 1 > most)
      return start_result::kSkip;
  }
  const auto place = router_.Choose(shape, now);
  if (!place) {
    return shape.excluded.empty() ? start_result::kStop : start_result::kSkip;
  }
  places_.erase(shape.request);
  gate_.Waits(shape, -1);
  gate_.TryStart(shape);
  Grant(each, *place, false, now);
  return start_result::kStarted;
}

void machine::Grant(const waiting& each,
                    const routing::placement& place,
                    bool is_alone,
                    base::time_point now) {
  const auto& shape = each.request.shape;
  router_.AttemptStarted(shape, place, now);
  quarantine_.Started(shape.fingerprint);
  running_.emplace(
      shape.request,
      running{each.request, place.replica, place.epoch, each.cost,
              lengths_.LongFrom(shape.entry), 0, each.is_long, is_alone});
  ++counters_.granted;
  const int priority = static_cast<int>(each.request.work) * kPriorityPerClass +
                       (each.is_long ? kLongPriority : 0);
  effects_.emplace_back(grant{shape.request, place, priority});
}

void machine::On(const progress& given, base::time_point) {
  const auto [begin, end] = running_.equal_range(given.request);
  for (auto at = begin; at != end; ++at) {
    running& each = at->second;
    each.tokens += static_cast<double>(given.tokens);
    const double cost =
        length_model::Cost(each.request.prompt_tokens, each.tokens);
    const auto& shape = each.request.shape;
    if (cost > each.charged) {
      // Charged in doubling steps, so that a straggler pays while it runs.
      LineOf(shape.entry)
          .Charge(shape.workspace, each.request.work, each.charged);
      each.charged *= 2;
    }
    if (!each.is_long && each.tokens > each.long_from) {
      each.is_long = true;
      ++counters_.reclassified;
      router_.Reclassify(given.request);
    }
  }
}

void machine::On(const release& given, base::time_point now) {
  const auto& finished = given.finished;
  const auto [begin, end] = running_.equal_range(finished.request);
  const auto found = std::find_if(begin, end, [&](const auto& each) {
    return each.second.replica == finished.replica &&
           each.second.epoch == finished.epoch;
  });
  if (found == end)
    return;
  const running each = std::move(found->second);
  running_.erase(found);
  Finish(each, finished, now);
  DispatchAll(now);
}

void machine::Finish(const running& each,
                     const routing::attempt_finished& finished,
                     base::time_point now) {
  const auto& shape = each.request.shape;
  const auto tokens =
      std::max(each.tokens, static_cast<double>(finished.tokens));
  const double cost = length_model::Cost(each.request.prompt_tokens, tokens);
  entry_line& line = LineOf(shape.entry);
  router_.AttemptFinished(finished, now);
  gate_.Finished(shape, shape.cost - cost);
  line.Charge(shape.workspace, each.request.work, cost - each.charged);
  if (finished.result == routing::attempt_result::kBroken)
    quarantine_.Crashed(shape.fingerprint, each.replica, each.epoch, now);
  if (finished.result == routing::attempt_result::kCompleted) {
    lengths_.Learn(each.request,
                   static_cast<double>(each.request.tokens_done) + tokens);
    line.Learn(cost, finished.total);
    quarantine_.Completed(shape.fingerprint, now);
  }
  quarantine_.Ended(shape.fingerprint);
  if (each.is_alone) {
    router_.Claim(each.replica, now);
    quarantine_.Unclaim(shape.fingerprint);
  }
}

void machine::ServeSolo(base::time_point now) {
  if (solo_.size() == 0)
    return;
  // One step may grant several; each is counted before the next is checked.
  const auto may = [this](const routing::request_shape& shape) {
    return gate_.TryStart(shape);
  };
  for (auto& each : solo_.Step(quarantine_, router_, may, now)) {
    const auto& shape = each.request.request.shape;
    if (each.place)
      Grant(each.request, *each.place, true, now);
    else if (each.is_late)
      Refuse({shape.request, refusal_reason::kDeadline, std::nullopt});
    else if (each.verdict == routing::verdict::kQuarantined)
      Refuse({shape.request, refusal_reason::kQuarantined,
              quarantine_.Remaining(shape.fingerprint, now)});
    else
      Enqueue(std::move(each.request), now);
  }
}

}  // namespace flamingoshunt::admission
