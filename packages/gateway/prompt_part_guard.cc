#include "gateway/prompt_part_guard.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace flamingoshunt::gateway {

bool prompt_part_guard::IsBlamed(const history& of, base::time_point now) {
  return of.blamed && of.last_crash_at &&
         now - *of.last_crash_at < kEvidenceLifetime;
}

// Reports are repeated, since datagrams get lost.
bool prompt_part_guard::IsRepeated(const history& of, const crash& newer) {
  return std::any_of(
      of.crashes.begin(), of.crashes.end(), [&](const crash& known) {
        return known.replica == newer.replica &&
               newer.sent_at - known.observed_at < kMinRestartTime;
      });
}

std::size_t prompt_part_guard::ConsecutiveCrashes(const history& of) {
  std::size_t count = 0;
  base::time_point last_observed_at{};
  for (const crash& each : of.crashes) {
    if (count > 0 && each.sent_at < last_observed_at + kMaxReportDelay)
      continue;
    ++count;
    last_observed_at = each.observed_at;
  }
  return count;
}

bool prompt_part_guard::IsBlamable(const history& of) {
  if (of.answered_at)
    return of.crashes.size() >= kMinCrashesAnswered &&
           ConsecutiveCrashes(of) >= kMinConsecutiveAnswered;
  return of.crashes.size() >= kMinCrashes &&
         ConsecutiveCrashes(of) >= kMinConsecutive;
}

void prompt_part_guard::AddCrash(history& of,
                                 const crash& newer,
                                 base::time_point now) {
  std::erase_if(of.crashes, [&](const crash& old) {
    return now - old.observed_at >= kEvidenceLifetime;
  });
  const bool answered_since =
      of.answered_at && *of.answered_at >= newer.observed_at;
  if (answered_since || IsRepeated(of, newer))
    return;
  const auto position =
      std::upper_bound(of.crashes.begin(), of.crashes.end(), newer,
                       [](const crash& a, const crash& b) {
                         return a.observed_at < b.observed_at;
                       });
  of.crashes.insert(position, newer);
  if (of.crashes.size() > kMaxCrashes)
    of.crashes.erase(of.crashes.begin());
}

// @return whether a part of the request has been blamed, which explains the
//         crash.
bool prompt_part_guard::NoteCrash(const crash& newer, base::time_point now) {
  bool explained = false;
  for (const base::fingerprint part : newer.parts) {
    history& of = FindOrCreate(part, now);
    of.last_crash_at = std::max(of.last_crash_at.value_or(newer.observed_at),
                                newer.observed_at);
    recently_crashed_.insert(part);
    explained = explained || of.blamed;
  }
  return explained;
}

std::optional<base::fingerprint> prompt_part_guard::RecordCrash(
    const crash_report& report,
    base::time_point now) {
  crash newer;
  newer.replica = report.replica;
  newer.observed_at = now - report.age;
  newer.sent_at = newer.observed_at - report.attempt_duration;
  newer.parts = report.prompt_parts;
  if (NoteCrash(newer, now))
    return std::nullopt;
  for (const base::fingerprint part : report.prompt_parts)
    AddCrash(FindOrCreate(part, now), newer, now);
  const auto culprit = FindCulprit(report.prompt_parts);
  if (culprit)
    Blame(*culprit);
  return culprit;
}

// Of several parts that could explain the crashes: one without any answer, then
// the one with most crashes, then the most specific one, whose refusal affects
// the fewest requests.
std::optional<base::fingerprint> prompt_part_guard::FindCulprit(
    const std::vector<base::fingerprint>& parts) const {
  std::optional<base::fingerprint> culprit;
  std::pair<bool, std::size_t> best_rank;
  for (const base::fingerprint part : parts) {
    const auto found = histories_.find(part);
    if (found == histories_.end())
      continue;
    const history& of = found->second;
    const std::pair rank(!of.answered_at, of.crashes.size());
    if (!IsBlamable(of) || (culprit && rank < best_rank))
      continue;
    culprit = part;
    best_rank = rank;
  }
  return culprit;
}

