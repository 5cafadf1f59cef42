#include "gateway/crash_attribution.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace flamingoshunt::gateway {

bool crash_attribution::IsBlamed(const history& of, base::time_point now) {
  return of.blamed && of.last_crash_at &&
         now - *of.last_crash_at < kEvidenceLifetime;
}

// Reports are repeated, since datagrams get lost.
bool crash_attribution::IsRepeated(const history& of, const crash& newer) {
  return std::any_of(
      of.crashes.begin(), of.crashes.end(), [&](const crash& known) {
        return known.replica == newer.replica &&
               newer.sent_at - known.observed_at < kMinRestartTime;
      });
}

std::size_t crash_attribution::ConsecutiveCrashes(const history& of) const {
  std::size_t count = 0;
  const crash* last = nullptr;
  for (const crash& each : of.crashes) {
    const bool exact =
        last && options_.trusts_own_order && last->own && each.own;
    const base::duration delay =
        exact ? base::duration::zero() : kMaxReportDelay;
    if (last && each.sent_at < last->observed_at + delay)
      continue;
    ++count;
    last = &each;
  }
  return count;
}

bool crash_attribution::IsBlamable(const history& of) const {
  if (of.answered_at)
    return of.crashes.size() >= kMinCrashesAnswered &&
           ConsecutiveCrashes(of) >= kMinConsecutiveAnswered;
  return of.crashes.size() >= kMinCrashes &&
         ConsecutiveCrashes(of) >= kMinConsecutive;
}

// @return whether the crash counts.
bool crash_attribution::AddCrash(history& of,
                                 const crash& newer,
                                 base::time_point now) {
  std::erase_if(of.crashes, [&](const crash& old) {
    return now - old.observed_at >= kEvidenceLifetime;
  });
  const bool answered_since =
      of.answered_at && *of.answered_at >= newer.observed_at;
  if (answered_since || IsRepeated(of, newer))
    return false;
  const auto position =
      std::upper_bound(of.crashes.begin(), of.crashes.end(), newer,
                       [](const crash& a, const crash& b) {
                         return a.observed_at < b.observed_at;
                       });
  of.crashes.insert(position, newer);
  ++of.crashes_seen;
  if (of.crashes.size() > kMaxCrashes)
    of.crashes.erase(of.crashes.begin());
  return true;
}

void crash_attribution::NoteCrash(base::fingerprint key,
                                  base::time_point at,
                                  bool own) {
  vouched_.insert(key);
  history& of = histories_.at(key);
  of.vouch_until = std::max(of.vouch_until, at + kVouchingTime);
  if (of.last_crash_at && *of.last_crash_at >= at)
    return;
  of.last_crash_at = at;
  of.last_crash_is_own = own;
}

crash_attribution::crash crash_attribution::MakeCrash(
    const crash_report& report,
    bool own,
    base::time_point now) {
  crash made;
  made.replica = report.replica;
  made.observed_at = now - report.age;
  made.sent_at = made.observed_at - report.attempt_duration;
  made.own = own;
  return made;
}

crash_attribution::outcome crash_attribution::RecordCrash(
    const crash& newer,
    base::time_point now) {
  outcome result;
  // A blamed key explains the crash.
  bool explained = false;
  for (const base::fingerprint key : newer.keys) {
    history& of = FindOrCreate(key, now);
    if (of.blamed) {
      explained = true;
      result.counted = result.counted ||
                       newer.observed_at > *of.last_crash_at + kMaxReportDelay;
    }
    NoteCrash(key, newer.observed_at, newer.own);
  }
  if (explained)
    return result;
  for (const base::fingerprint key : newer.keys) {
    history& of = FindOrCreate(key, now);
    result.counted = AddCrash(of, newer, now) || result.counted;
    result.crashes = std::max(result.crashes, of.crashes.size());
  }
  result.blamed = FindCulprit(newer.keys);
  if (result.blamed)
    Blame(*result.blamed);
  return result;
}

// Of several keys that could explain the crashes: one without any answer, then
// the one with most crashes, then the last one.
std::optional<base::fingerprint> crash_attribution::FindCulprit(
    const std::vector<base::fingerprint>& keys) const {
  std::optional<base::fingerprint> culprit;
  std::pair<bool, std::size_t> best_rank;
  for (const base::fingerprint key : keys) {
    const auto found = histories_.find(key);
    if (found == histories_.end())
      continue;
    const history& of = found->second;
    const std::pair rank(!of.answered_at, of.crashes.size());
    if (!IsBlamable(of) || (culprit && rank < best_rank))
      continue;
    culprit = key;
    best_rank = rank;
  }
  return culprit;
}

// The crashes that the key explains no longer count against others, also not
// those of other requests that were in flight at the same replicas.
void crash_attribution::Blame(base::fingerprint key) {
  history& culprit = histories_.at(key);
  culprit.blamed = true;
  culprit.tried = false;
  blamed_.insert(key);
  const auto explained = std::exchange(culprit.crashes, {});
  const auto is_explained = [&](const crash& candidate) {
    return std::any_of(
        explained.begin(), explained.end(), [&](const crash& known) {
          return known.replica == candidate.replica &&
                 std::chrono::abs(known.observed_at - candidate.observed_at) <
                     kMinRestartTime;
        });
  };
  for (auto& [other, of] : histories_)
    std::erase_if(of.crashes, is_explained);
}

