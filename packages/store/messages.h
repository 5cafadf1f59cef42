// Defines the messages of the platform's object API as the product uses them:
// objects with versions, conditional writes, and watches. Versions are
// revisions of the whole store: every write anywhere raises the number, and an
// object's version is the revision of its last write.
#ifndef FLAMINGOSHUNT_STORE_MESSAGES_H_
#define FLAMINGOSHUNT_STORE_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace flamingoshunt::store {

/// Counts how often the platform was restored from a copy; a revision orders
/// two states only within one era. Empty where the platform names none.
using era = std::optional<std::uint64_t>;

/// Names one object. Kinds in use: "entry", "workspace", "instance",
/// "allocation", "claim-00" to "claim-ff", "node", "roster" and "drain".
struct object_key {
  std::string kind;
  std::string name;
  // The linter takes the rewritten comparison with zero for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const object_key&) const = default;
};

struct object {
  object_key key;
  base::revision version;
  /// JSON text, at most 1 MiB; another writer's may be no JSON at all.
  std::string value;
  bool operator==(const object&) const = default;
};

enum class operation { kGet, kList, kCreate, kUpdate, kDelete };

/// Who goes first when the call budget is short.
enum class call_priority { kRequestPath, kControl, kBackground };

using call_id = base::number_id<struct call_tag>;
using watch_id = base::number_id<struct watch_tag>;

/// One call of the object API.
struct call {
  call_id id;
  operation op = operation::kGet;
  object_key key;  ///< For kList only the kind counts.
  /// Version that must be current for kUpdate and kDelete to apply.
  base::revision expected;
  std::string value;  ///< For kCreate and kUpdate.
  call_priority priority = call_priority::kControl;
  base::duration timeout = std::chrono::seconds(2);
};

enum class call_outcome {
  kOk,
  kNotFound,
  kConflict,     ///< Exists already, or another version is current.
  kInvalid,      ///< The platform refuses the call as malformed.
  kUnavailable,  ///< Surely not applied: refused, or never sent.
  kUnknown       ///< A write that may have been applied, now or later.
};

struct reply {
  call_id id;
  call_outcome outcome = call_outcome::kUnavailable;
  /// The object after a kOk get or write; the current one after a kConflict
  /// where the platform tells it.
  std::optional<object> current;
  std::vector<object> listed;  ///< For kList, sorted by name.
  base::revision store_revision;
  era platform_era = std::nullopt;
};

/// Asks for every change of @p kind after @p after.
struct watch_request {
  watch_id id;
  std::string kind;
  base::revision after;
};

enum class watch_event_kind {
  kPut,
  kDelete,
  kBookmark,  ///< Nothing changed up to this revision.
  kGap        ///< The history is gone: list again, then watch from there.
};

struct watch_event {
  watch_id id;
  watch_event_kind kind = watch_event_kind::kBookmark;
  object changed;  ///< For kDelete the key and the revision of the deletion.
  era platform_era = std::nullopt;
};

/// The watch's connection ended; nothing is lost until the next one starts
/// after the last revision seen.
struct watch_ended {
  watch_id id;
  /// How long the platform had been silent on the connection: no probe was
  /// answered, or an answer was overdue; zero when the host closed it.
  base::duration host_silent{};
};

}  // namespace flamingoshunt::store

#endif  // FLAMINGOSHUNT_STORE_MESSAGES_H_
