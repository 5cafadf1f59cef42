#include "catalogue/check.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace flamingoshunt::catalogue {
namespace {

constexpr std::size_t kHashDigits = 64;      // of SHA-256 in hexadecimal
constexpr std::size_t kMaxTextLength = 253;  // owner, model, version, paths
constexpr std::size_t kMaxPrinted = 80;      // characters of a value
constexpr const char* kMethods[] = {"GET",  "HEAD",  "PUT",    "DELETE",
                                    "POST", "PATCH", "OPTIONS"};

// Adds problems below one path.
class checker {
 public:
  checker(const std::string& path, base::json_problems& problems)
      : path_(path), problems_(problems) {}

  void Require(bool good,
               const std::string& key,
               const std::string& value,
               const char* allowed) {
    if (good)
      return;
    const std::string printed = value.size() > kMaxPrinted
                                    ? value.substr(0, kMaxPrinted) + "..."
                                    : value;
    problems_.push_back({path_.empty() ? key : path_ + "." + key,
                         '"' + printed + '"', allowed});
  }

 private:
  const std::string& path_;
  base::json_problems& problems_;
};

bool IsName(const std::string& text) {
  const auto fits = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '.';
  };
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), fits) && text.front() != '-' &&
         text.front() != '.';
}

bool IsHash(const std::string& text) {
  const auto digit = [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  };
  return text.size() == kHashDigits &&
         std::all_of(text.begin(), text.end(), digit);
}

bool IsText(const std::string& text) {
  return text.size() <= kMaxTextLength &&
         std::none_of(text.begin(), text.end(),
                      [](unsigned char c) { return c < ' ' || c == 0x7f; });
}

constexpr const char* kNameRule =
    "must be 1 to 63 of a-z, 0-9, '-' and '.', not starting with '-' or '.'";
constexpr const char* kTextRule =
    "must have at most 253 characters and no control characters";
constexpr const char* kSizeRule =
    "the whole item must take at most 3500 bytes as JSON";

void CheckKind(const entry& item, checker& check) {
  if (item.kind == entry_kind::kEngine) {
    check.Require(!item.model.empty(), "model", item.model,
                  "is required for an engine");
    check.Require(item.call_rules.empty(), "call_rules", "[...]",
                  "are for services only");
    return;
  }
  check.Require(item.model.empty(), "model", item.model,
                "is for engines only; a service has none");
  check.Require(item.adapters.empty(), "adapters", "[...]",
                "are for engines only");
}

void CheckAdapters(const entry& item, checker& check) {
  check.Require(item.adapters.size() <= kMaxAdapters, "adapters",
                std::to_string(item.adapters.size()), "at most 64");
  std::set<std::string> seen;
  for (std::size_t i = 0; i < item.adapters.size(); ++i) {
    const std::string key = "adapters[" + std::to_string(i) + "]";
    check.Require(IsName(item.adapters[i]), key, item.adapters[i], kNameRule);
    check.Require(seen.insert(item.adapters[i]).second, key, item.adapters[i],
                  "must not be listed twice");
  }
}

void CheckRules(const entry& item, checker& check) {
  check.Require(item.call_rules.size() <= kMaxCallRules, "call_rules",
                std::to_string(item.call_rules.size()), "at most 64");
  std::set<std::pair<std::string, std::string>> seen;
  for (std::size_t i = 0; i < item.call_rules.size(); ++i) {
    const call_rule& rule = item.call_rules[i];
    const std::string key = "call_rules[" + std::to_string(i) + "]";
    const bool known = std::find(std::begin(kMethods), std::end(kMethods),
                                 rule.method) != std::end(kMethods);
    check.Require(known, key + ".method", rule.method,
                  "must be one of: GET, HEAD, PUT, DELETE, POST, PATCH, "
                  "OPTIONS");
    check.Require(rule.path_prefix.starts_with('/') && IsText(rule.path_prefix),
                  key + ".path_prefix", rule.path_prefix,
                  "must start with '/' and have no control characters");
    check.Require(seen.insert({rule.method, rule.path_prefix}).second, key,
                  rule.method + " " + rule.path_prefix,
                  "another rule has the same method and path_prefix");
  }
}

void CheckLimits(const limits& limit, checker& check) {
  const bool inverted = limit.requests_per_second > 0 &&
                        limit.tokens_per_second > 0 &&
                        limit.tokens_per_second < limit.requests_per_second;
  check.Require(!inverted, "limits.tokens_per_second",
                std::to_string(limit.tokens_per_second),
                "must not be below requests_per_second: a request takes at "
                "least one token");
}

