// Defines the help texts and the shell completion, both written from the table
// of commands so that they cannot disagree with it.
#ifndef FLAMINGOSHUNT_CONTROL_HELP_H_
#define FLAMINGOSHUNT_CONTROL_HELP_H_

#include <string>

#include "control/invocation.h"

namespace flamingoshunt::control {

/// @return the manual page of @p about, or of the whole program when null.
std::string HelpText(const command* about);

/// @return a completion script for bash.
std::string BashCompletion();

}  // namespace flamingoshunt::control

#endif  // FLAMINGOSHUNT_CONTROL_HELP_H_
