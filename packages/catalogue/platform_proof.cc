#include "catalogue/platform_proof.h"

#include <algorithm>

#include "store/kind_view.h"

namespace flamingoshunt::catalogue {
namespace {

constexpr base::duration kCallTimeout = std::chrono::seconds(2);
// An object that need not exist: the answer's store revision is what counts.
constexpr const char* kReadName = "-";

}  // namespace

void platform_proof::Reach(const std::string& kind, base::revision reached) {
  for (watched_kind& each : kinds_) {
    if (each.kind == kind)
      each.reached = std::max(each.reached, reached);
  }
  Evaluate();
}

store::call platform_proof::Read(base::time_point now) {
  if (reads_.size() >= kMaxReads)
    reads_.pop_front();
  store::call read;
  read.id = ids_.Next();
  read.key = {kinds_.front().kind, kReadName};
  read.timeout = kCallTimeout;
  reads_.push_back({read.id, now, std::nullopt, {}});
  return read;
}

std::vector<store::call> platform_proof::Lists(bool force,
                                               base::time_point now) {
  base::revision wanted;
  for (const open_read& read : reads_) {
    if (read.revision && now >= read.answered_at + kListAfter)
      wanted = std::max(wanted, *read.revision);
  }
  std::vector<store::call> lists;
  for (watched_kind& each : kinds_) {
    const bool recent = each.listed_at && now < *each.listed_at + kListInterval;
    if (each.list || recent || (!force && each.reached >= wanted))
      continue;
    store::call list;
    list.id = ids_.Next();
    list.op = store::operation::kList;
    list.key.kind = each.kind;
    list.timeout = kCallTimeout;
    each.list = list.id;
    each.listed_at = now;
    lists.push_back(list);
  }
  return lists;
}

platform_proof::reply_use platform_proof::Handle(const store::reply& answer,
                                                 base::time_point now) {
  for (watched_kind& each : kinds_) {
    if (each.list != answer.id)
      continue;
    each.list.reset();
    if (answer.outcome != store::call_outcome::kOk)
      return reply_use::kFailed;
    // A list from a platform that is behind reaches nothing new by itself.
    each.reached = std::max(each.reached, answer.store_revision);
    Evaluate();
    return reply_use::kList;
  }
  const auto read =
      std::find_if(reads_.begin(), reads_.end(),
                   [&](const open_read& each) { return each.id == answer.id; });
  if (read == reads_.end())
    return reply_use::kForeign;
  const bool good = TakeReadAnswer(*read, answer, now);
  if (!good)
    reads_.erase(read);
  Evaluate();
  return good ? reply_use::kRead : reply_use::kFailed;
}

bool platform_proof::TakeReadAnswer(open_read& read,
                                    const store::reply& answer,
                                    base::time_point now) {
  const bool answered = answer.outcome == store::call_outcome::kOk ||
                        answer.outcome == store::call_outcome::kNotFound;
  if (!answered)
    return false;
  if (answer.store_revision < highest_) {
    // Behind what it showed before: it lags, and proves nothing, or it was
    // restored, and what it holds now is all there is.
    if (!behind_since_)
      behind_since_ = now;
    if (now < *behind_since_ + store::kBehindGrace)
      return false;
    // Revisions count anew; what was reached before says nothing of them.
    for (watched_kind& each : kinds_)
      each.reached = {};
  }
  behind_since_.reset();
  highest_ = answer.store_revision;
  read.revision = answer.store_revision;
  read.answered_at = now;
  return true;
}

std::optional<base::time_point> platform_proof::NextTimer() const {
  std::optional<base::time_point> next;
  for (const open_read& read : reads_) {
    if (!read.revision || Reached() >= *read.revision)
      continue;
    base::time_point when = read.answered_at + kListAfter;
    for (const watched_kind& each : kinds_) {
      if (each.list)
        return std::nullopt;  // Its answer comes first.
      if (each.listed_at && each.reached < *read.revision)
        when = std::max(when, *each.listed_at + kListInterval);
    }
    next = next ? std::min(*next, when) : when;
  }
  return next;
}

base::revision platform_proof::Reached() const {
  return std::min(kinds_[0].reached, kinds_[1].reached);
}

void platform_proof::Evaluate() {
  const base::revision reached = Reached();
  std::erase_if(reads_, [&](const open_read& read) {
    if (!read.revision || *read.revision > reached)
      return false;
    proven_at_ =
        proven_at_ ? std::max(*proven_at_, read.sent_at) : read.sent_at;
    return true;
  });
}

}  // namespace flamingoshunt::catalogue