// The crashes that the part explains no longer count against other parts, also
// not those of other requests that were in flight at the same replicas.
void prompt_part_guard::Blame(base::fingerprint part) {
  history& culprit = histories_.at(part);
  culprit.blamed = true;
  blamed_.insert(part);
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
bool prompt_part_guard::OnAnswer(history& of, base::time_point answered_at) {
  of.answered_at = std::max(of.answered_at.value_or(answered_at), answered_at);
  std::erase_if(of.crashes, [&](const crash& old) {
    return old.observed_at <= answered_at;
  });
  if (!of.blamed || (of.last_crash_at && *of.last_crash_at > answered_at))
    return false;
  of.blamed = false;
  return true;
}

bool prompt_part_guard::RecordAnswer(base::fingerprint part,
                                     base::time_point now) {
  history& of = FindOrCreate(part, now);
  of.own_answer_at = now;
  return OnAnswer(of, now);
}

bool prompt_part_guard::ApplyAnswer(const part_sighting& answer,
                                    base::time_point now) {
  return OnAnswer(FindOrCreate(answer.part, now), now - answer.age);
}

bool prompt_part_guard::ApplyBlame(const part_sighting& crash_sighting,
                                   base::time_point now) {
  const auto crash_at = now - crash_sighting.age;
  history& of = FindOrCreate(crash_sighting.part, now);
  of.last_crash_at = std::max(of.last_crash_at.value_or(crash_at), crash_at);
  recently_crashed_.insert(crash_sighting.part);
  if (of.blamed || crash_sighting.age >= kEvidenceLifetime ||
      (of.answered_at && *of.answered_at > crash_at))
    return false;
  Blame(crash_sighting.part);
  return true;
}

std::optional<base::fingerprint> prompt_part_guard::FindBlamed(
    const std::vector<base::fingerprint>& parts,
    base::time_point now) const {
  for (const base::fingerprint part : parts) {
    const auto it = histories_.find(part);
    if (it != histories_.end() && IsBlamed(it->second, now))
      return part;
  }
  return std::nullopt;
}

std::vector<part_sighting> prompt_part_guard::BlamedParts(
    base::time_point now) const {
  std::vector<part_sighting> blamed;
  for (const base::fingerprint part : blamed_) {
    const auto it = histories_.find(part);
    if (it != histories_.end() && IsBlamed(it->second, now))
      blamed.push_back({part, now - *it->second.last_crash_at});
  }
  std::sort(blamed.begin(), blamed.end(),
            [](const part_sighting& a, const part_sighting& b) {
              return std::tie(a.age, a.part) < std::tie(b.age, b.part);
            });
  if (blamed.size() > kMaxListedParts)
    blamed.resize(kMaxListedParts);
  return blamed;
}

std::vector<part_sighting> prompt_part_guard::TakeAnswersToReport(
    base::time_point now) {
  std::vector<part_sighting> answers;
  for (auto it = recently_crashed_.begin(); it != recently_crashed_.end();) {
    const auto found = histories_.find(*it);
    if (found == histories_.end() || !found->second.last_crash_at ||
        now - *found->second.last_crash_at >= kVouchingTime) {
      it = recently_crashed_.erase(it);
      continue;
    }
    history& of = found->second;
    const bool report =
        of.own_answer_at &&
        (!of.reported_at || now - *of.reported_at >= kVouchingPeriod);
    if (report && answers.size() < kMaxListedParts) {
      of.reported_at = now;
      answers.push_back({*it, now - *of.own_answer_at});
    }
    ++it;
  }
  return answers;
}

prompt_part_guard::history& prompt_part_guard::FindOrCreate(
    base::fingerprint part,
    base::time_point now) {
  if (histories_.size() >= kMaxParts && !histories_.contains(part))
    Evict(now);
  history& of = histories_[part];
  of.last_used_at = now;
  return of;
}

// Drops the half that was unused for longest, except parts that are refused.
void prompt_part_guard::Evict(base::time_point now) {
  std::vector<base::time_point> used;
  used.reserve(histories_.size());
  for (const auto& [part, of] : histories_)
    used.push_back(of.last_used_at);
  const auto middle =
      used.begin() + static_cast<std::ptrdiff_t>(used.size() / 2);
  std::nth_element(used.begin(), middle, used.end());
  std::erase_if(histories_, [&](const auto& entry) {
    return !IsBlamed(entry.second, now) && entry.second.last_used_at <= *middle;
  });
  std::erase_if(blamed_, [&](base::fingerprint part) {
    return !histories_.contains(part);
  });
}

}  // namespace flamingoshunt::gateway
