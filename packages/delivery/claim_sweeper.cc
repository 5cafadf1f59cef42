#include "delivery/claim_sweeper.h"

#include <algorithm>
#include <string>

#include "delivery/claim_record.h"
#include "delivery/errors.h"

namespace flamingoshunt::delivery {
namespace {

constexpr std::size_t kMaxQueuedDeletions = 1024;  // expired claims

}  // namespace

claim_sweeper::claim_sweeper(const sweep_settings& settings, id_source& ids)
    : settings_(settings), ids_(ids) {
  if (settings.deletions_per_second < 1)
    throw settings_error("claims.deletions_per_second: " +
                         std::to_string(settings.deletions_per_second) +
                         ": must be at least 1");
  if (settings.round <= base::duration::zero() ||
      settings.call_timeout <= base::duration::zero())
    throw settings_error("claims: round and call timeout must be above zero");
}

void claim_sweeper::SetLeading(bool leading, base::time_point now) {
  if (leading == leading_)
    return;
  leading_ = leading;
  expired_claims_.clear();
  list_call_ = {};
  delete_call_ = {};
  next_list_ = now;
  next_delete_ = now;
}

std::optional<base::time_point> claim_sweeper::NextTimer() const {
  if (!leading_)
    return std::nullopt;
  return expired_claims_.empty() ? next_list_
                                 : std::min(next_list_, next_delete_);
}

std::vector<store::call> claim_sweeper::Tick(base::time_point now) {
  std::vector<store::call> calls;
  if (!leading_)
    return calls;
  if (now >= next_list_)
    calls.push_back(MakeListCall(now));
  if (now >= next_delete_ && !expired_claims_.empty())
    calls.push_back(MakeDeleteCall(now));
  return calls;
}

store::call claim_sweeper::MakeListCall(base::time_point now) {
  next_list_ = now + settings_.round / kClaimBuckets;
  list_call_ = ids_.NextCallId();
  store::call call;
  call.id = list_call_;
  call.op = store::operation::kList;
  call.key.kind = MakeClaimKind(bucket_);
  call.priority = store::call_priority::kBackground;
  call.timeout = settings_.call_timeout;
  bucket_ = (bucket_ + 1) % kClaimBuckets;
  return call;
}

store::call claim_sweeper::MakeDeleteCall(base::time_point now) {
  next_delete_ = now + base::duration(std::chrono::seconds(1)) /
                           settings_.deletions_per_second;
  delete_call_ = ids_.NextCallId();
  store::call call;
  call.id = delete_call_;
  call.op = store::operation::kDelete;
  call.key = expired_claims_.front().key;
  call.expected = expired_claims_.front().version;
  call.priority = store::call_priority::kBackground;
  call.timeout = settings_.call_timeout;
  expired_claims_.pop_front();
  return call;
}

// A deletion that failed or whose reply was lost is not repeated: the next
// round lists the claim again if it still exists.
void claim_sweeper::Handle(const store::reply& reply,
                           base::wall_time wall_now) {
  if (reply.id == delete_call_ || reply.id == list_call_)
    counters_.failed_calls += reply.outcome != store::call_outcome::kOk;
  if (reply.outcome != store::call_outcome::kOk)
    return;
  if (reply.id == delete_call_)
    ++counters_.deleted;
  if (reply.id != list_call_)
    return;
  for (const store::object& object : reply.listed)
    ExamineClaim(object, wall_now);
}

void claim_sweeper::ExamineClaim(const store::object& object,
                                 base::wall_time wall_now) {
  ++counters_.listed;
  const auto claim = DecodeClaim(object.value);
  if (!claim)
    ++counters_.unreadable;
  else if (wall_now < claim->expires + settings_.grace)
    return;
  else if (expired_claims_.size() >= kMaxQueuedDeletions)
    ++counters_.deferred;
  else
    expired_claims_.push_back({object.key, object.version});
}

}  // namespace flamingoshunt::delivery
