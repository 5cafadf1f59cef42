// Defines the checks that a catalogue passes before it is accepted and that go
// beyond the form of single fields: names, what engines and services need, call
// rules that contradict each other, keys that two workspaces share.
#ifndef FLAMINGOSHUNT_CATALOGUE_CHECK_H_
#define FLAMINGOSHUNT_CATALOGUE_CHECK_H_

#include "base/checked_json.h"
#include "catalogue/entry_json.h"

namespace flamingoshunt::catalogue {

inline constexpr std::size_t kMaxNameLength = 63;     // characters
inline constexpr std::size_t kMaxEntries = 1000;      // entries
inline constexpr std::size_t kMaxWorkspaces = 10000;  // workspaces
inline constexpr std::size_t kMaxKeysPerWorkspace = 16;
inline constexpr std::size_t kMaxAdapters = 64;     // adapters an entry
inline constexpr std::size_t kMaxCallRules = 64;    // rules an entry
inline constexpr std::size_t kMaxItemBytes = 3500;  // fits one peer item

/// Adds every problem of one entry by itself.
void CheckEntry(const entry& item,
                const std::string& path,
                base::json_problems& problems);

/// Adds every problem of one workspace by itself.
void CheckWorkspace(const workspace& item,
                    const std::string& path,
                    base::json_problems& problems);

/// Adds every problem of a whole catalogue, those of its parts included.
void CheckDocument(const document& whole, base::json_problems& problems);

/// Parses and checks a whole catalogue file.
/// @throws base::json_document_error with every problem.
document ReadDocument(std::string_view text);

}  // namespace flamingoshunt::catalogue

#endif  // FLAMINGOSHUNT_CATALOGUE_CHECK_H_
