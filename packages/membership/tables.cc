#include "membership/tables.h"

#include <algorithm>
#include <array>
#include <cstring>

#include "base/hash.h"

namespace flamingoshunt::membership {
namespace {

constexpr char kSeparator = '\x1f';
constexpr std::uint64_t kStates = 4;

std::uint64_t HashOf(record_id id, std::uint64_t version) {
  const std::array<std::uint64_t, 2> numbers = {id.value(), version};
  std::array<char, sizeof(numbers)> bytes{};
  std::memcpy(bytes.data(), numbers.data(), sizeof(numbers));
  return base::Hash64({bytes.data(), bytes.size()});
}

}  // namespace

record_id MemberRecordId(const base::node_id& id) {
  return record_id(base::Hash64("member" + (kSeparator + id.str())));
}

record_id ItemRecordId(const std::string& topic,
                       const std::string& key,
                       const base::node_id& origin) {
  std::string text = "item";
  for (const std::string* part : {&topic, &key, &origin.str()})
    text += kSeparator + *part;
  return record_id(base::Hash64(text));
}

std::uint64_t VersionOf(const peer& member) {
  return member.incarnation * kStates +
         static_cast<std::uint64_t>(member.state);
}

bool IsLive(peer_state state) {
  return state == peer_state::kAlive || state == peer_state::kSuspect;
}

void table_digest::Toggle(record_id id, std::uint64_t version) {
  const std::uint64_t hash = HashOf(id, version);
  whole_ ^= hash;
  buckets_[BucketOf(id)] ^= static_cast<std::uint32_t>(hash);
}

std::uint32_t table_digest::BucketOf(record_id id) {
  return static_cast<std::uint32_t>(id.value() % kDigestBuckets);
}

member_table::member_table(base::node_id self, table_digest& digest)
    : self_(std::move(self)), digest_(digest) {}

const member_record* member_table::Find(const base::node_id& id) const {
  const auto found = records_.find(id);
  return found == records_.end() ? nullptr : &found->second;
}

const member_record* member_table::Find(record_id id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : Find(found->second);
}

bool member_table::Apply(const peer& claim, base::time_point now) {
  const auto found = records_.find(claim.id);
  const bool known = found != records_.end();
  if (known && VersionOf(claim) <= VersionOf(found->second.known))
    return false;
  if (!known && (!IsLive(claim.state) || records_.size() >= kMaxMembers))
    return false;
  member_record& record = known ? found->second : records_[claim.id];
  if (known && IsLive(record.known.state))
    digest_.Toggle(record.id, VersionOf(record.known));
  if (!known) {
    record.id = MemberRecordId(claim.id);
    record.position = base::Hash64(claim.id.str());
    by_id_[record.id] = claim.id;
  }
  record.known = claim;
  record.since = now;
  if (IsLive(claim.state))
    digest_.Toggle(record.id, VersionOf(claim));
  stale_ = true;
  return true;
}

bool member_table::TakeForwarding(const base::node_id& id,
                                  std::uint64_t version) {
  const auto found = records_.find(id);
  if (found == records_.end() || found->second.forwarded >= version)
    return false;
  found->second.forwarded = version;
  return true;
}

void member_table::Rebuild() const {
  if (!stale_)
    return;
  stale_ = false;
  live_.clear();
  regions_.clear();
  for (const auto& [id, record] : records_) {
    if (id != self_ && IsLive(record.known.state))
      live_.push_back(&record);
  }
  std::sort(live_.begin(), live_.end(),
            [](const member_record* left, const member_record* right) {
              return left->position < right->position;
            });
  for (const member_record* record : live_)
    regions_[record->known.region].push_back(record);
}

const std::vector<const member_record*>& member_table::Live() const {
  Rebuild();
  return live_;
}

const std::vector<const member_record*>& member_table::LiveIn(
    const base::region_id& region) const {
  static const std::vector<const member_record*> none;
  Rebuild();
  const auto found = regions_.find(region);
  return found == regions_.end() ? none : found->second;
}

std::vector<base::region_id> member_table::Regions() const {
  Rebuild();
  std::vector<base::region_id> regions;
  for (const auto& [region, members] : regions_)
    regions.push_back(region);
  return regions;
}

std::vector<const member_record*> member_table::Dead() const {
  std::vector<const member_record*> dead;
  for (const auto& [id, record] : records_) {
    if (record.known.state == peer_state::kDead)
      dead.push_back(&record);
  }
  // The map's order depends on its history, which a replay must not.
  std::sort(dead.begin(), dead.end(),
            [](const member_record* left, const member_record* right) {
              return left->position < right->position;
            });
  return dead;
}

void member_table::Forget(base::time_point now, base::duration retention) {
  for (auto next = records_.begin(); next != records_.end();) {
    const member_record& record = next->second;
    const bool gone = !IsLive(record.known.state);
    if (!gone || record.known.id == self_ || now - record.since < retention) {
      ++next;
      continue;
    }
    by_id_.erase(record.id);
    next = records_.erase(next);
    stale_ = true;
  }
}

item_table::item_table(table_digest& digest) : digest_(digest) {}

const item_record* item_table::Find(record_id id) const {
  const auto found = records_.find(id);
  return found == records_.end() ? nullptr : &found->second;
}

bool item_table::IsOriginLive(const base::node_id& origin) const {
  const auto found = origins_.find(origin);
  return found != origins_.end() && found->second.live;
}

bool item_table::Counts(const item_record& record) const {
  return !record.kept.value.empty() && IsOriginLive(record.kept.origin);
}

void item_table::ToggleIfCounted(const item_record& record) {
  if (Counts(record))
    digest_.Toggle(record.id, record.kept.version);
}

bool item_table::HasRoom(const item& claim, const item_record* known) const {
  if (claim.value.size() > kMaxItemValue)
    return false;
  const std::size_t freed = known ? known->kept.value.size() : 0;
  if (bytes_ - freed + claim.value.size() > kMaxItemBytes)
    return false;
  if (known)
    return true;
  const auto origin = origins_.find(claim.origin);
  return records_.size() < kMaxItems &&
         (origin == origins_.end() ||
          origin->second.items.size() < kMaxItemsPerOrigin);
}

item_verdict item_table::Apply(const item& claim, base::time_point now) {
  const record_id id = ItemRecordId(claim.topic, claim.key, claim.origin);
  const auto found = records_.find(id);
  const bool known = found != records_.end();
  if (known && claim.version <= found->second.kept.version)
    return item_verdict::kOld;
  if (!HasRoom(claim, known ? &found->second : nullptr))
    return item_verdict::kRefused;
  item_record& record = known ? found->second : records_[id];
  if (known) {
    ToggleIfCounted(record);
    bytes_ -= record.kept.value.size();
  } else {
    record.id = id;
    const auto [origin, added] = origins_.try_emplace(claim.origin);
    if (added)
      origin->second.since = now;
    origin->second.items.push_back(id);
  }
  record.kept = claim;
  record.since = now;
  bytes_ += claim.value.size();
  ToggleIfCounted(record);
  return item_verdict::kTaken;
}

bool item_table::TakeForwarding(record_id id, std::uint64_t version) {
  const auto found = records_.find(id);
  if (found == records_.end() || found->second.forwarded >= version)
    return false;
  found->second.forwarded = version;
  return true;
}

void item_table::SetOriginLive(const base::node_id& origin,
                               bool live,
                               base::time_point now) {
  origin_state& state = origins_[origin];
  if (state.live == live)
    return;
  for (const record_id id : state.items)
    ToggleIfCounted(records_.at(id));
  state.live = live;
  state.since = now;
  for (const record_id id : state.items)
    ToggleIfCounted(records_.at(id));
}

void item_table::Forget(base::time_point now, base::duration retention) {
  for (auto next = origins_.begin(); next != origins_.end();) {
    origin_state& origin = next->second;
    const bool origin_gone = !origin.live && now - origin.since >= retention;
    std::erase_if(origin.items, [&](record_id id) {
      const item_record& record = records_.at(id);
      const bool withdrawn =
          record.kept.value.empty() && now - record.since >= retention;
      if (!origin_gone && !withdrawn)
        return false;
      bytes_ -= record.kept.value.size();
      records_.erase(id);
      return true;
    });
    next = origin_gone ? origins_.erase(next) : std::next(next);
  }
}

}  // namespace flamingoshunt::membership