// Reports names that stand twice; values are (name, path).
template <class Items, class NameOf>
void CheckUnique(const Items& items,
                 const std::string& list,
                 const char* key,
                 NameOf name_of,
                 base::json_problems& problems) {
  std::map<std::string, std::size_t> first;
  for (std::size_t i = 0; i < items.size(); ++i) {
    const auto [at, inserted] = first.emplace(name_of(items[i]), i);
    if (inserted)
      continue;
    problems.push_back({list + "[" + std::to_string(i) + "]." + key,
                        '"' + at->first + '"',
                        "must differ from " + list + "[" +
                            std::to_string(at->second) + "]." + key});
  }
}

void CheckSharedKeys(const document& whole, base::json_problems& problems) {
  std::map<std::string, std::string> first;
  for (std::size_t i = 0; i < whole.workspaces.size(); ++i) {
    const workspace& item = whole.workspaces[i];
    for (std::size_t k = 0; k < item.key_hashes.size(); ++k) {
      const std::string path = "workspaces[" + std::to_string(i) +
                               "].key_hashes[" + std::to_string(k) + "]";
      const auto [at, inserted] = first.emplace(item.key_hashes[k], path);
      if (!inserted)
        problems.push_back({path, '"' + item.key_hashes[k] + '"',
                            "the same key stands at " + at->second});
    }
  }
}

}  // namespace

void CheckEntry(const entry& item,
                const std::string& path,
                base::json_problems& problems) {
  checker check(path, problems);
  check.Require(IsName(item.name.str()), "name", item.name.str(), kNameRule);
  check.Require(IsText(item.owner), "owner", item.owner, kTextRule);
  check.Require(IsText(item.model), "model", item.model, kTextRule);
  check.Require(IsText(item.version), "version", item.version, kTextRule);
  CheckKind(item, check);
  CheckAdapters(item, check);
  CheckRules(item, check);
  CheckLimits(item.limit, check);
  check.Require(boost::json::serialize(ToJson(item)).size() <= kMaxItemBytes,
                "name", item.name.str(), kSizeRule);
}

void CheckWorkspace(const workspace& item,
                    const std::string& path,
                    base::json_problems& problems) {
  checker check(path, problems);
  check.Require(IsName(item.id.str()), "id", item.id.str(), kNameRule);
  check.Require(IsText(item.owner), "owner", item.owner, kTextRule);
  check.Require(!item.key_hashes.empty() &&
                    item.key_hashes.size() <= kMaxKeysPerWorkspace,
                "key_hashes", std::to_string(item.key_hashes.size()),
                "must hold 1 to 16 keys");
  for (std::size_t i = 0; i < item.key_hashes.size(); ++i)
    check.Require(IsHash(item.key_hashes[i]),
                  "key_hashes[" + std::to_string(i) + "]", item.key_hashes[i],
                  "must be a SHA-256 in 64 lower-case hexadecimal digits");
  CheckLimits(item.limit, check);
  check.Require(boost::json::serialize(ToJson(item)).size() <= kMaxItemBytes,
                "id", item.id.str(), kSizeRule);
}

void CheckDocument(const document& whole, base::json_problems& problems) {
  if (whole.entries.size() > kMaxEntries)
    problems.push_back(
        {"entries", std::to_string(whole.entries.size()), "at most 1000"});
  if (whole.workspaces.size() > kMaxWorkspaces)
    problems.push_back({"workspaces", std::to_string(whole.workspaces.size()),
                        "at most 10000"});
  for (std::size_t i = 0; i < whole.entries.size(); ++i)
    CheckEntry(whole.entries[i], "entries[" + std::to_string(i) + "]",
               problems);
  for (std::size_t i = 0; i < whole.workspaces.size(); ++i)
    CheckWorkspace(whole.workspaces[i], "workspaces[" + std::to_string(i) + "]",
                   problems);
  CheckUnique(
      whole.entries, "entries", "name",
      [](const entry& item) { return item.name.str(); }, problems);
  CheckUnique(
      whole.workspaces, "workspaces", "id",
      [](const workspace& item) { return item.id.str(); }, problems);
  CheckSharedKeys(whole, problems);
}

document ReadDocument(std::string_view text) {
  base::json_problems problems;
  document whole = ParseDocument(text, problems);
  // Cross checks on half-read items would only repeat what is reported.
  if (problems.empty())
    CheckDocument(whole, problems);
  if (!problems.empty())
    throw base::json_document_error(std::move(problems));
  return whole;
}

}  // namespace flamingoshunt::catalogue
