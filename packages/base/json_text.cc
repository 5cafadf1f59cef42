#include "base/json_text.h"

#include <boost/json.hpp>

#include <algorithm>
#include <functional>

namespace flamingoshunt::base {
namespace {

constexpr std::string_view kBlank = " \t\r\n";
constexpr std::string_view kEndOfScalar = ",]} \t\r\n";

// Steps over the values of a text. Needs memory for the open brackets only.
class json_scanner {
 public:
  explicit json_scanner(std::string_view text) : text_(text) { SkipBlank(); }

  bool AtEnd() const { return position_ == text_.size(); }

  // Steps over @p expected and the blanks after it, if it comes next.
  bool Take(char expected) {
    if (AtEnd() || text_[position_] != expected)
      return false;
    ++position_;
    SkipBlank();
    return true;
  }

  // Steps over one value and the blanks after it.
  // @return the value; nothing if there is none.
  std::optional<std::string_view> TakeValue() {
    const std::size_t begin = position_;
    if (!SkipValue())
      return std::nullopt;
    const auto value = text_.substr(begin, position_ - begin);
    SkipBlank();
    return value;
  }

  // Steps over a string and the blanks after it.
  // @return what is between its quotes; nothing if there is no string.
  std::optional<std::string_view> TakeString() {
    const std::size_t begin = position_;
    if (AtEnd() || text_[begin] != '"' || !SkipString())
      return std::nullopt;
    const auto content = text_.substr(begin + 1, position_ - begin - 2);
    SkipBlank();
    return content;
  }

 private:
  void SkipBlank() {
    position_ =
        std::min(text_.find_first_not_of(kBlank, position_), text_.size());
  }

  bool SkipString() {
    for (++position_; !AtEnd(); ++position_) {
      if (text_[position_] == '"') {
        ++position_;
        return true;
      }
      if (text_[position_] == '\\')
        ++position_;
      if (AtEnd())
        return false;
    }
    return false;
  }

  bool SkipValue() {
    std::string open;
    do {
      if (AtEnd())
        return false;
      const char next = text_[position_];
      if (next == '"') {
        if (!SkipString())
          return false;
      } else if (next == '{' || next == '[') {
        open += next;
        ++position_;
      } else if (next == '}' || next == ']') {
        if (open.empty() || open.back() != (next == '}' ? '{' : '['))
          return false;
        open.pop_back();
        ++position_;
      } else if (open.empty()) {
        return SkipScalar();
      } else {
        ++position_;
      }
    } while (!open.empty());
    return true;
  }

  bool SkipScalar() {
    const std::size_t begin = position_;
    position_ =
        std::min(text_.find_first_of(kEndOfScalar, position_), text_.size());
    return position_ > begin;
  }

  std::string_view text_;
  std::size_t position_ = 0;
};

// @return the key that @p text between quotes spells; itself if it spells none.
std::string KeyOf(std::string_view text) {
  if (text.find('\\') == std::string_view::npos)
    return std::string(text);
  boost::system::error_code error;
  const auto key = boost::json::parse('"' + std::string(text) + '"', error);
  return error ? std::string(text) : std::string(key.as_string());
}

}  // namespace

std::optional<json_members> SplitJsonObject(std::string_view text) {
  json_scanner scanner(text);
  json_members members;
  if (!scanner.Take('{'))
    return std::nullopt;
  while (!scanner.Take('}')) {
    if (!members.empty() && !scanner.Take(','))
      return std::nullopt;
    const auto key = scanner.TakeString();
    if (!key || !scanner.Take(':'))
      return std::nullopt;
    const auto value = scanner.TakeValue();
    if (!value)
      return std::nullopt;
    members.insert_or_assign(KeyOf(*key), *value);
  }
  if (!scanner.AtEnd())
    return std::nullopt;
  return members;
}

std::optional<std::vector<std::string_view>> SplitJsonArray(
    std::string_view text) {
  json_scanner scanner(text);
  std::vector<std::string_view> elements;
  if (!scanner.Take('['))
    return std::nullopt;
  while (!scanner.Take(']')) {
    if (!elements.empty() && !scanner.Take(','))
      return std::nullopt;
    const auto value = scanner.TakeValue();
    if (!value)
      return std::nullopt;
    elements.push_back(*value);
  }
  if (!scanner.AtEnd())
    return std::nullopt;
  return elements;
}

}  // namespace flamingoshunt::base
