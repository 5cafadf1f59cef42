// Defines how one entry or workspace stands in the platform and travels between
// peers: its specification with a generation and the token of its writer. The
// order of generations, not of store revisions, decides which of two is newer,
// so that it survives a platform restored from an old copy.
//
//   {"generation": 1764822000123, "writer": "f3a9...", "spec": {...}}
//   {"generation": 1764822000456, "writer": "0c11...", "deleted": true}
//
// A deletion is written as a tombstone: an object that is merely absent may
// have been lost by a platform that came back behind.
#ifndef FLAMINGOSHUNT_CATALOGUE_STORED_ITEM_H_
#define FLAMINGOSHUNT_CATALOGUE_STORED_ITEM_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/checked_json.h"
#include "base/clock.h"
#include "catalogue/entry.h"
#include "store/messages.h"

namespace flamingoshunt::catalogue {

inline constexpr std::string_view kEntryKind = "entry";
inline constexpr std::string_view kWorkspaceKind = "workspace";

using specification = std::variant<entry, workspace>;

struct stored_item {
  store::object_key key;  ///< Kind and name, as in the platform.
  std::uint64_t generation = 0;
  std::string writer;                 ///< Differs for every write.
  std::optional<specification> spec;  ///< Nothing: deleted.
  bool operator==(const stored_item&) const = default;
};

/// @return whether @p left replaces @p right, both of the same key. Equal
///         generations come from edits that did not know of each other; the
///         writer's token then decides, equally on every node.
bool IsNewer(const stored_item& left, const stored_item& right);

/// @return the generation of an edit that replaces @p replaced at @p now: the
///         time of day in milliseconds, but always above the one replaced.
///         The time only helps an edit made after the platform lost others to
///         stand above those; nothing else rests on it.
std::uint64_t NextGeneration(std::uint64_t replaced, base::wall_time now);

stored_item Stored(const entry& spec,
                   std::uint64_t generation,
                   std::string writer);
stored_item Stored(const workspace& spec,
                   std::uint64_t generation,
                   std::string writer);
stored_item Tombstone(store::object_key key,
                      std::uint64_t generation,
                      std::string writer);

std::string EncodeStored(const stored_item& item);

/// @return nothing, and problems, when @p text is not a checked item of
///         @p key.
std::optional<stored_item> DecodeStored(const store::object_key& key,
                                        std::string_view text,
                                        base::json_problems& problems);

}  // namespace flamingoshunt::catalogue

#endif  // FLAMINGOSHUNT_CATALOGUE_STORED_ITEM_H_
