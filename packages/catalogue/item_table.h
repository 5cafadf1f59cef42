// Defines the set of catalogue items that a node holds, in which each item only
// ever gives way to a newer one, whatever source offers it. Tombstones stay, so
// that an old peer or a late event cannot bring a deleted item back.
#ifndef FLAMINGOSHUNT_CATALOGUE_ITEM_TABLE_H_
#define FLAMINGOSHUNT_CATALOGUE_ITEM_TABLE_H_

#include <map>

#include "catalogue/stored_item.h"

namespace flamingoshunt::catalogue {

inline constexpr std::size_t kMaxTombstones = 1024;  // items
inline constexpr std::size_t kMaxItems = 11000;      // items, without these

class item_table {
 public:
  enum class offer_result { kTaken, kSame, kOlder, kFull };

  /// Takes @p item if it is newer than the one held.
  offer_result Offer(const stored_item& item);

  const stored_item* Find(const store::object_key& key) const;
  const std::map<store::object_key, stored_item>& items() const {
    return items_;
  }

  /// @return the highest generation ever held; never falls.
  std::uint64_t version() const { return version_; }

  /// @return a hash of all live items, independent of how they were learnt;
  ///         equal on two nodes exactly when both hold the same catalogue, but
  ///         for collisions of 64 bits.
  std::uint64_t digest() const { return digest_; }

  /// @return the catalogue as the rest of the node uses it.
  snapshot_ptr Snapshot() const;

 private:
  void DropOldestTombstone();

  std::map<store::object_key, stored_item> items_;
  std::size_t tombstones_ = 0;
  std::uint64_t version_ = 0;
  std::uint64_t digest_ = 0;
};

}  // namespace flamingoshunt::catalogue

#endif  // FLAMINGOSHUNT_CATALOGUE_ITEM_TABLE_H_
