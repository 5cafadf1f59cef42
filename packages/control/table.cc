#include "control/table.h"

#include <algorithm>
#include <charconv>

namespace flamingoshunt::control {
namespace {

constexpr std::size_t kGap = 2;     // spaces between columns
constexpr std::size_t kIndent = 2;  // spaces for each level
constexpr std::size_t kMaxDigits = 32;

void PrintRow(const std::vector<std::string>& cells,
              const std::vector<std::size_t>& widths,
              std::ostream& out) {
  std::string line;
  for (std::size_t i = 0; i < cells.size(); ++i) {
    line += cells[i];
    if (i + 1 < cells.size())
      line.append(widths[i] - cells[i].size() + kGap, ' ');
  }
  out << line << '\n';
}

void PrintNested(const boost::json::value& json,
                 std::size_t level,
                 std::ostream& out) {
  const std::string inner((level + 1) * kIndent, ' ');
  const std::string outer(level * kIndent, ' ');
  const char* separator = "\n";
  if (const auto* object = json.if_object(); object && !object->empty()) {
    out << '{';
    for (const auto& field : *object) {
      out << separator << inner << boost::json::serialize(field.key()) << ": ";
      PrintNested(field.value(), level + 1, out);
      separator = ",\n";
    }
    out << '\n' << outer << '}';
  } else if (const auto* array = json.if_array(); array && !array->empty()) {
    out << '[';
    for (const auto& element : *array) {
      out << separator << inner;
      PrintNested(element, level + 1, out);
      separator = ",\n";
    }
    out << '\n' << outer << ']';
  } else {
    out << OneLine(json);
  }
}

}  // namespace

void Print(const table& rows, std::ostream& out) {
  std::vector<std::size_t> widths;
  for (const std::string& heading : rows.headings)
    widths.push_back(heading.size());
  for (const auto& row : rows.rows) {
    for (std::size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  }
  PrintRow(rows.headings, widths, out);
  for (const auto& row : rows.rows)
    PrintRow(row, widths, out);
}

std::string OneLine(const boost::json::value& json) {
  const double* number = json.if_double();
  if (!number)
    return boost::json::serialize(json);
  char digits[kMaxDigits];
  return std::string(digits,
                     std::to_chars(digits, digits + kMaxDigits, *number).ptr);
}

void Print(const boost::json::value& json, std::ostream& out) {
  PrintNested(json, 0, out);
  out << '\n';
}

}  // namespace flamingoshunt::control
