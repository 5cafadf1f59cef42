// Defines the log: one line of JSON for each change of state, written by
// spdlog. What happens often is counted, never logged.
//
//   {"time":"2030-01-02T03:04:05.678Z","level":"info","node":"n1",
//    "component":"membership","event":"peer_dead","peer":"n7"}   (one line)
#ifndef FLAMINGOSHUNT_TELEMETRY_LOG_H_
#define FLAMINGOSHUNT_TELEMETRY_LOG_H_

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <iosfwd>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace flamingoshunt::telemetry {

enum class log_level { kDebug, kInfo, kWarning, kError };

struct log_settings {
  log_level lowest = log_level::kInfo;  ///< Lower ones are dropped.
  std::string node;                     ///< Printed in each line.
  std::ostream* stream = nullptr;       ///< Standard error when null.
  /// Writes to standard output from a thread of its own, behind a bounded
  /// queue, so that a slow reader delays nobody; goes before @c stream.
  bool to_standard_output = false;
  /// Lines above this are counted, not written; 0 is no bound.
  double lines_per_second = 0;
};

/// @return lines that the bound or the full queue kept out so far.
std::uint64_t DroppedLogLines();

/// Sets up the log of the process; may be called again to change it.
void SetUpLog(const log_settings& settings);

/// A named value of a line.
struct log_field {
  using field_value =
      std::variant<std::string, std::int64_t, std::uint64_t, double, bool>;

  log_field(std::string_view name_in, std::string_view text)
      : name(name_in), value(std::string(text)) {}
  log_field(std::string_view name_in, const char* text)
      : name(name_in), value(std::string(text)) {}
  log_field(std::string_view name_in, bool flag) : name(name_in), value(flag) {}
  log_field(std::string_view name_in, double number)
      : name(name_in), value(number) {}
  template <std::integral Number>
  log_field(std::string_view name_in, Number number)
      : name(name_in), value(Widened(number)) {}

  std::string name;
  field_value value;

 private:
  template <std::integral Number>
  static auto Widened(Number number) {
    if constexpr (std::is_signed_v<Number>)
      return static_cast<std::int64_t>(number);
    else
      return static_cast<std::uint64_t>(number);
  }
};

/// Waits until what was logged is written, for at most a moment; before the
/// process ends.
void FlushLog();

/// Writes one line. Before SetUpLog() it writes to standard error.
/// @param component the slice, as in "membership".
/// @param event     what changed, in snake case, as in "peer_dead".
void LogChange(std::string_view component,
               std::string_view event,
               std::initializer_list<log_field> fields = {},
               log_level level = log_level::kInfo);

}  // namespace flamingoshunt::telemetry

#endif  // FLAMINGOSHUNT_TELEMETRY_LOG_H_
