// Defines how entries and workspaces are written as JSON, in catalogue files,
// in platform objects and between peers. Reading collects every problem with
// its key path; writing omits nothing, so that text -> entry -> text is stable.
#ifndef FLAMINGOSHUNT_CATALOGUE_ENTRY_JSON_H_
#define FLAMINGOSHUNT_CATALOGUE_ENTRY_JSON_H_

#include <boost/json.hpp>

#include <string>
#include <string_view>
#include <vector>

#include "base/checked_json.h"
#include "catalogue/entry.h"

namespace flamingoshunt::catalogue {

/// What a catalogue file holds.
struct document {
  std::vector<entry> entries;
  std::vector<workspace> workspaces;
  bool operator==(const document&) const = default;
};

boost::json::object ToJson(const entry& item);
boost::json::object ToJson(const workspace& item);
boost::json::object ToJson(const document& whole);

/// @param path key path of @p json, for problems.
/// @return the entry; only of use when no problem was added.
entry ParseEntry(const boost::json::value& json,
                 const std::string& path,
                 base::json_problems& problems);

workspace ParseWorkspace(const boost::json::value& json,
                         const std::string& path,
                         base::json_problems& problems);

/// Reads {"entries": [...], "workspaces": [...]}; cross checks are in check.h.
document ParseDocument(std::string_view text, base::json_problems& problems);

}  // namespace flamingoshunt::catalogue

#endif  // FLAMINGOSHUNT_CATALOGUE_ENTRY_JSON_H_
