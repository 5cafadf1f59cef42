#include "delivery/claim_sweeper.h"

#include <algorithm>
#include <string>

#include "delivery/claim_record.h"
#include "delivery/errors.h"

namespace flamingoshunt::delivery {
namespace {

constexpr std::size_t kMaxPending = 1024;  // expired claims held at a time

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
  expired_.clear();
  listing_ = {};
  deleting_ = {};
  list_at_ = now;
  delete_at_ = now;
}

std::optional<base::time_point> claim_sweeper::NextTimer() const {
  if (!leading_)
    return std::nullopt;
  return expired_.empty() ? list_at_ : std::min(list_at_, delete_at_);
}

std::vector<store::call> claim_sweeper::Tick(base::time_point now) {
  std::vector<store::call> calls;
  if (!leading_)
    return calls;
  if (now >= list_at_)
    calls.push_back(ListNext(now));
  if (now >= delete_at_ && !expired_.empty())
    calls.push_back(DeleteNext(now));
  return calls;
}

store::call claim_sweeper::ListNext(base::time_point now) {
  list_at_ = now + settings_.round / kClaimBuckets;
  listing_ = ids_.NextCall();
  store::call call;
  call.id = listing_;
  call.op = store::operation::kList;
  call.key.kind = ClaimKind(bucket_);
  call.priority = store::call_priority::kBackground;
  call.timeout = settings_.call_timeout;
  bucket_ = (bucket_ + 1) % kClaimBuckets;
  return call;
}

store::call claim_sweeper::DeleteNext(base::time_point now) {
  delete_at_ = now + base::duration(std::chrono::seconds(1)) /
                         settings_.deletions_per_second;
  deleting_ = ids_.NextCall();
  store::call call;
  call.id = deleting_;
  call.op = store::operation::kDelete;
  call.key = expired_.front().key;
  call.expected = expired_.front().version;
  call.priority = store::call_priority::kBackground;
  call.timeout = settings_.call_timeout;
  expired_.pop_front();
  return call;
}

// A deletion that failed or whose answer was lost is not repeated: the next
// round sees whether the claim is still there.
void claim_sweeper::Handle(const store::reply& reply,
                           base::wall_time wall_now) {
  if (reply.id == deleting_ || reply.id == listing_)
    counters_.failed_calls += reply.outcome != store::call_outcome::kOk;
  if (reply.outcome != store::call_outcome::kOk)
    return;
  if (reply.id == deleting_)
    ++counters_.deleted;
  if (reply.id != listing_)
    return;
  for (const store::object& object : reply.listed)
    Consider(object, wall_now);
}

void claim_sweeper::Consider(const store::object& object,
                             base::wall_time wall_now) {
  ++counters_.listed;
  const auto claim = ReadClaim(object.value);
  if (!claim)
    ++counters_.unreadable;
  else if (wall_now < claim->expires + settings_.grace)
    return;
  else if (expired_.size() >= kMaxPending)
    ++counters_.put_off;
  else
    expired_.push_back({object.key, object.version});
}

}  // namespace flamingoshunt::delivery
