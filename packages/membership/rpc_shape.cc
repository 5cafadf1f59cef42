#include "membership/rpc_shape.h"

#include "base/checked_json.h"

namespace flamingoshunt::membership {
namespace {

using base::json_problems;
using base::object_reader;

std::string FirstOf(const json_problems& problems) {
  return problems.empty() ? std::string() : problems.front().Text();
}

// Reads the fields that both kinds share, then those of @p read.
template <class Read>
std::string ShapeProblem(std::string_view text, Read read) {
  json_problems problems;
  const auto json = base::ParseJson(text, problems);
  if (!json)
    return FirstOf(problems);
  object_reader reader(*json, "", problems);
  reader.Choice("jsonrpc", {"2.0"});
  reader.Integer("id", 1, 1);
  read(reader, problems);
  return FirstOf(problems);
}

void ReadError(object_reader& reader, json_problems& problems) {
  const boost::json::value* json = reader.Child("error");
  object_reader error(*json, "error", problems);
  const std::int64_t code = error.Integer("code", -99999, 99999);
  const std::string message = error.String("message", "");
  problems.insert(problems.begin(),
                  {"error", std::to_string(code), message.substr(0, 80)});
}

}  // namespace

std::string RequestShapeProblem(std::string_view text) {
  return ShapeProblem(text, [](object_reader& reader, json_problems&) {
    reader.String("method");
    reader.Strings("params", true);
    reader.Finish();
  });
}

std::string AnswerShapeProblem(std::string_view text) {
  return ShapeProblem(text, [](object_reader& reader, json_problems& problems) {
    if (reader.Has("error"))
      return ReadError(reader, problems);
    reader.Strings("result", true);
    reader.Finish();
  });
}

}  // namespace flamingoshunt::membership