// @return whether the answer lifted a blame.
bool crash_attribution::OnAnswer(history& of, base::time_point answered_at) {
  of.answered_at = std::max(of.answered_at.value_or(answered_at), answered_at);
  std::erase_if(of.crashes, [&](const crash& old) {
    return old.observed_at <= answered_at;
  });
  if (!of.blamed || (of.last_crash_at && *of.last_crash_at > answered_at))
    return false;
  of.blamed = false;
  return true;
}

bool crash_attribution::RecordAnswer(base::fingerprint key,
                                     base::time_point now) {
  history& of = FindOrCreate(key, now);
  of.own_answer_at = now;
  const bool lifted = OnAnswer(of, now);
  if (lifted) {
    of.doubted = true;
    of.vouch_until = now + kVouchingTime;
    vouched_.insert(key);
  }
  return lifted;
}

bool crash_attribution::ApplyAnswer(const key_sighting& answer,
                                    base::time_point now) {
  return OnAnswer(FindOrCreate(answer.key, now), now - answer.age);
}

bool crash_attribution::ApplyBlame(const key_sighting& crash_sighting,
                                   base::time_point now) {
  const auto crash_at = now - crash_sighting.age;
  history& of = FindOrCreate(crash_sighting.key, now);
  NoteCrash(crash_sighting.key, crash_at, false);
  if (of.own_answer_at && *of.own_answer_at > crash_at) {
    of.doubted = true;
    of.vouch_until = now + kVouchingTime;
  }
  if (of.blamed || crash_sighting.age >= kEvidenceLifetime ||
      (of.answered_at && *of.answered_at > crash_at))
    return false;
  Blame(crash_sighting.key);
  return true;
}

std::optional<base::fingerprint> crash_attribution::FindBlamed(
    const std::vector<base::fingerprint>& keys,
    base::time_point now) const {
  for (const base::fingerprint key : keys) {
    const auto it = histories_.find(key);
    if (it != histories_.end() && IsBlamed(it->second, now))
      return key;
  }
  return std::nullopt;
}

bool crash_attribution::IsTrialDue(base::fingerprint key,
                                   base::time_point now) const {
  const auto it = histories_.find(key);
  if (it == histories_.end())
    return false;
  const history& of = it->second;
  return IsBlamed(of, now) && of.last_crash_is_own && !of.tried &&
         now - *of.last_crash_at >= kTrialDelay;
}

void crash_attribution::MarkTried(base::fingerprint key) {
  histories_.at(key).tried = true;
}

std::vector<key_sighting> crash_attribution::BlamedKeys(
    base::time_point now) const {
  std::vector<key_sighting> blamed;
  for (const base::fingerprint key : blamed_) {
    const auto it = histories_.find(key);
    if (it != histories_.end() && IsBlamed(it->second, now))
      blamed.push_back({key, now - *it->second.last_crash_at});
  }
  std::sort(blamed.begin(), blamed.end(),
            [](const key_sighting& a, const key_sighting& b) {
              return std::tie(a.age, a.key) < std::tie(b.age, b.key);
            });
  if (blamed.size() > kMaxListedKeys)
    blamed.resize(kMaxListedKeys);
  return blamed;
}

std::vector<key_sighting> crash_attribution::TakeAnswersToReport(
    base::time_point now) {
  std::vector<key_sighting> answers;
  if (now < next_listing_at_)
    return answers;
  next_listing_at_ = now + options_.listing_period;
  for (auto it = vouched_.begin(); it != vouched_.end();) {
    const auto found = histories_.find(*it);
    if (found == histories_.end() || now >= found->second.vouch_until) {
      it = vouched_.erase(it);
      continue;
    }
    history& of = found->second;
    const bool is_new =
        options_.repeats_answers || !of.reported_at ||
        (of.own_answer_at && *of.own_answer_at > *of.reported_at);
    const bool has_crashed = of.crashes_seen >= options_.min_reported_crashes;
    const bool report =
        of.own_answer_at && (of.doubted || (is_new && has_crashed)) &&
        (!of.reported_at || now - *of.reported_at >= kVouchingPeriod);
    if (report && answers.size() < kMaxListedKeys) {
      of.reported_at = now;
      of.doubted = false;
      answers.push_back({*it, now - *of.own_answer_at});
    }
    ++it;
  }
  return answers;
}

crash_attribution::history& crash_attribution::FindOrCreate(
    base::fingerprint key,
    base::time_point now) {
  if (histories_.size() >= options_.max_keys && !histories_.contains(key))
    Evict(now);
  history& of = histories_[key];
  of.last_used_at = now;
  return of;
}

// Drops the half that was unused for longest, except keys that are refused.
// Keys without crashes go first: a crashing request must not be forgotten
// because of many answers to others.
void crash_attribution::Evict(base::time_point now) {
  std::vector<base::time_point> used;
  used.reserve(histories_.size());
  for (const auto& [key, of] : histories_)
    used.push_back(of.last_used_at);
  const auto middle =
      used.begin() + static_cast<std::ptrdiff_t>(used.size() / 2);
  std::nth_element(used.begin(), middle, used.end());
  const auto drop = [&](bool with_crashes) {
    std::erase_if(histories_, [&](const auto& entry) {
      const history& of = entry.second;
      return !IsBlamed(of, now) && of.last_used_at <= *middle &&
             (with_crashes || of.crashes.empty());
    });
  };
  drop(false);
  if (histories_.size() >= options_.max_keys * 3 / 4)
    drop(true);
  std::erase_if(blamed_, [&](base::fingerprint key) {
    return !histories_.contains(key);
  });
}

}  // namespace flamingoshunt::gateway
