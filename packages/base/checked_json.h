// Defines the checked reading of JSON objects: a reader takes typed fields out
// of an object and collects every problem with its key path, the value found
// and what is allowed. Unknown keys are problems. Settings, catalogue entries
// and messages between processes are all read this way.
//
//   {"listen": {"port": 70000, "colour": 1}}   read with
//   object_reader listen(json, "listen", problems);
//   port = listen.Integer("port", 0, 65535);
//   listen.Finish();
//
// reports   listen.port: 70000: must be a whole number from 0 to 65535
//           listen.colour: 1: unknown key; known keys are: port
#ifndef FLAMINGOSHUNT_BASE_CHECKED_JSON_H_
#define FLAMINGOSHUNT_BASE_CHECKED_JSON_H_

#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/errors.h"

namespace flamingoshunt::base {

/// One thing wrong with a document.
struct json_problem {
  std::string path;     ///< Key path, as in "listen.port" or "entries[2]".
  std::string value;    ///< The value found, as JSON, cut to a readable length.
  std::string allowed;  ///< What would have been accepted.

  std::string Text() const { return path + ": " + value + ": " + allowed; }
  bool operator==(const json_problem&) const = default;
};

using json_problems = std::vector<json_problem>;

/// Thrown by callers that want one error for a whole document.
class json_document_error : public user_error {
 public:
  explicit json_document_error(json_problems problems);
  const json_problems& problems() const { return problems_; }

 private:
  json_problems problems_;
};

/// Parses @p text; a syntax error becomes a problem with path "(document)".
/// Depth is bounded, duplicate keys are problems of the reader's.
/// @return nothing when the text is not JSON.
std::optional<boost::json::value> ParseJson(std::string_view text,
                                            json_problems& problems);

/// Reads one object. Each getter marks its key as known; the variants with a
/// default accept a missing key, the others report it.
class object_reader {
 public:
  /// @param value the object; anything else is reported, and all getters then
  ///        return defaults without further problems.
  /// @param path key path of the object, empty for the document itself.
  object_reader(const boost::json::value& value,
                std::string path,
                json_problems& problems);

  bool Has(std::string_view key) const;

  std::string String(std::string_view key);
  std::string String(std::string_view key, std::string fallback);
  std::int64_t Integer(std::string_view key,
                       std::int64_t low,
                       std::int64_t high);
  std::int64_t Integer(std::string_view key,
                       std::int64_t low,
                       std::int64_t high,
                       std::int64_t fallback);
  double Number(std::string_view key, double low, double high);
  double Number(std::string_view key, double low, double high, double fallback);
  bool Boolean(std::string_view key, bool fallback);

  /// Reads a whole number of milliseconds.
  std::chrono::milliseconds Milliseconds(std::string_view key,
                                         std::chrono::milliseconds low,
                                         std::chrono::milliseconds high,
                                         std::chrono::milliseconds fallback);

  /// Reads a string that must be one of @p names.
  /// @return its index, or @p fallback when the key is missing.
  std::size_t Choice(std::string_view key,
                     std::initializer_list<std::string_view> names,
                     std::optional<std::size_t> fallback = std::nullopt);

  std::vector<std::string> Strings(std::string_view key, bool required = false);

  /// Calls @p each with every element of the array under @p key and its path.
  void Each(std::string_view key,
            const std::function<void(const boost::json::value&,
                                     const std::string&)>& each,
            bool required = false);

  /// @return the member object under @p key, or null when it is missing; a
  ///         missing key is reported only when @p required.
  const boost::json::value* Child(std::string_view key, bool required = false);

  /// @return the key path of @p key below this object.
  std::string PathOf(std::string_view key) const;

  /// Reports @p key with the value found there.
  void Report(std::string_view key, std::string allowed);

  /// Reports every key that no getter asked for.
  void Finish();

 private:
  const boost::json::value* Find(std::string_view key, bool required);
  void ReportValue(std::string_view key,
                   const boost::json::value& value,
                   std::string allowed);

  const boost::json::object* object_ = nullptr;
  std::string path_;
  json_problems& problems_;
  std::vector<std::string> known_;
};

}  // namespace flamingoshunt::base

#endif  // FLAMINGOSHUNT_BASE_CHECKED_JSON_H_
