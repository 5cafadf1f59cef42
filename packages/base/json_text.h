// Defines how a JSON document is taken apart without being read, so that a part
// that can't be read costs only itself: bytes that aren't UTF-8, escapes that
// name no character and nesting that is too deep for the parser are left to
// whoever reads that part.
//
//   const auto members = SplitJsonObject(R"({"items": [1, [[[]]]], "more":
//   0})"); SplitJsonArray(members->at("items"))  holds  "1" and "[[[]]]"
#ifndef FLAMINGOSHUNT_BASE_JSON_TEXT_H_
#define FLAMINGOSHUNT_BASE_JSON_TEXT_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flamingoshunt::base {

/// Values by key, as they stand in the document; the last one of equal keys.
using json_members = std::map<std::string, std::string_view, std::less<>>;

/// @return views into @p text; nothing unless it is one object whose brackets
///         and quotes match.
std::optional<json_members> SplitJsonObject(std::string_view text);

/// @return views into @p text; nothing unless it is one array whose brackets
///         and quotes match.
std::optional<std::vector<std::string_view>> SplitJsonArray(
    std::string_view text);

}  // namespace flamingoshunt::base

#endif  // FLAMINGOSHUNT_BASE_JSON_TEXT_H_
