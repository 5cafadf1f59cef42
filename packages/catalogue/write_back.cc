#include "catalogue/write_back.h"

#include <algorithm>

#include "catalogue/publisher.h"

namespace flamingoshunt::catalogue {

void write_back::Older(const store::object_key& key,
                       std::optional<base::revision> at,
                       base::time_point now) {
  if (waiting_.size() >= kMaxWaiting && !waiting_.contains(key))
    return;
  const auto rank = static_cast<int>(peers_.Rank(PeerKey(key)));
  waiting_[key] = {at, now + kDelay + kRankStep * rank};
}

std::optional<store::call> write_back::Due(base::time_point now) {
  if (writing_)
    return Take(writing_->Tick(now));
  for (auto each = waiting_.begin(); each != waiting_.end(); ++each) {
    if (each->second.due > now)
      continue;
    const bool agreed = peers_.live_peers() == 0 ||
                        peers_.MajorityProof(table_.digest()).has_value();
    if (!agreed) {
      each->second.due = now + kRetry;
      continue;
    }
    const auto [key, older] = *each;
    waiting_.erase(each);
    const stored_item* item = table_.Find(key);
    if (!item)
      return std::nullopt;
    writing_.emplace(Write(*item, older.at), ids_);
    return writing_->Start(now);
  }
  return std::nullopt;
}

std::optional<store::call> write_back::Handle(const store::reply& answer,
                                              base::time_point now) {
  if (!writing_)
    return std::nullopt;
  return Take(writing_->Handle(answer, now));
}

std::optional<base::time_point> write_back::NextTimer() const {
  if (writing_)
    return writing_->NextTimer();
  std::optional<base::time_point> next;
  for (const auto& [key, older] : waiting_)
    next = next ? std::min(*next, older.due) : older.due;
  return next;
}

std::optional<store::call> write_back::Take(
    const store::settled_write::step& step) {
  if (step.done) {
    written_ += *step.done == store::write_result::kApplied ? 1 : 0;
    writing_.reset();
  }
  return step.send;
}

store::call write_back::Write(const stored_item& item,
                              std::optional<base::revision> at) const {
  store::call write;
  write.op = at ? store::operation::kUpdate : store::operation::kCreate;
  write.key = item.key;
  write.expected = at.value_or(base::revision());
  write.value = EncodeStored(item);
  write.priority = store::call_priority::kBackground;
  return write;
}

}  // namespace flamingoshunt::catalogue
