#include "catalogue/stored_item.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

#include "catalogue/check.h"

namespace flamingoshunt::catalogue {
namespace {

constexpr std::size_t kMaxWriter = 64;  // characters

std::string NameOf(const specification& spec) {
  if (const auto* item = std::get_if<entry>(&spec))
    return item->name.str();
  return std::get<workspace>(spec).id.str();
}

std::optional<specification> ParseSpec(const std::string& kind,
                                       const boost::json::value& json,
                                       base::json_problems& problems) {
  if (kind == kEntryKind) {
    entry item = ParseEntry(json, "spec", problems);
    if (problems.empty())
      CheckEntry(item, "spec", problems);
    return item;
  }
  if (kind == kWorkspaceKind) {
    workspace item = ParseWorkspace(json, "spec", problems);
    if (problems.empty())
      CheckWorkspace(item, "spec", problems);
    return item;
  }
  problems.push_back({"(kind)", kind, "must be one of: entry, workspace"});
  return std::nullopt;
}

}  // namespace

bool IsNewer(const stored_item& left, const stored_item& right) {
  if (left.generation != right.generation)
    return left.generation > right.generation;
  return left.writer > right.writer;
}

std::uint64_t NextGeneration(std::uint64_t replaced, base::wall_time now) {
  const auto since = now.time_since_epoch();
  const auto time =
      std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
  return std::max<std::uint64_t>(
      replaced + 1,
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, time)));
}

stored_item Stored(const entry& spec,
                   std::uint64_t generation,
                   std::string writer) {
  return {{std::string(kEntryKind), spec.name.str()},
          generation,
          std::move(writer),
          spec};
}

stored_item Stored(const workspace& spec,
                   std::uint64_t generation,
                   std::string writer) {
  return {{std::string(kWorkspaceKind), spec.id.str()},
          generation,
          std::move(writer),
          spec};
}

stored_item Tombstone(store::object_key key,
                      std::uint64_t generation,
                      std::string writer) {
  return {std::move(key), generation, std::move(writer), std::nullopt};
}

std::string EncodeStored(const stored_item& item) {
  boost::json::object json{{"generation", item.generation},
                           {"writer", item.writer}};
  if (item.spec) {
    json["spec"] =
        std::visit([](const auto& spec) { return ToJson(spec); }, *item.spec);
  } else {
    json["deleted"] = true;
  }
  return boost::json::serialize(json);
}

std::optional<stored_item> DecodeStored(const store::object_key& key,
                                        std::string_view text,
                                        base::json_problems& problems) {
  const auto json = base::ParseJson(text, problems);
  if (!json)
    return std::nullopt;
  base::object_reader reader(*json, "", problems);
  stored_item item;
  item.key = key;
  item.generation = static_cast<std::uint64_t>(reader.Integer(
      "generation", 1, std::numeric_limits<std::int64_t>::max() - 1));
  item.writer = reader.String("writer");
  if (item.writer.size() > kMaxWriter)
    reader.Report("writer", "must have at most 64 characters");
  const bool deleted = reader.Boolean("deleted", false);
  const boost::json::value* spec = reader.Child("spec", !deleted);
  if (spec && deleted)
    reader.Report("spec", "must not stand beside deleted");
  reader.Finish();
  if (spec && problems.empty())
    item.spec = ParseSpec(key.kind, *spec, problems);
  if (item.spec && problems.empty() && NameOf(*item.spec) != key.name)
    problems.push_back({"spec", NameOf(*item.spec),
                        "must bear the object's name " + key.name});
  if (!problems.empty())
    return std::nullopt;
  return item;
}

}  // namespace flamingoshunt::catalogue
