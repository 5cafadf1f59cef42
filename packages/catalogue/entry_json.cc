#include "catalogue/entry_json.h"

#include <utility>

namespace flamingoshunt::catalogue {
namespace {

using base::object_reader;

constexpr double kMaxRate = 1e9;          // requests or tokens a second
constexpr int kMaxConcurrency = 1000000;  // requests
constexpr int kMaxReplicas = 100000;
constexpr int kMaxMembers = 1024;      // instances a replica
constexpr int kMaxSlots = 100000;      // requests in flight a replica
constexpr double kMinWeight = 0.001;   // share
constexpr double kMaxWeight = 1000.0;  // share

constexpr const char* kWorkNames[] = {"interactive", "standard", "batch"};
constexpr const char* kKindNames[] = {"engine", "service"};

work_class ParseWork(object_reader& reader,
                     std::string_view key,
                     work_class fallback) {
  return static_cast<work_class>(
      reader.Choice(key, {kWorkNames[0], kWorkNames[1], kWorkNames[2]},
                    static_cast<std::size_t>(fallback)));
}

boost::json::object ToJson(const limits& limit) {
  return {{"requests_per_second", limit.requests_per_second},
          {"tokens_per_second", limit.tokens_per_second},
          {"concurrency", limit.concurrency}};
}

limits ParseLimits(object_reader& parent, base::json_problems& problems) {
  limits limit;
  const boost::json::value* json = parent.Child("limits");
  if (!json)
    return limit;
  object_reader reader(*json, parent.PathOf("limits"), problems);
  limit.requests_per_second =
      reader.Number("requests_per_second", 0, kMaxRate, 0);
  limit.tokens_per_second = reader.Number("tokens_per_second", 0, kMaxRate, 0);
  limit.concurrency =
      static_cast<int>(reader.Integer("concurrency", 0, kMaxConcurrency, 0));
  reader.Finish();
  return limit;
}

call_rule ParseRule(const boost::json::value& json,
                    const std::string& path,
                    base::json_problems& problems) {
  object_reader reader(json, path, problems);
  call_rule rule;
  rule.method = reader.String("method");
  rule.path_prefix = reader.String("path_prefix");
  if (!reader.Has("repeatable"))
    reader.Report("repeatable", "is required: true or false");
  rule.repeatable = reader.Boolean("repeatable", false);
  reader.Finish();
  return rule;
}

boost::json::array ToArray(const std::vector<std::string>& texts) {
  return boost::json::array(texts.begin(), texts.end());
}

int ParseCount(object_reader& reader,
               std::string_view key,
               int low,
               int high,
               int fallback) {
  return static_cast<int>(reader.Integer(key, low, high, fallback));
}

}  // namespace

boost::json::object ToJson(const entry& item) {
  boost::json::array rules;
  for (const call_rule& rule : item.call_rules) {
    rules.push_back(boost::json::object{{"method", rule.method},
                                        {"path_prefix", rule.path_prefix},
                                        {"repeatable", rule.repeatable}});
  }
  return {{"name", item.name.str()},
          {"owner", item.owner},
          {"kind", kKindNames[static_cast<int>(item.kind)]},
          {"class", kWorkNames[static_cast<int>(item.work)]},
          {"model", item.model},
          {"version", item.version},
          {"adapters", ToArray(item.adapters)},
          {"replicas", item.replicas},
          {"members_per_replica", item.members_per_replica},
          {"slots_per_replica", item.slots_per_replica},
          {"checks_fencing", item.checks_fencing},
          {"limits", ToJson(item.limit)},
          {"call_rules", std::move(rules)}};
}

boost::json::object ToJson(const workspace& item) {
  return {{"id", item.id.str()},
          {"owner", item.owner},
          {"key_hashes", ToArray(item.key_hashes)},
          {"weight", item.weight},
          {"best_class", kWorkNames[static_cast<int>(item.best_class)]},
          {"limits", ToJson(item.limit)}};
}

boost::json::object ToJson(const document& whole) {
  boost::json::array entries;
  for (const entry& item : whole.entries)
    entries.push_back(ToJson(item));
  boost::json::array workspaces;
  for (const workspace& item : whole.workspaces)
    workspaces.push_back(ToJson(item));
  return {{"entries", std::move(entries)},
          {"workspaces", std::move(workspaces)}};
}

entry ParseEntry(const boost::json::value& json,
                 const std::string& path,
                 base::json_problems& problems) {
  object_reader reader(json, path, problems);
  entry item;
  item.name = base::entry_name(reader.String("name"));
  item.owner = reader.String("owner");
  item.kind = static_cast<entry_kind>(
      reader.Choice("kind", {kKindNames[0], kKindNames[1]}));
  item.work = ParseWork(reader, "class", work_class::kStandard);
  item.model = reader.String("model", "");
  item.version = reader.String("version");
  item.adapters = reader.Strings("adapters");
  item.replicas = ParseCount(reader, "replicas", 0, kMaxReplicas, 1);
  item.members_per_replica =
      ParseCount(reader, "members_per_replica", 1, kMaxMembers, 1);
  item.slots_per_replica =
      ParseCount(reader, "slots_per_replica", 1, kMaxSlots, 8);
  item.checks_fencing = reader.Boolean("checks_fencing", false);
  item.limit = ParseLimits(reader, problems);
  reader.Each("call_rules", [&](const boost::json::value& element,
                                const std::string& rule_path) {
    item.call_rules.push_back(ParseRule(element, rule_path, problems));
  });
  reader.Finish();
  return item;
}

workspace ParseWorkspace(const boost::json::value& json,
                         const std::string& path,
                         base::json_problems& problems) {
  object_reader reader(json, path, problems);
  workspace item;
  item.id = base::workspace_id(reader.String("id"));
  item.owner = reader.String("owner");
  item.key_hashes = reader.Strings("key_hashes", true);
  item.weight = reader.Number("weight", kMinWeight, kMaxWeight, 1);
  item.best_class = ParseWork(reader, "best_class", work_class::kInteractive);
  item.limit = ParseLimits(reader, problems);
  reader.Finish();
  return item;
}

document ParseDocument(std::string_view text, base::json_problems& problems) {
  document whole;
  const auto json = base::ParseJson(text, problems);
  if (!json)
    return whole;
  object_reader reader(*json, "", problems);
  reader.Each(
      "entries",
      [&](const boost::json::value& element, const std::string& path) {
        whole.entries.push_back(ParseEntry(element, path, problems));
      },
      true);
  reader.Each(
      "workspaces",
      [&](const boost::json::value& element, const std::string& path) {
        whole.workspaces.push_back(ParseWorkspace(element, path, problems));
      },
      true);
  reader.Finish();
  return whole;
}

}  // namespace flamingoshunt::catalogue
