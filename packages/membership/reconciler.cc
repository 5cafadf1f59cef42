#include "membership/reconciler.h"

#include <algorithm>
#include <bitset>
#include <unordered_map>

namespace flamingoshunt::membership {
namespace {

// News under way make digests differ for a moment; a node that itself heard
// news this recently waits for the next probe.
constexpr base::duration kSettling = std::chrono::milliseconds(300);
constexpr base::duration kUnsettledLimit = std::chrono::seconds(5);
constexpr base::duration kSyncPause = std::chrono::milliseconds(700);
constexpr base::duration kSyncTimeout = std::chrono::seconds(2);
constexpr int kMaxRounds = 32;              // of one reconciliation
constexpr std::size_t kMaxPacketItems = 3;  // of full size
constexpr std::size_t kMemberBytes = 160;   // a member in JSON
constexpr std::size_t kItemBytes = 120;     // an item without its value

using bucket_set = std::bitset<kDigestBuckets>;

std::size_t RoughSize(const updates& news) {
  std::size_t size = news.members.size() * kMemberBytes;
  for (const item& each : news.items)
    size += kItemBytes + each.value.size();
  return size;
}

// Adds the record, if it is known and there is room.
// @return false when the packet is full.
bool AddRecord(const core& shared, record_id id, updates& packet) {
  static_assert(kMaxPacketItems * kMaxItemValue < kMaxPacketRecords);
  if (RoughSize(packet) > kMaxPacketItems * kMaxItemValue)
    return false;
  if (const member_record* member = shared.members.Find(id))
    packet.members.push_back(member->known);
  else if (const item_record* kept = shared.items.Find(id))
    packet.items.push_back(kept->kept);
  return true;
}

// All records of the buckets wanted; those that are gone too, since the other
// may hold them for live.
std::vector<record_stamp> StampsOf(const core& shared, const bucket_set& in) {
  std::vector<record_stamp> stamps;
  for (const auto& [id, record] : shared.members.all()) {
    if (in[table_digest::BucketOf(record.id)])
      stamps.push_back(
          {record.id, VersionOf(record.known), !IsLive(record.known.state)});
  }
  for (const auto& [id, record] : shared.items.all()) {
    const bool gone = record.kept.value.empty() ||
                      !shared.items.IsOriginLive(record.kept.origin);
    if (in[table_digest::BucketOf(id)])
      stamps.push_back({id, record.kept.version, gone});
  }
  std::sort(stamps.begin(), stamps.end(),
            [](const record_stamp& left, const record_stamp& right) {
              return left.id < right.id;
            });
  return stamps;
}

}  // namespace

reconciler::reconciler(core& shared, learner& learn)
    : core_(shared), learner_(learn) {}

void reconciler::OnDigest(const base::node_id& from,
                          std::uint64_t peer_digest,
                          base::time_point now) {
  if (peer_digest == core_.digest.whole())
    return;
  const base::duration since_sync = now - last_sync_;
  const bool settled = now - core_.last_change >= kSettling;
  if (synced_ &&
      (since_sync < kSyncPause || (!settled && since_sync < kUnsettledLimit)))
    return;
  StartSync(from, 0, now);
}

void reconciler::StartSync(const base::node_id& with,
                           int round,
                           base::time_point now) {
  const member_record* target = core_.members.Find(with);
  if (!target || round >= kMaxRounds)
    return;
  synced_ = true;
  last_sync_ = now;
  ++core_.counters.syncs;
  core_.Call(target->known, sync{core_.digest.buckets()}, kSyncTimeout,
             sync_call{round}, now);
}

sync_answer reconciler::OnSync(const sync& asked) const {
  const bucket_digests& own = core_.digest.buckets();
  sync_answer differing;
  for (std::uint32_t bucket = 0; bucket < kDigestBuckets; ++bucket) {
    if (asked.buckets[bucket] == own[bucket])
      continue;
    bucket_set one;
    one.set(bucket);
    const auto stamps = StampsOf(core_, one);
    const bool fits = differing.stamps.size() + stamps.size() <= kMaxStamps;
    if (!fits && !differing.buckets.empty()) {
      differing.more = true;
      break;
    }
    differing.buckets.push_back(bucket);
    differing.stamps.insert(differing.stamps.end(), stamps.begin(),
                            stamps.end());
  }
  return differing;
}

void reconciler::OnSyncAnswer(const base::node_id& from,
                              const sync_answer& given,
                              const sync_call& reason,
                              base::time_point now) {
  std::unordered_map<record_id, record_stamp> theirs;
  for (const record_stamp& stamp : given.stamps)
    theirs.emplace(stamp.id, stamp);
  bucket_set buckets;
  for (const std::uint32_t bucket : given.buckets)
    buckets.set(bucket);

  exchange trade;
  exchange_call next{reason.round + 1, given.more};
  for (const record_stamp& mine : StampsOf(core_, buckets)) {
    const auto found = theirs.find(mine.id);
    if (found == theirs.end()) {
      if (!mine.gone && !AddRecord(core_, mine.id, trade.offered))
        next.more = true;
      continue;
    }
    const std::uint64_t version = found->second.version;
    if (mine.version > version && !AddRecord(core_, mine.id, trade.offered))
      next.more = true;
    if (mine.version >= version)
      theirs.erase(found);
  }
  for (const record_stamp& stamp : given.stamps) {
    const auto found = theirs.find(stamp.id);
    if (found == theirs.end())
      continue;
    const bool known =
        core_.members.Find(stamp.id) || core_.items.Find(stamp.id);
    if (stamp.gone && !known)
      continue;
    if (trade.wanted.size() >= kMaxWanted) {
      next.more = true;
      break;
    }
    trade.wanted.push_back(stamp.id);
  }
  const member_record* target = core_.members.Find(from);
  if (!target || (trade.offered.empty() && trade.wanted.empty()))
    return;
  core_.Call(target->known, std::move(trade), kSyncTimeout, next, now);
}

exchange_answer reconciler::OnExchange(const exchange& given,
                                       const base::node_id& from,
                                       base::time_point now) {
  exchange_answer found;
  for (const record_id id : given.wanted) {
    if (!AddRecord(core_, id, found.carried))
      break;
  }
  learner_.Learn(given.offered, from, now);
  return found;
}

void reconciler::OnExchangeAnswer(const base::node_id& from,
                                  const exchange_answer& given,
                                  const exchange_call& reason,
                                  base::time_point now) {
  learner_.Learn(given.carried, from, now);
  if (reason.more)
    StartSync(from, reason.round, now);
}

}  // namespace flamingoshunt::membership
