#include "catalogue/item_table.h"

#include <algorithm>

#include "base/hash.h"

namespace flamingoshunt::catalogue {
namespace {

// Contribution of one item to the digest, which is their exclusive or.
std::uint64_t DigestOf(const stored_item& item) {
  if (!item.spec)
    return 0;
  return base::Hash64(item.key.kind + '/' + item.key.name + '/' + item.writer,
                      item.generation);
}

}  // namespace

item_table::offer_result item_table::Offer(const stored_item& item) {
  const auto found = items_.find(item.key);
  const bool held = found != items_.end();
  if (held && found->second == item)
    return offer_result::kSame;
  if (held && !IsNewer(item, found->second))
    return offer_result::kOlder;
  if (!held && item.spec && items_.size() - tombstones_ >= kMaxItems)
    return offer_result::kFull;
  if (held) {
    digest_ ^= DigestOf(found->second);
    tombstones_ -= found->second.spec ? 0 : 1;
  }
  digest_ ^= DigestOf(item);
  tombstones_ += item.spec ? 0 : 1;
  version_ = std::max(version_, item.generation);
  items_[item.key] = item;
  if (tombstones_ > kMaxTombstones)
    DropOldestTombstone();
  return offer_result::kTaken;
}

const stored_item* item_table::Find(const store::object_key& key) const {
  const auto found = items_.find(key);
  return found == items_.end() ? nullptr : &found->second;
}

snapshot_ptr item_table::Snapshot() const {
  auto whole = std::make_shared<snapshot>();
  whole->version = base::revision(version_);
  for (const auto& [key, item] : items_) {
    if (!item.spec)
      continue;
    if (const auto* spec = std::get_if<entry>(&*item.spec))
      whole->entries.emplace(spec->name, *spec);
    else if (const auto* other = std::get_if<workspace>(&*item.spec))
      whole->workspaces.emplace(other->id, *other);
  }
  return whole;
}

void item_table::DropOldestTombstone() {
  auto oldest = items_.end();
  for (auto at = items_.begin(); at != items_.end(); ++at) {
    const bool older = oldest == items_.end() ||
                       at->second.generation < oldest->second.generation;
    if (!at->second.spec && older)
      oldest = at;
  }
  items_.erase(oldest);
  --tombstones_;
}

}  // namespace flamingoshunt::catalogue
