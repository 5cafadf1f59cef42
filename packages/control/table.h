// Defines the output of commands: rows under headings, printed as aligned text
// or as a JSON array of objects.
#ifndef FLAMINGOSHUNT_CONTROL_TABLE_H_
#define FLAMINGOSHUNT_CONTROL_TABLE_H_

#include <boost/json.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace flamingoshunt::control {

struct table {
  std::vector<std::string> headings;
  std::vector<std::vector<std::string>> rows;
};

/// Prints columns as wide as their widest cell, two spaces apart.
void Print(const table& rows, std::ostream& out);

/// @return @p json in one line, numbers as people write them: 0.5 and 3.
std::string OneLine(const boost::json::value& json);

/// Prints @p json indented by two spaces.
void Print(const boost::json::value& json, std::ostream& out);

}  // namespace flamingoshunt::control

#endif  // FLAMINGOSHUNT_CONTROL_TABLE_H_
