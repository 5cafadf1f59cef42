#include "base/checked_json.h"

#include <algorithm>
#include <sstream>

namespace flamingoshunt::base {
namespace {

constexpr std::size_t kMaxPrintedValue = 80;  // characters
constexpr std::size_t kMaxDepth = 32;         // nested objects and arrays

std::string Printed(const boost::json::value& value) {
  std::string text = boost::json::serialize(value);
  if (text.size() > kMaxPrintedValue)
    text = text.substr(0, kMaxPrintedValue) + "...";
  return text;
}

std::string Joined(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words)
    text += (text.empty() ? "" : ", ") + word;
  return text;
}

std::string AllTexts(const json_problems& problems) {
  std::string text;
  for (const json_problem& problem : problems)
    text += (text.empty() ? "" : "\n") + problem.Text();
  return text;
}

template <class Number>
std::string RangeText(const char* kind, Number low, Number high) {
  std::ostringstream out;
  out << "must be a " << kind << " from " << low << " to " << high;
  return out.str();
}

}  // namespace

json_document_error::json_document_error(json_problems problems)
    : user_error(AllTexts(problems)), problems_(std::move(problems)) {}

std::optional<boost::json::value> ParseJson(std::string_view text,
                                            json_problems& problems) {
  boost::json::parse_options options;
  options.max_depth = kMaxDepth;
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(
      boost::json::string_view(text.data(), text.size()), error, {}, options);
  if (!error)
    return value;
  const std::string excerpt(text.substr(0, kMaxPrintedValue));
  problems.push_back(
      {"(document)", excerpt, "must be JSON: " + error.message()});
  return std::nullopt;
}

object_reader::object_reader(const boost::json::value& value,
                             std::string path,
                             json_problems& problems)
    : object_(value.if_object()), path_(std::move(path)), problems_(problems) {
  if (object_)
    return;
  problems_.push_back({path_.empty() ? "(document)" : path_, Printed(value),
                       "must be an object"});
}

bool object_reader::Has(std::string_view key) const {
  return object_ && object_->contains({key.data(), key.size()});
}

std::string object_reader::PathOf(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

const boost::json::value* object_reader::Find(std::string_view key,
                                              bool required) {
  if (std::find(known_.begin(), known_.end(), key) == known_.end())
    known_.emplace_back(key);
  if (!object_)
    return nullptr;
  const boost::json::value* found =
      object_->if_contains({key.data(), key.size()});
  if (!found && required)
    problems_.push_back({PathOf(key), "(missing)", "is required"});
  return found;
}

void object_reader::ReportValue(std::string_view key,
                                const boost::json::value& value,
                                std::string allowed) {
  problems_.push_back({PathOf(key), Printed(value), std::move(allowed)});
}

void object_reader::Report(std::string_view key, std::string allowed) {
  const boost::json::value* found =
      object_ ? object_->if_contains({key.data(), key.size()}) : nullptr;
  problems_.push_back(
      {PathOf(key), found ? Printed(*found) : "(missing)", std::move(allowed)});
}

std::string object_reader::String(std::string_view key) {
  const boost::json::value* found = Find(key, true);
  if (!found)
    return {};
  if (const auto* text = found->if_string(); text && !text->empty())
    return std::string(text->data(), text->size());
  ReportValue(key, *found, "must be a string that is not empty");
  return {};
}

std::string object_reader::String(std::string_view key, std::string fallback) {
  const boost::json::value* found = Find(key, false);
  if (!found)
    return fallback;
  if (const auto* text = found->if_string())
    return std::string(text->data(), text->size());
  ReportValue(key, *found, "must be a string");
  return fallback;
}

std::int64_t object_reader::Integer(std::string_view key,
                                    std::int64_t low,
                                    std::int64_t high) {
  if (!Find(key, true))
    return low;
  return Integer(key, low, high, low);
}

std::int64_t object_reader::Integer(std::string_view key,
                                    std::int64_t low,
                                    std::int64_t high,
                                    std::int64_t fallback) {
  const boost::json::value* found = Find(key, false);
  if (!found)
    return fallback;
  boost::json::error_code error;
  const auto number = found->to_number<std::int64_t>(error);
  if (!error && number >= low && number <= high)
    return number;
  ReportValue(key, *found, RangeText("whole number", low, high));
  return fallback;
}

double object_reader::Number(std::string_view key, double low, double high) {
  if (!Find(key, true))
    return low;
  return Number(key, low, high, low);
}

double object_reader::Number(std::string_view key,
                             double low,
                             double high,
                             double fallback) {
  const boost::json::value* found = Find(key, false);
  if (!found)
    return fallback;
  boost::json::error_code error;
  const auto number = found->to_number<double>(error);
  if (!error && number >= low && number <= high)
    return number;
  ReportValue(key, *found, RangeText("number", low, high));
  return fallback;
}

bool object_reader::Boolean(std::string_view key, bool fallback) {
  const boost::json::value* found = Find(key, false);
  if (!found)
    return fallback;
  if (const bool* flag = found->if_bool())
    return *flag;
  ReportValue(key, *found, "must be true or false");
  return fallback;
}

std::chrono::milliseconds object_reader::Milliseconds(
    std::string_view key,
    std::chrono::milliseconds low,
    std::chrono::milliseconds high,
    std::chrono::milliseconds fallback) {
  return std::chrono::milliseconds(
      Integer(key, low.count(), high.count(), fallback.count()));
}

std::size_t object_reader::Choice(std::string_view key,
                                  std::initializer_list<std::string_view> names,
                                  std::optional<std::size_t> fallback) {
  const boost::json::value* found = Find(key, !fallback);
  if (!found)
    return fallback.value_or(0);
  if (const auto* text = found->if_string()) {
    const auto* match = std::find(names.begin(), names.end(),
                                  std::string_view(text->data(), text->size()));
    if (match != names.end())
      return static_cast<std::size_t>(match - names.begin());
  }
  ReportValue(key, *found,
              "must be one of: " + Joined({names.begin(), names.end()}));
  return fallback.value_or(0);
}

std::vector<std::string> object_reader::Strings(std::string_view key,
                                                bool required) {
  std::vector<std::string> strings;
  Each(
      key,
      [&](const boost::json::value& element, const std::string& path) {
        if (const auto* text = element.if_string(); text && !text->empty())
          strings.emplace_back(text->data(), text->size());
        else
          problems_.push_back(
              {path, Printed(element), "must be a string that is not empty"});
      },
      required);
  return strings;
}

void object_reader::Each(std::string_view key,
                         const std::function<void(const boost::json::value&,
                                                  const std::string&)>& each,
                         bool required) {
  const boost::json::value* found = Find(key, required);
  if (!found)
    return;
  const boost::json::array* elements = found->if_array();
  if (!elements) {
    ReportValue(key, *found, "must be an array");
    return;
  }
  for (std::size_t i = 0; i < elements->size(); ++i)
    each((*elements)[i], PathOf(key) + "[" + std::to_string(i) + "]");
}

const boost::json::value* object_reader::Child(std::string_view key,
                                               bool required) {
  return Find(key, required);
}

void object_reader::Finish() {
  if (!object_)
    return;
  for (const auto& field : *object_) {
    const std::string key(field.key());
    if (std::find(known_.begin(), known_.end(), key) == known_.end())
      ReportValue(key, field.value(),
                  "unknown key; known keys are: " + Joined(known_));
  }
}

}  // namespace flamingoshunt::base
