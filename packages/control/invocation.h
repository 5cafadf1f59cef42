// Defines one call of flamingoshuntctl as read from its command line.
#ifndef FLAMINGOSHUNT_CONTROL_INVOCATION_H_
#define FLAMINGOSHUNT_CONTROL_INVOCATION_H_

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "base/clock.h"
#include "control/errors.h"
#include "control/outside.h"

namespace flamingoshunt::control {

enum class output_format { kTable, kJson };

struct invocation {
  std::string command;
  std::vector<std::string> arguments;
  std::vector<std::string> platform;  ///< Addresses "IP:port".
  std::vector<std::string> nodes;     ///< Admin addresses "IP:port".
  output_format output = output_format::kTable;
  bool help = false;
  bool wait = false;
  bool prune = false;
  bool undo = false;
  base::duration timeout = std::chrono::seconds(10);
  std::optional<std::uint64_t> expect_version;
  std::string file;
};

/// What a command works with.
struct session {
  outside& world;
  std::ostream& out;
};

using command_function = exit_code (*)(session&, const invocation&);

struct command {
  const char* name;
  const char* arguments;  ///< As in the synopsis.
  const char* summary;    ///< One line.
  const char* details;    ///< Paragraphs for --help.
  std::size_t least_arguments;
  std::size_t most_arguments;
  command_function run;
};

/// @return all commands, in the order of the help text.
const std::vector<command>& Commands();

/// @return the command of that name, or null.
const command* FindCommand(const std::string& name);

/// Reads a command line without the program's name. The settings file of a
/// flamingoshuntd given by --config fills in addresses that are not given.
/// @throws command_error (kInvalid) naming what is wrong.
invocation ParseCommandLine(const std::vector<std::string>& words,
                            outside& world);

/// Runs one command line; every error becomes a message and an exit code.
exit_code Run(const std::vector<std::string>& words,
              outside& world,
              std::ostream& out,
              std::ostream& errors);

}  // namespace flamingoshunt::control

#endif  // FLAMINGOSHUNT_CONTROL_INVOCATION_H_
